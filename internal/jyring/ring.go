package jyring

import "sync"

// Ring is a bounded queue for many producers and one consumer. If it is full, a new item replaces the oldest one, which is
// counted as dropped.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int // index of the oldest item
	count   int // queued items
	dropped uint64
	ready   chan struct{}
}

// New returns an empty ring for at most size items; size must be above 0.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make([]T, size), ready: make(chan struct{}, 1)}
}

// Push adds an item, and drops the oldest one if the ring is full.
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

// Ready returns a channel that receives a value after a Push. It buffers only one value for any number of Push calls. The Drain
// that follows may therefore return many items, or none if an earlier Drain returned them.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Drain appends all queued items to buffer, oldest first, empties the ring and returns the extended buffer.
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

// Dropped returns how many items were dropped since the ring was made.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
