package jyslot

// Candidate is a backend server as seen by one instance.
type Candidate struct {
	Slots    int     // number of requests that the server runs concurrently
	InFlight int     // requests of this instance in flight at the server
	Limit    int     // maximum of InFlight
	Weight   float64 // share of full load, from 0 (excluded) to 1; below 1 after a cold start, for example
}

func (c Candidate) usable() bool { return c.Weight > 0 && c.InFlight < c.Limit }

// load returns the requests per slot if the server got one more, where a lower Weight reduces the slots.
func (c Candidate) load() float64 {
	return float64(c.InFlight+1) / (float64(c.Slots) * c.Weight)
}

// None is what Choose returns if no candidate is usable.
const None = -1

// Choose returns the index of the less loaded of two candidates, which the random numbers a and b select among n. If neither is
// usable, it returns the least loaded usable candidate, or None. The function at returns the candidate with an index.
func Choose(n int, at func(int) Candidate, a, b uint64) int {
	if n == 0 {
		return None
	}
	first := int(a % uint64(n))
	second := first
	if n > 1 {
		second = int((uint64(first) + 1 + b%uint64(n-1)) % uint64(n))
	}
	if better := lessLoaded(first, second, at(first), at(second)); better != None {
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

// lessLoaded returns i or j, whichever index belongs to the less loaded usable one of a and b, or None.
func lessLoaded(i, j int, a, b Candidate) int {
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
