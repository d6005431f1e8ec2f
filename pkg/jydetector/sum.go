package jydetector

// sum is one cumulative sum test, with what happened in its present excursion above zero.
type sum struct {
	score float64
	parts []float64 // of the score, by reporter index
	// seen is what the tested server did in the excursion, and base the counts of all servers at its start.
	seen     Counts
	base     []Counts
	withheld WithheldReason // told once in an excursion
}

// begin starts an excursion.
func (s *sum) begin(servers []*server) {
	s.base = s.base[:0]
	for _, o := range servers {
		s.base = append(s.base, o.total)
	}
}

func (s *sum) add(reporter int, c Counts, llr float64) {
	for len(s.parts) <= reporter {
		s.parts = append(s.parts, 0)
	}
	s.parts[reporter] += llr
	s.score += llr
	s.seen = s.seen.plus(c)
	if s.score <= 0 {
		s.reset()
	}
}

func (s *sum) reset() {
	s.score = 0
	s.seen = Counts{}
	s.withheld = NotWithheld
	clear(s.parts)
}

// withoutLargest returns the score less the largest part that any one key of the reporters holds.
func (s *sum) withoutLargest(keyOf func(reporter int) int) float64 {
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
