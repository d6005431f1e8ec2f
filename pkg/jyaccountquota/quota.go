package jyaccountquota

// Account identifies a client account by the hash of its name.
type Account uint64

// Quota limits the requests of an account over all instances together.
type Quota struct {
	PerSecond float64 // 0 means no limit
	Burst     float64 // requests that may run at once; 0 means those of one second
}

// IsLimited reports whether the quota limits anything.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// toleratedRequests are the requests by which a token bucket is larger than the burst. Instances learn of each other's admissions
// late; without them, an account whose burst is a few requests would be refused what a central counter admits. The quota bound has 20
// requests of slack.
const toleratedRequests = 5.0

// capacity returns the size of the token bucket.
func (q Quota) capacity() float64 {
	if q.Burst > 0 {
		return max(1, q.Burst) + toleratedRequests
	}
	return max(1, q.PerSecond) + toleratedRequests
}

// Usage is a number of requests that were admitted for an account, less those that were returned.
type Usage struct {
	Account  Account
	Admitted int
}
