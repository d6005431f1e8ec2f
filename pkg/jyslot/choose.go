package jyslot

// Candidate is one backend server as one instance sees it.
type Candidate struct {
	Slots    int
	InFlight int     // requests of this instance
	Limit    int     // requests of this instance that may be in flight
	Weight   float64 // 0 excludes, 1 is full; less while a server starts cold or is on probation
}

func (c Candidate) usable() bool { return c.Weight > 0 && c.InFlight < c.Limit }

func (c Candidate) load() float64 {
	return float64(c.InFlight+1) / (float64(c.Slots) * c.Weight)
}

// None is returned by Choose when no candidate is usable.
const None = -1

// Choose returns the less loaded of two among n candidates drawn by the random numbers a and b, or else the least loaded usable one, or None.
func Choose(n int, at func(int) Candidate, a, b uint64) int {
	if n == 0 {
		return None
	}
	first := int(a % uint64(n))
	second := first
	if n > 1 {
		second = int((uint64(first) + 1 + b%uint64(n-1)) % uint64(n))
	}
	if better := lighter(first, second, at(first), at(second)); better != None {
		return better
	}
	best, load := None, 0.0
	for i := range n {
		c := at(i)
		if c.usable() && (best == None || c.load() < load) {
			best, load = i, c.load()
		}
	}
	return best
}

func lighter(i, j int, a, b Candidate) int {
	switch {
	case !a.usable() && !b.usable():
		return None
	case !a.usable():
		return j
	case !b.usable():
		return i
	case b.load() < a.load():
		return j
	}
	return i
}
