package jyexperiment

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their virtual time; events of the same time run in the order of their scheduling.
type clock struct {
	now      time.Duration // virtual time since the start of the run
	events   eventQueue
	sequence uint64
}

type event struct {
	at       time.Duration // virtual time at which run is called
	sequence uint64        // number of the event in the order of scheduling
	run      func()
}

// eventQueue is a heap.Interface with the next event first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// after schedules a call of run after the virtual time d.
func (c *clock) after(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now + d, sequence: c.sequence, run: run})
}

// run runs events until none is left, including those that other events schedule.
func (c *clock) run() {
	for c.events.Len() > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}
