package jybelief

// Outcome is how a request at a server ended, as far as it tells something about the server.
type Outcome int

// The outcomes.
const (
	// Answered is a complete answer.
	Answered Outcome = iota
	// FailedEarly is a failure much sooner than the server could have done the work: it did not try.
	FailedEarly
	// FailedLate is a failure after about the time of the work, as single requests may bring upon themselves.
	FailedLate
	// Silent is no answer for much longer than the work takes.
	Silent
	outcomes
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"Answered", "FailedEarly", "FailedLate", "Silent"}[o]
}

// Likelihood holds the chance of each outcome.
type Likelihood [outcomes]float64

// fail returns the chance of all outcomes but an answer.
func (l Likelihood) fail() float64 { return l[FailedEarly] + l[FailedLate] + l[Silent] }

// Counts holds a number of requests by outcome.
type Counts [outcomes]uint32

// Failures returns the requests that were not answered.
func (c Counts) Failures() uint32 { return c[FailedEarly] + c[FailedLate] + c[Silent] }

// Sum returns the requests of all outcomes.
func (c Counts) Sum() int {
	sum := 0
	for _, n := range c {
		sum += int(n)
	}
	return sum
}

// Add returns the sums.
func (c Counts) Add(other Counts) Counts {
	for i, n := range other {
		c[i] += n
	}
	return c
}
