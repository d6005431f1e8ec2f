package jyqueue

import (
	"math"
	"time"
)

// Request is a request that waits for a server.
type Request struct {
	// ID identifies the request in its queue.
	ID       uint64
	Account  string
	Priority int // 0 comes first
	Deadline time.Time
	// Bytes is the size of its buffered body.
	Bytes int64
}

// Config sets up a Queue.
type Config struct {
	// MaxRequests and MaxBytes bound the requests that wait and the bytes of their bodies.
	MaxRequests int
	MaxBytes    int64
}

// DefaultMaxRequests and DefaultMaxBytes bound the queue of one service at one instance.
const (
	DefaultMaxRequests = 256
	DefaultMaxBytes    = 4 << 20
)

// servedTime is the time constant with which the requests that an account was served lose weight.
const servedTime = 2 * time.Second

// Queue holds the requests that wait at one instance for a server of one service. It is not safe for concurrent use.
type Queue struct {
	config    Config
	waiting   []Request
	bytes     int64
	served    map[string]float64 // decayed numbers of requests by account, as of updatedAt
	updatedAt time.Time
}

// New returns an empty queue.
func New(c Config) *Queue { return &Queue{config: c, served: map[string]float64{}} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Add puts a request into the queue and reports whether it did. It does not if the queue is full, or if those ahead of the request
// leave no time to serve it before its deadline, at the given number of requests per second that the servers run for this instance.
func (q *Queue) Add(now time.Time, r Request, rate float64, serviceTime time.Duration) bool {
	if len(q.waiting) >= q.config.MaxRequests || q.bytes+r.Bytes > q.config.MaxBytes || rate <= 0 {
		return false
	}
	wait := time.Duration(float64(q.ahead(r)+1) / rate * float64(time.Second))
	if now.Add(wait + serviceTime).After(r.Deadline) {
		return false
	}
	q.waiting = append(q.waiting, r)
	q.bytes += r.Bytes
	return true
}

// ahead returns the number of waiting requests of the same or a higher priority.
func (q *Queue) ahead(r Request) int {
	n := 0
	for _, x := range q.waiting {
		if x.Priority <= r.Priority {
			n++
		}
	}
	return n
}

// Next returns the request that comes first among those that can still be served, or false: by priority, then the account that was
// served least, then the earliest deadline.
func (q *Queue) Next(now time.Time, serviceTime time.Duration) (Request, bool) {
	q.decay(now)
	best := -1
	for i, r := range q.waiting {
		if now.Add(serviceTime).After(r.Deadline) {
			continue
		}
		if best < 0 || q.isBefore(r, q.waiting[best]) {
			best = i
		}
	}
	if best < 0 {
		return Request{}, false
	}
	return q.waiting[best], true
}

func (q *Queue) isBefore(a, b Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if x, y := q.served[a.Account], q.served[b.Account]; x != y {
		return x < y
	}
	return a.Deadline.Before(b.Deadline)
}

// Serve removes a request that is sent to a server, and counts it for its account.
func (q *Queue) Serve(now time.Time, r Request) {
	q.decay(now)
	if q.Remove(r.ID) {
		q.served[r.Account]++
	}
}

// Remove removes the request with the id and reports whether it was waiting.
func (q *Queue) Remove(id uint64) bool {
	for i, r := range q.waiting {
		if r.ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			q.bytes -= r.Bytes
			return true
		}
	}
	return false
}

// TakeExpired removes and returns the requests that can't be served before their deadline any more.
func (q *Queue) TakeExpired(now time.Time, serviceTime time.Duration) []Request {
	var out []Request
	kept := q.waiting[:0]
	for _, r := range q.waiting {
		if now.Add(serviceTime).After(r.Deadline) {
			out = append(out, r)
			q.bytes -= r.Bytes
			continue
		}
		kept = append(kept, r)
	}
	q.waiting = kept
	return out
}

// TakeAll removes and returns all requests, for the shutdown.
func (q *Queue) TakeAll() []Request {
	out := q.waiting
	q.waiting, q.bytes = nil, 0
	return out
}

// minServed is the decayed number of served requests below which an account is forgotten.
const minServed = 0.01

func (q *Queue) decay(now time.Time) {
	if elapsed := now.Sub(q.updatedAt); !q.updatedAt.IsZero() && elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / servedTime.Seconds())
		for account, n := range q.served {
			q.served[account] = n * factor
			if n*factor < minServed {
				delete(q.served, account)
			}
		}
	}
	q.updatedAt = now
}
