package jydetector

// cusum is a cumulative sum test, with the data of its current excursion above zero.
type cusum struct {
	score float64
	parts []float64 // the parts of score, by reporter index
	// counts are those of the tested server in the excursion; baseline holds the total counts of all servers at its start, by
	// server index.
	counts   Counts
	baseline []Counts
	withheld WithheldReason // last reported in the excursion
}

// start records the counts of all servers at the start of an excursion.
func (s *cusum) start(servers []*server) {
	s.baseline = s.baseline[:0]
	for _, o := range servers {
		s.baseline = append(s.baseline, o.total)
	}
}

// add adds the counts of a reporter with their log-likelihood ratio, and ends the excursion if the score falls to 0.
func (s *cusum) add(reporter int, c Counts, llr float64) {
	for len(s.parts) <= reporter {
		s.parts = append(s.parts, 0)
	}
	s.parts[reporter] += llr
	s.score += llr
	s.counts = s.counts.plus(c)
	if s.score <= 0 {
		s.reset()
	}
}

func (s *cusum) reset() {
	s.score = 0
	s.counts = Counts{}
	s.withheld = NotWithheld
	clear(s.parts)
}

// withoutLargest returns the score without the largest sum of parts of reporters that have the same key.
func (s *cusum) withoutLargest(keyOf func(reporter int) int) float64 {
	byKey := make([]float64, 0, len(s.parts))
	for i, p := range s.parts {
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
	return s.score - largest
}
