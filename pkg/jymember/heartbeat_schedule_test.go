package jymember_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/pkg/jymember"
)

func TestTheHeartbeatIntervalIsShorterDuringStartup(t *testing.T) {
	schedule := jymember.HeartbeatSchedule{Interval: time.Second, StartupInterval: 100 * time.Millisecond, StartupTime: 2 * time.Second}
	tests := map[string]struct {
		schedule jymember.HeartbeatSchedule
		age      time.Duration
		want     time.Duration
	}{
		"just started":                           {schedule: schedule, age: 0, want: 100 * time.Millisecond},
		"after the startup":                      {schedule: schedule, age: 2 * time.Second, want: time.Second},
		"an interval below the startup interval": {schedule: jymember.HeartbeatSchedule{Interval: 50 * time.Millisecond, StartupInterval: schedule.StartupInterval, StartupTime: schedule.StartupTime}, want: 50 * time.Millisecond},
		"no startup":                             {schedule: jymember.HeartbeatSchedule{Interval: time.Second}, want: time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tt.want, tt.schedule.NextDelay(tt.age))
		})
	}
}

// heartbeat is the next heartbeat of an instance.
type heartbeat struct {
	at       time.Duration
	instance int
}

type heartbeatQueue []heartbeat

func (b heartbeatQueue) Len() int           { return len(b) }
func (b heartbeatQueue) Less(i, j int) bool { return b[i].at < b[j].at }
func (b heartbeatQueue) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *heartbeatQueue) Push(x any)        { *b = append(*b, x.(heartbeat)) }
func (b *heartbeatQueue) Pop() any {
	last := (*b)[len(*b)-1]
	*b = (*b)[:len(*b)-1]
	return last
}

// startupLimit is the time after the end of the spread at which the simulation stops, whether or not all instances know each other.
const startupLimit = 2 * time.Second

// simulateStartup starts instances at random times within the spread, with only three seeds known, and returns the time from the
// end of the spread until all know each other, or until startupLimit.
func simulateStartup(size int, spread time.Duration, schedule jymember.HeartbeatSchedule, seed uint64) time.Duration {
	duration, _ := simulateStartupAndCount(size, spread, schedule, seed)
	return duration
}

// simulateStartupAndCount also returns how many members each instance sent in full states.
func simulateStartupAndCount(size int, spread time.Duration, schedule jymember.HeartbeatSchedule, seed uint64) (duration time.Duration, membersSent map[int]int) {
	f := &fleet{
		now: start, random: rand.New(rand.NewPCG(seed, 5)), down: map[int]bool{}, callCount: map[int]int{}, membersSent: map[int]int{},
		reaches: func(int, int) bool { return true },
	}
	queue := &heartbeatQueue{}
	started := make([]time.Duration, size)
	for i := range size {
		f.tables = append(f.tables, f.table(i, 1))
		f.down[i] = true
		started[i] = time.Duration(f.random.Int64N(int64(spread)))
		heap.Push(queue, heartbeat{at: started[i], instance: i})
	}
	for {
		b := heap.Pop(queue).(heartbeat)
		i := b.instance
		f.now = start.Add(b.at)
		f.down[i] = false
		f.sendHeartbeat(i, schedule, b.at-started[i])
		if b.at > spread+startupLimit || (b.at > spread && f.allKnowAll()) {
			return b.at - spread, f.membersSent
		}
		heap.Push(queue, heartbeat{at: b.at + schedule.NextDelay(b.at-started[i]), instance: i})
	}
}

// sendHeartbeat sends a heartbeat of an instance whose process run has that age, to the seeds while it knows no other instance.
func (f *fleet) sendHeartbeat(i int, schedule jymember.HeartbeatSchedule, age time.Duration) {
	if f.tables[i].WorkingCount() == 1 {
		for s := range 3 {
			if s != i {
				f.callWanting(i, s, schedule.WantsFullState(age, ""))
			}
		}
		return
	}
	if probe, ok := f.tables[i].NextProbe(f.random.Shuffle); ok {
		f.callWanting(i, index(probe.Target), schedule.WantsFullState(age, probe.Target.Name))
	}
}

// callWanting exchanges a heartbeat that asks for the full state if fullState is true, however many calls from has made.
func (f *fleet) callWanting(from, to int, fullState bool) {
	f.callCount[from] = fullStateCalls
	if fullState {
		f.callCount[from] = 0
	}
	f.call(from, to)
}

func (f *fleet) allKnowAll() bool {
	for _, t := range f.tables {
		if t.WorkingCount() < len(f.tables) {
			return false
		}
	}
	return true
}

func TestNoInstanceSendsMoreThanItsLinkCarriesWhenAllStartTogether(t *testing.T) {
	for _, size := range []int{100, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { checkMembersSent(t, size) })
	}
}

func TestNoInstanceTellsMoreThanItsLinkCarriesWhenTheTargetsSizeStartsTogether(t *testing.T) {
	checkMembersSent(t, 530)
}

// checkMembersSent asserts that the full states that each instance sends during the startup of size instances stay below what the
// slowest link, of 10 Mbit/s, carries in a second. They exceed it if all instances ask the same few for their full state.
func checkMembersSent(t *testing.T, size int) {
	const linkBytes, memberBytes = 10_000_000 / 8, 80
	_, membersSent := simulateStartupAndCount(size, 300*time.Millisecond, jymember.DefaultHeartbeatSchedule(time.Second), 1)
	most := 0
	for _, n := range membersSent {
		most = max(most, n)
	}
	assert.Less(t, most*memberBytes, linkBytes)
}

func TestInstancesThatStartTogetherKnowEachOtherWithinASecond(t *testing.T) {
	for _, size := range []int{3, 15, 53, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			for seed := range uint64(5) {
				assert.Less(t, simulateStartup(size, 300*time.Millisecond, jymember.DefaultHeartbeatSchedule(time.Second), seed), time.Second, "seed %d", seed)
			}
		})
	}
}
