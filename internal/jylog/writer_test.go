package jylog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// stuck is a pipe that nobody reads.
type stuck struct{ release chan struct{} }

// Write blocks until the test ends.
func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestAPipeThatNobodyReadsStallsNothing(t *testing.T) {
	pipe := stuck{make(chan struct{})}
	defer close(pipe.release)
	w := NewWriter(pipe)
	for i := range 3 * ringLines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		assert.NoError(t, err)
	}
	assert.Positive(t, w.Dropped())
	w.Close()
}

func TestLinesOfAnEventAreBounded(t *testing.T) {
	l := &limiter{event: map[int]*window{}}
	now := time.Unix(1_000_000, 0)
	written := 0
	for range 100 {
		if ok, _ := l.allow(now, 600, 10); ok {
			written++
		}
	}
	assert.Equal(t, 10, written)
	ok, leftOut := l.allow(now.Add(time.Second), 600, 10)
	assert.True(t, ok)
	assert.Equal(t, 90, leftOut)
	ok, leftOut = l.allow(now, 601, 10)
	assert.True(t, ok, "each event has its own bound")
	assert.Zero(t, leftOut)
}
