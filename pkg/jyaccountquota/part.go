package jyaccountquota

import "math/rand/v2"

// contact is what an instance knows of its contact with the fleet.
type contact struct {
	heard, known int
	factor       float64 // share of a quota, from 0 to 1, that the heard instances may use together
	losses       int     // rises each time that factor falls below 1
}

const (
	// contactMargin lets a few silent instances go without effect. Two halves of a fleet use up to this multiple of a quota.
	contactMargin = 1.1
	// savedRequests bounds the requests of an account that all parts of a divided fleet save together, beyond their shares of the
	// burst. The quota bound has 20 requests of slack.
	savedRequests = 10.0
)

// heardShare returns the share of the known instances that were heard.
func (c contact) heardShare() float64 { return float64(c.heard) / float64(max(1, c.known)) }

// factorOf returns the share of a quota that the heard ones of the known instances may use together, from 0 to 1.
func factorOf(heard, known int) float64 {
	return min(1, contactMargin*float64(heard)/float64(max(1, known)))
}

// UsesWholeQuotas reports whether an instance that heard that many of the known instances, itself included, uses whole quotas.
func UsesWholeQuotas(heard, known int) bool { return factorOf(heard, known) >= 1 }

// isWhole reports whether the whole quota may be used.
func (c contact) isWhole() bool { return c.factor >= 1 }

// part is the token bucket of a part of a divided fleet. It is used in addition to the mirrored bucket, which it leaves unchanged, so
// that nothing is lost when the contact returns at once. It keeps its level from one loss of contact to the next.
type part struct {
	level  float64
	at     moment
	losses int // the value of contact.losses at which it was last opened
}

// capacity returns the requests that the part may save.
func (c contact) capacity(q Quota) float64 {
	saved := min(1, savedRequests*c.heardShare())
	return max(q.capacity()*c.factor, saved)
}

// refillPart brings the part's bucket up to date. At a loss of contact, the instances that are no longer heard are assumed to have
// admitted as much as the others since they were last heard, since the loss is noticed late.
func (b *bucket) refillPart(now moment, c contact) {
	p := &b.part
	rate := b.quota.PerSecond * c.factor
	level := p.level + rate*now.since(p.at)
	if p.losses != c.losses {
		unseen := b.recent.count(now) * (1/c.heardShare() - 1)
		fresh := (b.level - unseen) * c.factor
		if p.losses == 0 {
			level = fresh
		}
		level = min(level, fresh)
		p.losses = c.losses
	}
	p.level = min(max(level, -maxDebtTime*rate), c.capacity(b.quota))
	p.at = max(p.at, now)
}

// partHasRoom reports whether the part's bucket has room for a request. A level below one that cannot reach one is used with that
// chance, since many small parts could otherwise use nothing or a request each.
func (b *bucket) partHasRoom(now moment, c contact, random *rand.Rand) bool {
	b.refillPart(now, c)
	if b.part.level >= 1 {
		return true
	}
	if c.capacity(b.quota) >= 1 || b.part.level <= 0 {
		return false
	}
	if random.Float64() < b.part.level {
		return true
	}
	b.part.level = 0
	return false
}
