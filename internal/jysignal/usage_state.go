package jysignal

import (
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jyaccountquota"
)

const (
	// contactTime is how long an instance counts as heard after its last signal.
	contactTime = time.Second
	// takeoverTime is the silence of a data centre's representative after which another one's sums count: two rounds and the time
	// by which they may be delayed. An idle representative sends each silenceTime.
	takeoverTime = 400 * time.Millisecond
)

// usageState is what the signals told about admissions and contact. It is safe for concurrent use.
type usageState struct {
	mu      sync.Mutex
	sum     map[jyaccountquota.Account]int // of this data centre, since the last round
	near    map[string]time.Time           // when the other instances of this data centre were last heard, by name
	centres map[string]*centreUsage        // the other data centres, by name
}

// centreUsage is what another data centre's representative told.
type centreUsage struct {
	sender string
	at     time.Time // of its last signal
	heard  int       // instances that it heard, itself included
	// rival is another instance that sends sums, and pending is what it told since the last signal of sender. They count the same
	// requests while the instances of that data centre don't agree on the representative.
	rival   string
	pending []jyaccountquota.Usage
}

func newUsageState() *usageState {
	return &usageState{sum: map[jyaccountquota.Account]int{}, near: map[string]time.Time{}, centres: map[string]*centreUsage{}}
}

// addToSum adds admissions in this data centre.
func (u *usageState) addToSum(list []jyaccountquota.Usage) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, v := range list {
		u.sum[v.Account] += v.Admitted
	}
}

// takeSum returns the admissions in this data centre since its last call.
func (u *usageState) takeSum() []jyaccountquota.Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []jyaccountquota.Usage
	for account, n := range u.sum {
		if n != 0 {
			out = append(out, jyaccountquota.Usage{Account: account, Admitted: n})
		}
	}
	clear(u.sum)
	return out
}

// addNear adds what another instance of this data centre told at a time. It counts as heard only if it exchanges usage, which old
// builds don't.
func (u *usageState) addNear(sender string, exchangesUsage bool, at time.Time, list []jyaccountquota.Usage) {
	u.addToSum(list)
	u.mu.Lock()
	defer u.mu.Unlock()
	if exchangesUsage && at.After(u.near[sender]) {
		u.near[sender] = at
	}
}

// addCentre adds the sum of another data centre that was told at a time, and returns what counts now.
func (u *usageState) addCentre(m *jywire.Signal, at time.Time, list []jyaccountquota.Usage) []jyaccountquota.Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.centres[m.GetDataCentre()]
	if c == nil {
		c = &centreUsage{sender: m.GetSender()}
		u.centres[m.GetDataCentre()] = c
	}
	if m.GetSender() != c.sender && at.Sub(c.at) < takeoverTime {
		c.addPending(m.GetSender(), list)
		return nil
	}
	if m.GetSender() == c.rival {
		list = append(c.pending, list...)
	}
	if at.Before(c.at) {
		at = c.at
	}
	*c = centreUsage{sender: m.GetSender(), at: at, heard: int(m.GetHeard())}
	return list
}

// addPending keeps what a second representative told.
func (c *centreUsage) addPending(sender string, list []jyaccountquota.Usage) {
	if sender != c.rival {
		c.rival, c.pending = sender, nil
	}
	c.pending = append(c.pending, list...)
}

// heardNear returns how many instances of this data centre were heard within contactTime, this one included.
func (u *usageState) heardNear(now time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name, at := range u.near {
		if now.Sub(at) > contactTime {
			delete(u.near, name)
		}
	}
	return 1 + len(u.near)
}

// heard returns how many instances were heard within contactTime, this one included.
func (u *usageState) heard(now time.Time) int {
	out := u.heardNear(now)
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.centres {
		if now.Sub(c.at) <= contactTime {
			out += c.heard
		}
	}
	return out
}
