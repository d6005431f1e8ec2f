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
		"just started":      {schedule: schedule, age: 0, want: 100 * time.Millisecond},
		"after the startup": {schedule: schedule, age: 2 * time.Second, want: time.Second},
		"an interval below the startup interval": {
			schedule: jymember.HeartbeatSchedule{
				Interval: 50 * time.Millisecond, StartupInterval: schedule.StartupInterval, StartupTime: schedule.StartupTime,
			},
			want: 50 * time.Millisecond,
		},
		"no startup": {schedule: jymember.HeartbeatSchedule{Interval: time.Second}, want: time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tt.want, tt.schedule.NextDelay(tt.age))
		})
	}
}

// heartbeat is the next heartbeat of an instance.
type heartbeat struct {
	at       time.Duration // virtual time since the start of the simulation
	instance int
}

// heartbeatQueue is a heap.Interface with the next heartbeat first.
type heartbeatQueue []heartbeat

func (q heartbeatQueue) Len() int           { return len(q) }
func (q heartbeatQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q heartbeatQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *heartbeatQueue) Push(x any)        { *q = append(*q, x.(heartbeat)) }
func (q *heartbeatQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// startupLimit is the time after the spread at which the simulation stops if the instances don't all know each other by then.
const startupLimit = 2 * time.Second

// simulateStartup starts instances at random times within the spread. At its start, an instance knows only the addresses of three
// seeds. It returns the time from the end of the spread until all instances know each other, or until startupLimit.
func simulateStartup(size int, spread time.Duration, schedule jymember.HeartbeatSchedule, seed uint64) time.Duration {
	duration, _ := simulateStartupAndCount(size, spread, schedule, seed)
	return duration
}

// simulateStartupAndCount also returns how many members each instance sent in full states.
func simulateStartupAndCount(
	size int, spread time.Duration, schedule jymember.HeartbeatSchedule, seed uint64,
) (duration time.Duration, membersSent map[int]int) {
	f := &fleet{
		now: start, random: rand.New(rand.NewPCG(seed, 5)), down: map[int]bool{}, callCount: map[int]int{}, membersSent: map[int]int{},
		reaches: func(int, int) bool { return true },
	}
	queue := &heartbeatQueue{}
	started := make([]time.Duration, size)
	for i := range size {
		f.tables = append(f.tables, f.newTable(i, 1))
		f.down[i] = true
		started[i] = time.Duration(f.random.Int64N(int64(spread)))
		heap.Push(queue, heartbeat{at: started[i], instance: i})
	}
	for {
		h := heap.Pop(queue).(heartbeat)
		i := h.instance
		f.now = start.Add(h.at)
		f.down[i] = false
		f.sendHeartbeat(i, schedule, h.at-started[i])
		if h.at > spread+startupLimit || (h.at > spread && f.allKnowAll()) {
			return h.at - spread, f.membersSent
		}
		heap.Push(queue, heartbeat{at: h.at + schedule.NextDelay(h.at-started[i]), instance: i})
	}
}

// sendHeartbeat sends a heartbeat of an instance whose process run has that age, to the seeds while it knows no other instance.
func (f *fleet) sendHeartbeat(i int, schedule jymember.HeartbeatSchedule, age time.Duration) {
	if f.tables[i].WorkingCount() == 1 {
		for s := range 3 {
			if s != i {
				f.callWithFullState(i, s, schedule.WantsFullState(age, ""))
			}
		}
		return
	}
	if probe, ok := f.tables[i].NextProbe(f.random.Shuffle); ok {
		f.callWithFullState(i, index(probe.Target), schedule.WantsFullState(age, probe.Target.Name))
	}
}

// callWithFullState exchanges a heartbeat that asks for the full state if wantsFullState is set, whatever the number of earlier
// calls.
func (f *fleet) callWithFullState(from, to int, wantsFullState bool) {
	f.callCount[from] = fullStateCalls
	if wantsFullState {
		f.callCount[from] = 0
	}
	f.call(from, to)
}

// allKnowAll reports whether each instance has all instances as working.
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

func TestNoInstanceSendsMoreThanItsLinkCarriesWhenTheTargetsSizeStartsTogether(t *testing.T) {
	checkMembersSent(t, 530)
}

// checkMembersSent asserts that the full states that each instance sends during the startup of size instances stay below what the
// slowest link, of 10 Mbit/s, carries in a second. They exceed it if all instances ask the same few for their full state.
func checkMembersSent(t *testing.T, size int) {
	const linkBytes, memberBytes = 10_000_000 / 8, 80 // per second, and of one member in a full state
	_, membersSent := simulateStartupAndCount(size, 300*time.Millisecond, jymember.DefaultHeartbeatSchedule(time.Second), 1)
	maxSent := 0
	for _, n := range membersSent {
		maxSent = max(maxSent, n)
	}
	assert.Less(t, maxSent*memberBytes, linkBytes)
}

// Guards against a slow discovery after a common start, such as with heartbeats at the ordinary interval of a second.
func TestInstancesThatStartTogetherKnowEachOtherWithinASecond(t *testing.T) {
	for _, size := range []int{3, 15, 53, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			for seed := range uint64(5) {
				assert.Less(t,
					simulateStartup(size, 300*time.Millisecond, jymember.DefaultHeartbeatSchedule(time.Second), seed),
					time.Second, "seed %d", seed)
			}
		})
	}
}
