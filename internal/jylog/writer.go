package jylog

import (
	"io"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jyring"
)

const (
	// ringLines bounds the lines that wait to be written; the oldest make room.
	ringLines = 4096
	// closeTime is how long Close waits for a reader that does not read.
	closeTime = 500 * time.Millisecond
)

// Writer passes lines on without ever making the caller wait for whoever reads them.
type Writer struct {
	out  io.Writer
	ring *jyring.Ring[[]byte]
	stop chan struct{}
	done chan struct{}
}

// NewWriter returns a writer to out; Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, ring: jyring.New[[]byte](ringLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line; it never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.ring.Push(append([]byte(nil), line...))
	return len(line), nil
}

// Dropped returns how many lines were lost because nobody read them in time.
func (w *Writer) Dropped() uint64 { return w.ring.Dropped() }

// Close writes what waits, if it is read soon, and ends the writer.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTime):
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
		// There is nowhere to tell of an error of the log itself.
		_, _ = w.out.Write(line)
	}
}
