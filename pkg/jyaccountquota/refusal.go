package jyaccountquota

// refusalTime is the time in seconds without a refusal after which the refusal of an account has ended.
const refusalTime = 5.0

// refusal follows whether requests of an account are refused.
type refusal struct {
	isActive bool
	last     moment // the last refused request
	begun    uint64 // the account's refused requests before the refusal began
}

// RefusalChange says that requests of an account began to be refused by this instance, or that this ended.
type RefusalChange struct {
	Account Account
	Quota   Quota
	Begins  bool
	Refused uint64 // since it began
}

// refuse counts a refused request.
func (s *Buckets) refuse(now moment, b *bucket) {
	b.refused++
	b.refusal.last = now
	if !b.refusal.isActive {
		b.refusal = refusal{isActive: true, last: now, begun: b.refused - 1}
		s.refusing[b] = false
	}
}

// takeRefusalChanges returns the changes since its last call; refusing holds whether the beginning was returned.
func (s *Buckets) takeRefusalChanges(now moment) []RefusalChange {
	var out []RefusalChange
	for b, isTold := range s.refusing {
		change := RefusalChange{Account: b.account, Quota: b.quota, Begins: true, Refused: b.refused - b.refusal.begun}
		if !isTold {
			out = append(out, change)
			s.refusing[b] = true
			continue
		}
		if now.since(b.refusal.last) > refusalTime {
			change.Begins = false
			out = append(out, change)
			b.refusal.isActive = false
			delete(s.refusing, b)
		}
	}
	return out
}
