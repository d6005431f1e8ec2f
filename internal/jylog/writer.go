package jylog

import (
	"io"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jyring"
)

const (
	// maxQueuedLines bounds the lines that wait to be written. Beyond it, the oldest are dropped.
	maxQueuedLines = 4096
	// closeTimeout is the longest time that Close waits for the queued lines to be written.
	closeTimeout = 500 * time.Millisecond
)

// Writer writes lines to another writer in a goroutine of its own, so that a slow reader never blocks the caller.
type Writer struct {
	out  io.Writer
	ring *jyring.Ring[[]byte]
	stop chan struct{} // closed by Close
	done chan struct{} // closed when the goroutine has ended
}

// NewWriter returns a writer to out and starts its goroutine, which Close stops.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, ring: jyring.New[[]byte](maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line, which must include its line break. It neither blocks nor fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.ring.Push(append([]byte(nil), line...))
	return len(line), nil
}

// Dropped returns how many lines were dropped because the queue was full.
func (w *Writer) Dropped() uint64 { return w.ring.Dropped() }

// Close writes the queued lines and stops the writer. It waits at most 500 ms. It must be called only once.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-w.ring.Ready():
			w.flush()
		}
	}
}

func (w *Writer) flush() {
	for _, line := range w.ring.Drain(nil) {
		// An error of the log itself cannot be logged.
		_, _ = w.out.Write(line)
	}
}
