package jyring

import "sync"

// Ring is a bounded queue for many producers and one consumer; when it is full, the oldest item is dropped and counted.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int
	count   int
	dropped uint64
	ready   chan struct{}
}

// New returns a ring for at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make([]T, size), ready: make(chan struct{}, 1)}
}

// Push adds an item and drops the oldest one if the ring is full.
func (r *Ring[T]) Push(v T) {
	r.mu.Lock()
	if r.count == len(r.items) {
		r.head = (r.head + 1) % len(r.items)
		r.count--
		r.dropped++
	}
	r.items[(r.head+r.count)%len(r.items)] = v
	r.count++
	r.mu.Unlock()
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// Ready signals the consumer that Drain may return items.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Drain appends all queued items to buffer, oldest first, and empties the ring.
func (r *Ring[T]) Drain(buffer []T) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zero T
	for r.count > 0 {
		buffer = append(buffer, r.items[r.head])
		r.items[r.head] = zero
		r.head = (r.head + 1) % len(r.items)
		r.count--
	}
	return buffer
}

// Dropped returns how many items were dropped so far.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
