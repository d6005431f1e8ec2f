package jyexperiment

import "time"

// QuotaCase is a load of client accounts with quotas on a fleet, with one failure. Times count from the start of the run.
type QuotaCase struct {
	Name        string
	Instances   int
	DataCentres int
	Accounts    int
	Rate        float64 // requests per second of all accounts together; their usual rates follow Zipf's law
	EqualRates  bool    // instead of Zipf's law
	Length      time.Duration
	// Surges multiplies the rates of accounts, by rank from 1 on, from SurgeStart to SurgeEnd.
	Surges               map[int]float64
	SurgeStart, SurgeEnd time.Duration
	// OnInstances sends the requests of the accounts in Surges to that many instances; 0 means all.
	OnInstances int
	// FallTo multiplies the quotas of the accounts in Surges from SurgeStart on; 0 leaves them.
	FallTo float64
	// Parts divides the fleet from PartStart to PartEnd: instances with the same number reach each other.
	Parts              func(instance int) int
	PartStart, PartEnd time.Duration
	// Killed instances don't run from PartStart to PartEnd. They start with nothing remembered, if they do.
	Killed func(instance int) bool
	// Joins says that nobody knows of the killed instances before they start.
	Joins bool
	// Late instances read each datagram up to this much later; every third instance is one.
	Late    time.Duration
	Loss    float64 // share of datagrams that are lost, from 0 to 1
	Returns bool    // refused callers come back once, after Retry-After
}

// QuotaPolicy is a way to keep quotas.
type QuotaPolicy string

// The compared policies.
const (
	QuotaMirrored QuotaPolicy = "mirrored buckets"
	QuotaEqual    QuotaPolicy = "equal parts"
	QuotaOwner    QuotaPolicy = "owner of the account"
	QuotaAlone    QuotaPolicy = "each instance alone"
)

// QuotaResult is the result of a case with one policy.
type QuotaResult struct {
	Requests int
	// Excess is the largest number of requests of an account in 5 s beyond the bound; below 0 if the bound holds.
	Excess float64
	// Use is the largest number of requests of an account in 5 s as a multiple of what its quota refills in that time and its burst.
	Use float64
	// WithinQuota are the requests that a central counter admits, of accounts that have no surge and at instances that have heard
	// others, and WronglyRefused those of them that were refused.
	WithinQuota, WronglyRefused int
	// Shortfall is the share, from 0 to 1, of what a central counter admits of the accounts with a surge that was not admitted.
	Shortfall float64
}

// WrongShare returns the share of the requests within the quota that were refused, from 0 to 1.
func (r QuotaResult) WrongShare() float64 {
	return float64(r.WronglyRefused) / float64(max(1, r.WithinQuota))
}
