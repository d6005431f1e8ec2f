package jymember_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/pkg/jymember"
)

var start = time.Unix(1_000_000, 0)

// fleet simulates the tables of a fleet in virtual time. reaches reports whether messages from one instance reach another.
type fleet struct {
	now         time.Time
	random      *rand.Rand
	tables      []*jymember.Table
	down        map[int]bool // instances that neither send nor answer
	callCount   map[int]int  // answered calls of each instance; the first ones ask for the full state
	membersSent map[int]int  // updates that each instance sent in full states
	reaches     func(from, to int) bool
}

// newFleet returns a fleet in which all instances are in the platform's list and all messages arrive.
func newFleet(size int, seed uint64) *fleet {
	f := &fleet{
		now: start, random: rand.New(rand.NewPCG(seed, 3)),
		down: map[int]bool{}, callCount: map[int]int{}, membersSent: map[int]int{},
		reaches: func(int, int) bool { return true },
	}
	var seeds []jymember.ListedInstance
	for i := range size {
		seeds = append(seeds, jymember.ListedInstance{Name: name(i), Address: fmt.Sprint(i), DataCentre: fmt.Sprint("dc-", i%3)})
	}
	for i := range size {
		f.tables = append(f.tables, f.newTable(i, 1))
		f.tables[i].SyncList(f.now, seeds)
	}
	return f
}

func name(i int) jymember.Name { return jymember.Name(fmt.Sprintf("entry-%03d", i)) }

// newTable returns the table of an instance that has just started.
func (f *fleet) newTable(i int, boot jymember.Boot) *jymember.Table {
	return jymember.NewTable(jymember.Config{
		SuspectTimeout: 3 * time.Second, DeadRetention: time.Minute, SuccessionRetention: time.Hour, Helpers: 3, UpdatesPerCall: 40,
	}, jymember.Member{Name: name(i), Boot: boot, Address: fmt.Sprint(i), DataCentre: fmt.Sprint("dc-", i%3)})
}

// fullStateCalls is the number of first calls of an instance that ask for the full state.
const fullStateCalls = 3

// call exchanges a heartbeat and reports whether the answer arrived.
func (f *fleet) call(from, to int) bool {
	if f.down[from] || f.down[to] || !f.reaches(from, to) {
		return false
	}
	isUnknownRun := f.tables[to].IsUnknownRun(f.tables[from].Self())
	f.tables[to].Merge(f.now, f.tables[from].UpdatesFor(name(to)))
	f.tables[to].RecordAnswer(f.now, f.tables[from].Self())
	if !f.reaches(to, from) {
		return false
	}
	f.callCount[from]++
	if f.callCount[from] <= fullStateCalls {
		fullState := f.tables[to].FullState()
		f.membersSent[to] += len(fullState)
		f.tables[from].MergeFullState(f.now, fullState)
	} else {
		f.tables[from].Merge(f.now, f.tables[to].UpdatesFor(name(from)))
		if isUnknownRun {
			f.tables[from].Merge(f.now, f.tables[to].AliveSample(f.random.Shuffle))
		}
	}
	f.tables[from].RecordAnswer(f.now, f.tables[to].Self())
	return true
}

// index returns the index of an instance in the fleet, which is its address.
func index(m jymember.Member) int {
	var i int
	if _, err := fmt.Sscan(m.Address, &i); err != nil {
		panic(err)
	}
	return i
}

// runRound advances the time by a second and lets each instance send one heartbeat.
func (f *fleet) runRound() {
	f.now = f.now.Add(time.Second)
	for i, t := range f.tables {
		if f.down[i] {
			continue
		}
		t.Expire(f.now)
		p, ok := t.NextProbe(f.random.Shuffle)
		if !ok || f.call(i, index(p.Target)) || f.callVia(i, p) {
			continue
		}
		t.RecordProbeFailure(f.now, p.Target)
	}
}

// callVia lets the helpers, one after the other, probe the target, and reports whether one of them got its answer.
func (f *fleet) callVia(from int, p jymember.Probe) bool {
	for _, h := range p.Helpers {
		if f.call(from, index(h)) && f.call(index(h), index(p.Target)) {
			f.tables[from].RecordAnswer(f.now, f.tables[index(p.Target)].Self())
			return true
		}
	}
	return false
}

// statusCount returns how many of the other running instances have the instance in the status.
func (f *fleet) statusCount(i int, s jymember.Status) int {
	n := 0
	for k, t := range f.tables {
		if k == i || f.down[k] {
			continue
		}
		if m, ok := t.Find(name(i)); ok && m.Status == s {
			n++
		}
	}
	return n
}

func (f *fleet) runRounds(n int) {
	for range n {
		f.runRound()
	}
}

func TestADeadInstanceIsDetectedByAll(t *testing.T) {
	f := newFleet(15, 1)
	f.runRounds(5)
	f.down[4] = true
	f.runRounds(15)
	assert.Equal(t, 14, f.statusCount(4, jymember.Dead))
}

// An instance that others still reach must not be declared dead: helpers answer for it, or it refutes the suspicion.
func TestPartialPartitionsDeclareNoInstanceDead(t *testing.T) {
	tests := map[string]func(from, to int) bool{
		"messages from one instance to another are lost":       func(from, to int) bool { return from != 2 || to != 7 },
		"messages from one instance to a data centre are lost": func(from, to int) bool { return from != 2 || to%3 != 1 },
		"five pairs of instances cannot reach each other":      func(from, to int) bool { return from+to != 9 },
	}
	for name, reaches := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(15, 2)
			f.reaches = reaches
			for range 60 {
				f.runRound()
				for i := range f.tables {
					require.Zero(t, f.statusCount(i, jymember.Dead), "instance %d", i)
				}
			}
		})
	}
}

// The others have the earlier process run as Dead, which a later boot supersedes.
func TestARestartedInstanceIsAliveAgain(t *testing.T) {
	f := newFleet(15, 3)
	f.down[4] = true
	f.runRounds(20)
	f.down[4] = false
	f.tables[4], f.callCount[4] = f.newTable(4, 2), 0
	f.tables[4].SyncList(f.now, []jymember.ListedInstance{{Name: name(5), Address: "5"}})
	f.runRounds(20)
	assert.Equal(t, 14, f.statusCount(4, jymember.Alive))
}

// Both sides declare each other dead and stop gossiping that. They find each other again only because members in the platform's
// list are probed even if they are Dead.
func TestAPartitionedFleetRecovers(t *testing.T) {
	f := newFleet(15, 4)
	f.reaches = func(from, to int) bool { return (from < 6) == (to < 6) }
	// After 150 rounds no instance gossips any more that the others are dead.
	f.runRounds(150)
	assert.Equal(t, 5, f.statusCount(0, jymember.Alive), "in its partition")
	f.reaches = func(int, int) bool { return true }
	f.runRounds(60)
	for i := range f.tables {
		assert.Equal(t, 14, f.statusCount(i, jymember.Alive), "instance %d", i)
	}
}

func TestTheLastSuccessorOwnsTheRequestIDsOfARunThatLeft(t *testing.T) {
	table := newFleet(5, 5).tables[0]
	run := func(i int, boot jymember.Boot) jymember.Run { return jymember.Run{Name: name(i), Boot: boot} }
	table.Merge(start, []jymember.Update{
		{Member: &jymember.Member{Name: name(3), Boot: 8, Address: "3"}},
		{Succession: &jymember.Succession{From: run(2, 5), To: run(3, 8)}},
		{Succession: &jymember.Succession{From: run(1, 4), To: run(2, 5)}},
	})
	m, ok := table.Owner(run(1, 4))
	require.True(t, ok)
	assert.Equal(t, name(3), m.Name)

	_, ok = table.Owner(run(3, 7))
	assert.False(t, ok, "an earlier run without a successor")
}

func TestUpdatesReachAllInAFewRounds(t *testing.T) {
	f := newFleet(120, 6)
	f.runRounds(3)
	f.tables[7].Leave(f.now, nil)
	f.runRounds(12)
	assert.Equal(t, 119, f.statusCount(7, jymember.Left))
}
