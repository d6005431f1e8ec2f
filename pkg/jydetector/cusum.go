package jydetector

// cusum is a cumulative sum test of one server for one raised share, with the data of its current excursion above zero.
type cusum struct {
	score float64   // the sum of log-likelihood ratios; 0 outside of an excursion
	parts []float64 // the parts of score, by reporter index
	// counts are those of the tested server in the excursion; baseline holds the total counts of all servers at its start, by
	// server index.
	counts   Counts
	baseline []Counts
	withheld WithheldReason // the last reason that was reported in the excursion
}

// start records the counts of all servers at the start of an excursion.
func (t *cusum) start(servers []*server) {
	t.baseline = t.baseline[:0]
	for _, o := range servers {
		t.baseline = append(t.baseline, o.total)
	}
}

// add adds the counts of a reporter with their log-likelihood ratio, and ends the excursion if the score falls to 0.
func (t *cusum) add(reporter int, c Counts, llr float64) {
	for len(t.parts) <= reporter {
		t.parts = append(t.parts, 0)
	}
	t.parts[reporter] += llr
	t.score += llr
	t.counts = t.counts.plus(c)
	if t.score <= 0 {
		t.reset()
	}
}

// reset ends the excursion.
func (t *cusum) reset() {
	t.score = 0
	t.counts = Counts{}
	t.withheld = NotWithheld
	clear(t.parts)
}

// withoutLargest returns the score without the largest sum of parts of reporters that have the same key.
func (t *cusum) withoutLargest(keyOf func(reporter int) int) float64 {
	byKey := make([]float64, 0, len(t.parts))
	for i, p := range t.parts {
		k := keyOf(i)
		for len(byKey) <= k {
			byKey = append(byKey, 0)
		}
		byKey[k] += p
	}
	largest := 0.0
	for _, p := range byKey {
		largest = max(largest, p)
	}
	return t.score - largest
}
