package jylog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// blockedWriter blocks like a pipe that nobody reads.
type blockedWriter struct{ release chan struct{} }

// Write blocks until release is closed.
func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

func TestWriteDropsLinesInsteadOfBlockingWhenNobodyReads(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	defer close(out.release)
	w := NewWriter(out)
	for i := range 3 * maxQueuedLines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		assert.NoError(t, err)
	}
	assert.Positive(t, w.Dropped())
	w.Close()
}

func TestLinesPerSecondAreBoundedForEachEvent(t *testing.T) {
	l := &limiter{windows: map[int]*window{}}
	now := time.Unix(1_000_000, 0)
	written := 0
	for range 100 {
		if ok, _ := l.allow(now, 600, 10); ok {
			written++
		}
	}
	assert.Equal(t, 10, written)
	ok, suppressed := l.allow(now.Add(time.Second), 600, 10)
	assert.True(t, ok)
	assert.Equal(t, 90, suppressed)
	ok, suppressed = l.allow(now, 601, 10)
	assert.True(t, ok, "each event has its own limit")
	assert.Zero(t, suppressed)
}
