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

// fleet runs tables against each other in virtual time; reaches says whether a call and its answer get through.
type fleet struct {
	now     time.Time
	random  *rand.Rand
	tables  []*jymember.Table
	down    map[int]bool
	asked   map[int]int // calls of each instance so far: the first ones ask for everything
	told    map[int]int // members that each instance told of when it was asked for everything
	reaches func(from, to int) bool
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{now: start, random: rand.New(rand.NewPCG(seed, 3)), down: map[int]bool{}, asked: map[int]int{}, told: map[int]int{}, reaches: func(int, int) bool { return true }}
	var seeds []jymember.ListedInstance
	for i := range size {
		seeds = append(seeds, jymember.ListedInstance{Name: name(i), Address: fmt.Sprint(i), DataCentre: fmt.Sprint("dc-", i%3)})
	}
	for i := range size {
		f.tables = append(f.tables, f.table(i, 1))
		f.tables[i].SyncList(f.now, seeds)
	}
	return f
}

func name(i int) jymember.Name { return jymember.Name(fmt.Sprintf("entry-%03d", i)) }

func (f *fleet) table(i int, boot jymember.Boot) *jymember.Table {
	return jymember.NewTable(jymember.Config{
		SuspectTimeout: 3 * time.Second, DeadRetention: time.Minute, SuccessionRetention: time.Hour, Helpers: 3, UpdatesPerCall: 40,
	}, jymember.Member{Name: name(i), Boot: boot, Address: fmt.Sprint(i), DataCentre: fmt.Sprint("dc-", i%3)})
}

// firstCalls is how many calls of an instance ask for everything.
const firstCalls = 3

// call exchanges a heartbeat and reports whether it was answered.
func (f *fleet) call(from, to int) bool {
	if f.down[from] || f.down[to] || !f.reaches(from, to) {
		return false
	}
	isStranger := f.tables[to].IsUnknownRun(f.tables[from].Self())
	f.tables[to].Merge(f.now, f.tables[from].UpdatesFor(name(to)))
	f.tables[to].RecordAnswer(f.now, f.tables[from].Self())
	if !f.reaches(to, from) {
		return false
	}
	f.asked[from]++
	if f.asked[from] <= firstCalls {
		everything := f.tables[to].FullState()
		f.told[to] += len(everything)
		f.tables[from].MergeFullState(f.now, everything)
	} else {
		f.tables[from].Merge(f.now, f.tables[to].UpdatesFor(name(from)))
		if isStranger {
			f.tables[from].Merge(f.now, f.tables[to].AliveSample(f.random.Shuffle))
		}
	}
	f.tables[from].RecordAnswer(f.now, f.tables[to].Self())
	return true
}

func index(m jymember.Member) int {
	var i int
	if _, err := fmt.Sscan(m.Address, &i); err != nil {
		panic(err)
	}
	return i
}

// round lets each instance send one heartbeat.
func (f *fleet) round() {
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

func (f *fleet) callVia(from int, p jymember.Probe) bool {
	for _, h := range p.Helpers {
		if f.call(from, index(h)) && f.call(index(h), index(p.Target)) {
			f.tables[from].RecordAnswer(f.now, f.tables[index(p.Target)].Self())
			return true
		}
	}
	return false
}

// holds returns how many of the others hold the instance in the status.
func (f *fleet) holds(i int, s jymember.Status) int {
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

func (f *fleet) rounds(n int) {
	for range n {
		f.round()
	}
}

func TestADeadInstanceIsFoundEverywhere(t *testing.T) {
	f := newFleet(15, 1)
	f.rounds(5)
	f.down[4] = true
	f.rounds(15)
	assert.Equal(t, 14, f.holds(4, jymember.Dead))
}

func TestNobodyDiesOfACutInOneDirection(t *testing.T) {
	tests := map[string]func(from, to int) bool{
		"one instance hears one other, and is not heard by it": func(from, to int) bool { return from != 2 || to != 7 },
		"one instance is not heard by a whole centre":          func(from, to int) bool { return from != 2 || to%3 != 1 },
		"two instances do not reach each other":                func(from, to int) bool { return from+to != 9 },
	}
	for name, reaches := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(15, 2)
			f.reaches = reaches
			for range 60 {
				f.round()
				for i := range f.tables {
					require.Zero(t, f.holds(i, jymember.Dead), "instance %d", i)
				}
			}
		})
	}
}

func TestARestartedInstanceIsAliveAgain(t *testing.T) {
	f := newFleet(15, 3)
	f.down[4] = true
	f.rounds(20)
	f.down[4] = false
	f.tables[4], f.asked[4] = f.table(4, 2), 0
	f.tables[4].SyncList(f.now, []jymember.ListedInstance{{Name: name(5), Address: "5"}})
	f.rounds(20)
	assert.Equal(t, 14, f.holds(4, jymember.Alive))
}

func TestAFleetInTwoPartsHeals(t *testing.T) {
	f := newFleet(15, 4)
	f.reaches = func(from, to int) bool { return (from < 6) == (to < 6) }
	// After so long, nobody passes the news of the deaths on any more.
	f.rounds(150)
	assert.Equal(t, 5, f.holds(0, jymember.Alive), "its own part")
	f.reaches = func(int, int) bool { return true }
	f.rounds(60)
	for i := range f.tables {
		assert.Equal(t, 14, f.holds(i, jymember.Alive), "instance %d", i)
	}
}

func TestTheHolderOfALeftRunIsItsLastSuccessor(t *testing.T) {
	table := newFleet(5, 5).tables[0]
	run := func(i int, boot jymember.Boot) jymember.Run { return jymember.Run{Name: name(i), Boot: boot} }
	table.Merge(start, []jymember.Update{
		{Member: &jymember.Member{Name: name(3), Boot: 8, Address: "3"}},
		{Succession: &jymember.Succession{From: run(2, 5), To: run(3, 8)}},
		{Succession: &jymember.Succession{From: run(1, 4), To: run(2, 5)}},
	})
	m, ok := table.ResponsibleFor(run(1, 4))
	require.True(t, ok)
	assert.Equal(t, name(3), m.Name)

	_, ok = table.ResponsibleFor(run(3, 7))
	assert.False(t, ok, "an earlier run that handed nothing over")
}

func TestNewsReachAllInAFewRounds(t *testing.T) {
	f := newFleet(120, 6)
	f.rounds(3)
	f.tables[7].Leave(f.now, nil)
	f.rounds(12)
	assert.Equal(t, 119, f.holds(7, jymember.Left))
}
