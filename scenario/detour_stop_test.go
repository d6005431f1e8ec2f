package scenario_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jyhoststandin "github.com/jackdawyard/jackdawyard/platform/standin"
)

// Guards against a stop that cuts off the requests which another instance sends through this one.
func TestDetoursThatRunAreAnsweredWhenTheInstanceThatTookThemStops(t *testing.T) {
	f := startLinkedFleet(t, 6)
	sender, receiver := f.instances[0], f.instances[1]
	f.setLinks(cutRefused)
	sender.eventually(func() bool {
		return servedShare(sendSteadily(f.instances[:1], fmt.Sprint("lost-", time.Now().UnixNano()), 20, time.Second)) == 1
	})
	for _, s := range f.servers {
		s.SetDelay(40 * time.Millisecond)
	}
	var responses []jyhoststandin.Response
	done := make(chan struct{})
	go func() {
		defer close(done)
		responses = sendSteadily([]*storeInstance{sender}, "stop", 200, 2*time.Second)
	}()
	time.Sleep(time.Second)
	require.NoError(t, receiver.process.Process.Signal(syscall.SIGTERM))
	<-done
	ran, statuses := map[string]bool{}, map[int]int{}
	for _, s := range f.servers {
		for id := range s.RunCounts() {
			ran[id] = true
		}
	}
	for _, a := range responses {
		statuses[a.Status]++
		if ran[a.ID] {
			assert.Equal(t, http.StatusOK, a.Status, "request %s ran: %s", a.ID, a.Body)
		}
	}
	assert.Positive(t, statuses[http.StatusOK])
	assertNoneRanTwice(t, f.servers)
	t.Log(statuses)
}
