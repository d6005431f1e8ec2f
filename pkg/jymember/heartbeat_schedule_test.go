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

func TestHeartbeatsAreCloseTogetherAfterTheStart(t *testing.T) {
	p := jymember.HeartbeatSchedule{Interval: time.Second, StartupInterval: 100 * time.Millisecond, StartupTime: 2 * time.Second}
	tests := map[string]struct {
		pace jymember.HeartbeatSchedule
		age  time.Duration
		want time.Duration
	}{
		"just started":                     {pace: p, age: 0, want: 100 * time.Millisecond},
		"met the others":                   {pace: p, age: 2 * time.Second, want: time.Second},
		"an interval shorter than meeting": {pace: jymember.HeartbeatSchedule{Interval: 50 * time.Millisecond, StartupInterval: p.StartupInterval, StartupTime: p.StartupTime}, want: 50 * time.Millisecond},
		"no time to meet":                  {pace: jymember.HeartbeatSchedule{Interval: time.Second}, want: time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tt.want, tt.pace.NextDelay(tt.age))
		})
	}
}

// beat is when an instance sends its next heartbeat.
type beat struct {
	at       time.Duration
	instance int
}

type beats []beat

func (b beats) Len() int           { return len(b) }
func (b beats) Less(i, j int) bool { return b[i].at < b[j].at }
func (b beats) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *beats) Push(x any)        { *b = append(*b, x.(beat)) }
func (b *beats) Pop() any {
	last := (*b)[len(*b)-1]
	*b = (*b)[:len(*b)-1]
	return last
}

// longestMeeting is the time after which a meeting that has not come about is given up.
const longestMeeting = 2 * time.Second

// meet starts instances within the spread, which know three seeds only, and returns how long after the last start all know all.
func meet(size int, spread time.Duration, p jymember.HeartbeatSchedule, seed uint64) time.Duration {
	took, _ := meetAndCount(size, spread, p, seed)
	return took
}

// meetAndCount also returns how many members each instance told of.
func meetAndCount(size int, spread time.Duration, p jymember.HeartbeatSchedule, seed uint64) (took time.Duration, told map[int]int) {
	f := &fleet{
		now: start, random: rand.New(rand.NewPCG(seed, 5)), down: map[int]bool{}, asked: map[int]int{}, told: map[int]int{},
		reaches: func(int, int) bool { return true },
	}
	queue := &beats{}
	started := make([]time.Duration, size)
	for i := range size {
		f.tables = append(f.tables, f.table(i, 1))
		f.down[i] = true
		started[i] = time.Duration(f.random.Int64N(int64(spread)))
		heap.Push(queue, beat{at: started[i], instance: i})
	}
	for {
		b := heap.Pop(queue).(beat)
		i := b.instance
		f.now = start.Add(b.at)
		f.down[i] = false
		f.beat(i, p, b.at-started[i])
		if b.at > spread+longestMeeting || (b.at > spread && f.haveMet()) {
			return b.at - spread, f.told
		}
		heap.Push(queue, beat{at: b.at + p.NextDelay(b.at-started[i]), instance: i})
	}
}

// beat lets an instance of that age send a heartbeat, to the seeds while it knows nobody.
func (f *fleet) beat(i int, p jymember.HeartbeatSchedule, age time.Duration) {
	if f.tables[i].WorkingCount() == 1 {
		for s := range 3 {
			if s != i {
				f.callAs(i, s, p.WantsFullState(age, ""))
			}
		}
		return
	}
	if probe, ok := f.tables[i].NextProbe(f.random.Shuffle); ok {
		f.callAs(i, index(probe.Target), p.WantsFullState(age, probe.Target.Name))
	}
}

// callAs makes a call that asks for everything or not.
func (f *fleet) callAs(from, to int, everything bool) {
	f.asked[from] = firstCalls
	if everything {
		f.asked[from] = 0
	}
	f.call(from, to)
}

func (f *fleet) haveMet() bool {
	for _, t := range f.tables {
		if t.WorkingCount() < len(f.tables) {
			return false
		}
	}
	return true
}

func TestNoInstanceTellsMoreThanItsLinkCarriesWhenAllStartTogether(t *testing.T) {
	for _, size := range []int{100, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { checkTold(t, size) })
	}
}

func TestNoInstanceTellsMoreThanItsLinkCarriesWhenTheTargetsSizeStartsTogether(t *testing.T) {
	checkTold(t, 530)
}

// checkTold asserts that no instance tells more while all meet than the slowest link carries in a second.
func checkTold(t *testing.T, size int) {
	const linkBytes, memberBytes = 10_000_000 / 8, 80
	_, told := meetAndCount(size, 300*time.Millisecond, jymember.DefaultHeartbeatSchedule(time.Second), 1)
	most := 0
	for _, n := range told {
		most = max(most, n)
	}
	assert.Less(t, most*memberBytes, linkBytes)
}

func TestInstancesThatStartTogetherKnowEachOtherWithinASecond(t *testing.T) {
	for _, size := range []int{3, 15, 53, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			for seed := range uint64(5) {
				assert.Less(t, meet(size, 300*time.Millisecond, jymember.DefaultHeartbeatSchedule(time.Second), seed), time.Second, "seed %d", seed)
			}
		})
	}
}
