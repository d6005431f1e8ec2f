package jybelief

// Outcome is how a request at a server ended, as evidence of the server's state.
type Outcome int

// The outcomes.
const (
	// Answered is a complete answer.
	Answered Outcome = iota
	// FailedEarly is a failure much sooner than the service time: the server didn't work on the request.
	FailedEarly
	// FailedLate is a failure after a good part of the service time, or one of unclear cause, such as the request itself.
	FailedLate
	// Silent is an overdue answer: there is none after much longer than the service time.
	Silent
	outcomeCount
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"Answered", "FailedEarly", "FailedLate", "Silent"}[o]
}

// Likelihood holds the chance of each outcome, indexed by Outcome.
type Likelihood [outcomeCount]float64

// failChance returns the chance of any outcome other than an answer.
func (l Likelihood) failChance() float64 { return l[FailedEarly] + l[FailedLate] + l[Silent] }

// Counts holds the number of requests with each outcome, indexed by Outcome.
type Counts [outcomeCount]uint32

// Failures returns the number of requests that were not answered.
func (c Counts) Failures() uint32 { return c[FailedEarly] + c[FailedLate] + c[Silent] }

// Sum returns the number of requests with any outcome.
func (c Counts) Sum() int {
	sum := 0
	for _, n := range c {
		sum += int(n)
	}
	return sum
}

// Add returns the sums of both counts by outcome.
func (c Counts) Add(other Counts) Counts {
	for i, n := range other {
		c[i] += n
	}
	return c
}
