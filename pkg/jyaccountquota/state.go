package jyaccountquota

import "time"

// State is the state of an account at one instance.
type State struct {
	Account  Account
	Quota    Quota
	Level    float64 // requests that may run at once; below 0 while more were admitted than the quota allows
	Admitted uint64  // by this instance since its start
	Refused  uint64  // by this instance since its start
}

// States returns the states of all accounts in use whose quotas are known, in no particular order.
func (s *Buckets) States(t time.Time) []State {
	now := s.moment(t)
	var out []State
	for _, b := range s.buckets {
		if b.quota.IsLimited() {
			b.refill(now)
			out = append(out, State{Account: b.account, Quota: b.quota, Level: b.level, Admitted: b.admitted, Refused: b.refused})
		}
	}
	return out
}
