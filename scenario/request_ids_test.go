package scenario_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jystandin"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

func TestAResendThroughAnotherInstanceGetsTheFirstAnswer(t *testing.T) {
	f := newFleet(t, 3, 2)
	id := f.issueRequestID(f.entries[0])
	first := f.send(f.entries[0], http.MethodPost, "/charge", "token", id, "body")
	again := f.send(f.entries[1], http.MethodPost, "/charge", "token", id, "body")
	other := f.send(f.entries[2], http.MethodPost, "/charge", "token", id, "another body")
	assert.Equal(t, jyoutcome.Complete, first.outcome)
	assert.Equal(t, first.body, again.body)
	assert.Equal(t, jyoutcome.RequestIDReused, other.reason)
	assert.Equal(t, 1, f.effectCount("token"))
}

func TestConcurrentResendsRunOnce(t *testing.T) {
	f := newFleet(t, 3, 2)
	id := f.issueRequestID(f.entries[0])
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			r := f.send(f.entries[i%3], http.MethodPost, "/charge", "token", id, "body")
			assert.Equal(t, jyoutcome.Complete, r.outcome)
		})
	}
	wg.Wait()
	assert.Equal(t, 1, f.effectCount("token"))
}

// slowDownServers makes all backend servers answer slowly, and record the effect of a request before its answer.
func (f *fleet) slowDownServers() {
	for _, s := range f.servers {
		s.SetFault(jystandin.Fault{SlowFactor: 200, EffectBeforeFault: true})
	}
}

func TestAKilledOwnerNeverCausesASecondRun(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.slowDownServers()
	id := f.issueRequestID(f.entries[0])
	replies := make(chan reply, 1)
	go func() { replies <- f.send(f.entries[1], http.MethodPost, "/charge", "token", id, "body") }()
	f.waitFor("the request runs", func() bool { return f.effectCount("token") == 1 })
	f.signalAndWait(f.entries[0], syscall.SIGKILL)
	assert.Equal(t, jyoutcome.Unknown, (<-replies).outcome)

	f.start(f.entries[0])
	f.waitFor("the owner is back", func() bool { return f.allReadyWithNote(1) })
	for _, e := range f.entries {
		again := f.send(e, http.MethodPost, "/charge", "token", id, "body")
		assert.Equal(t, jyoutcome.Unknown, again.outcome, e.name)
	}
	assert.Equal(t, 1, f.effectCount("token"))
}

func TestAPausedOwnerNeverCausesASecondRun(t *testing.T) {
	f := newFleet(t, 3, 2)
	id := f.issueRequestID(f.entries[0])
	f.signal(f.entries[0], syscall.SIGSTOP)
	paused := f.send(f.entries[1], http.MethodPost, "/charge", "token", id, "body")
	assert.Equal(t, jyoutcome.Unknown, paused.outcome)
	f.signal(f.entries[0], syscall.SIGCONT)
	f.waitFor("the owner is back", func() bool { return f.allReadyWithNote(1) })
	// The paused owner may have received the first copy, whose caller no longer waits: it must not run now.
	again := f.send(f.entries[2], http.MethodPost, "/charge", "token", id, "body")
	require.False(t, again.incomplete)
	if again.outcome == jyoutcome.Complete {
		assert.Equal(t, 1, f.effectCount("token"))
	} else {
		assert.LessOrEqual(t, f.effectCount("token"), 1)
	}
}

func TestAnOwnerThatShutsDownHandsItsRequestIDsOver(t *testing.T) {
	f := newFleet(t, 3, 2)
	used, unused := f.issueRequestID(f.entries[0]), f.issueRequestID(f.entries[0])
	first := f.send(f.entries[0], http.MethodPost, "/charge", "used", used, "body")
	require.Equal(t, jyoutcome.Complete, first.outcome)
	f.signalAndWait(f.entries[0], syscall.SIGTERM)
	for _, e := range f.entries[1:] {
		f.waitFor("the successor answers", func() bool {
			return f.send(e, http.MethodPost, "/charge", "used", used, "body").outcome == jyoutcome.Complete
		})
		late := f.send(e, http.MethodPost, "/charge", "unused", unused, "body")
		assert.Equal(t, jyoutcome.Complete, late.outcome)
	}
	assert.Equal(t, 1, f.effectCount("used"))
	assert.Equal(t, 1, f.effectCount("unused"))
}

func TestNoRequestIsCutOffByAShutdownUnderLoad(t *testing.T) {
	f := newFleet(t, 3, 4)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	broken, sent := 0, 0
	for i := range 12 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				// Only the first requests go to the instance that shuts down, since a load balancer removes it before its
				// notice period ends.
				e := f.entries[1+(i+n)%2]
				if n < 5 {
					e = f.entries[0]
				}
				r := f.send(e, http.MethodPost, "/charge", fmt.Sprintf("token-%d-%d", i, n), "", "body")
				mu.Lock()
				sent++
				if r.incomplete || r.outcome != jyoutcome.Complete {
					broken++
				}
				mu.Unlock()
			}
		})
	}
	f.signalAndWait(f.entries[0], syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	close(stop)
	wg.Wait()
	assert.Zero(t, broken, "of %d", sent)
}
