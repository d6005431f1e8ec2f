package jysignal

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jyaccountquota"
)

// Quotas keeps the quotas of client accounts at this instance. It may be used concurrently.
type Quotas interface {
	// IsInUse reports whether any account has a quota.
	IsInUse() bool
	// HasUsage reports whether TakeUsage would return any.
	HasUsage() bool
	// TakeUsage returns what this instance admitted since its last call.
	TakeUsage() []jyaccountquota.Usage
	// Observe counts what other instances admitted age ago.
	Observe(now time.Time, list []jyaccountquota.Usage, age time.Duration)
	// SetHeard sets how many instances were heard within the last second, this one included.
	SetHeard(now time.Time, heard int)
}

const (
	// usageInterval is the least time between two signals that only tell usage.
	usageInterval = 100 * time.Millisecond
	// silenceTime is the time without a signal after which an empty one shows that the instance is in contact.
	silenceTime = 300 * time.Millisecond
	// maxUsageBytes bounds an entry of Signal.usage: tag, length, hash and count with their tags.
	maxUsageBytes = 17
	// usageHeadroom is left free in a datagram for the fields that are set after usage.
	usageHeadroom = 32
)

// The time since the admissions that a signal tells, at most, without what it waited to be read: those of an instance wait for
// usageInterval, those of a data centre also for a round of views.
const (
	localUsageAge  = usageInterval
	centreUsageAge = usageInterval + viewInterval
)

// usesQuotas reports whether admissions are exchanged.
func (s *Signals) usesQuotas() bool { return s.config.Quotas != nil && s.config.Quotas.IsInUse() }

// addUsage adds what this instance admitted since its last call to signals for the local peers, and further signals if they have no
// room. With none, it makes one.
func (s *Signals) addUsage(now time.Time, signals []*jywire.Signal) []*jywire.Signal {
	list := s.config.Quotas.TakeUsage()
	s.usage.addToSum(list)
	out := s.fillWithUsage(signals, list)
	out[0].Heard = uint32(s.usage.heardNear(now))
	s.usageSentAt = now
	return out
}

// fillWithUsage adds usage to the signals as far as it fits, and the rest to further ones. With no signal and no usage, it makes an
// empty one.
func (s *Signals) fillWithUsage(signals []*jywire.Signal, list []jyaccountquota.Usage) []*jywire.Signal {
	for i := 0; len(list) > 0 || len(signals) == 0; i++ {
		if i >= len(signals) {
			signals = append(signals, s.newSignal())
		}
		room := (maxDatagramBytes - usageHeadroom - proto.Size(signals[i])) / maxUsageBytes
		n := min(len(list), max(0, room))
		for _, u := range list[:n] {
			signals[i].Usage = append(signals[i].Usage, &jywire.AccountUsage{Account: uint64(u.Account), Admitted: int32(u.Admitted)})
		}
		list = list[n:]
	}
	return signals
}

// sendUsage sends the local peers what was not told with updates, or an empty signal after silenceTime. It also counts the
// instances that were heard.
func (s *Signals) sendUsage(now time.Time) {
	if s.config.Quotas == nil {
		return
	}
	s.setHeard(now)
	sinceLast := now.Sub(s.usageSentAt)
	if !s.usesQuotas() || sinceLast < usageInterval {
		return
	}
	if !s.config.Quotas.HasUsage() && sinceLast < silenceTime {
		return
	}
	for _, m := range s.addUsage(now, nil) {
		s.sendTo(m, s.peers.localPeers())
	}
}

// setHeard counts the instances that were heard. After a pause of this process it waits once, since signals are still to be read.
func (s *Signals) setHeard(now time.Time) {
	wasPaused := !s.heardSetAt.IsZero() && now.Sub(s.heardSetAt) > contactTime/2
	s.heardSetAt = now
	if !wasPaused {
		s.config.Quotas.SetHeard(now, s.usage.heard(now))
	}
}

// sendSums sends the usage of this data centre since the last round to the other data centres, or how many instances were heard after
// silenceTime. Only the representative does; the others forget the sum, so that one that takes over tells at most one round twice.
func (s *Signals) sendSums(now time.Time) {
	list := s.usage.takeSum()
	if !s.usesQuotas() || !s.peers.isRepresentative() {
		return
	}
	if len(list) == 0 && now.Sub(s.sumSentAt) < silenceTime {
		return
	}
	s.sumSentAt = now
	for _, m := range s.fillWithUsage(nil, list) {
		m.Heard = uint32(s.usage.heardNear(now))
		m.ForDataCentre = true
		m.Forward = true
		for _, to := range s.peers.relays(1) {
			s.sendTo(m, to)
		}
	}
}

// applyUsage counts the usage in a signal that waited before it was read, however long, and the contact with its sender.
func (s *Signals) applyUsage(m *jywire.Signal, waited time.Duration) {
	if s.config.Quotas == nil {
		return
	}
	now := time.Now()
	list := make([]jyaccountquota.Usage, 0, len(m.GetUsage()))
	for _, u := range m.GetUsage() {
		list = append(list, jyaccountquota.Usage{Account: jyaccountquota.Account(u.GetAccount()), Admitted: int(u.GetAdmitted())})
	}
	isNear, age := m.GetDataCentre() == s.self.DataCentre, localUsageAge
	switch {
	case isNear == m.GetForDataCentre():
		// Not meant for this instance: the sum of its own data centre, or a single instance of another one.
		return
	case isNear:
		s.usage.addNear(m.GetSender(), m.GetHeard() > 0, now.Add(-waited), list)
	default:
		list = s.usage.addCentre(m, now.Add(-waited), list)
		age = centreUsageAge
	}
	if len(list) > 0 {
		s.config.Quotas.Observe(now, list, age+waited)
	}
}
