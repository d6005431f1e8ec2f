package scenario_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	jyhoststandin "github.com/jackdawyard/jackdawyard/platform/standin"
)

// closeBooks is a non-idempotent request that many callers send alike.
const closeBooks = jyhoststandin.UnsafePath + "close-books"

// sendAlike sends equal requests to the instances at the same time, and returns the responses.
func sendAlike(fleet []*storeInstance, prefix string, count int) []jyhoststandin.Response {
	out := make(chan jyhoststandin.Response, count)
	for n := range count {
		go func() {
			out <- fleet[n%len(fleet)].caller.Send(fmt.Sprintf("%s-%d", prefix, n), http.MethodPost, closeBooks)
		}()
	}
	var responses []jyhoststandin.Response
	for range count {
		responses = append(responses, <-out)
	}
	return responses
}

// confirmationTime is long enough for an instance to check servers and to tell its peers.
const confirmationTime = time.Second

// Guards against a request that is refused for minutes since it ran at servers that crashed at the same moment.
func TestARequestThatRanWhereTwoServersCrashedAtOnceIsServed(t *testing.T) {
	const serverCount, crashing, inProgress = 6, 2, 18
	var servers []*jyhoststandin.Server
	for i := range serverCount {
		s := jyhoststandin.NewServer(fmt.Sprintf("i-%d", i), "s1")
		s.SetDelay(300 * time.Millisecond)
		servers = append(servers, s)
	}
	in := startStoreInstance(t, servers...)
	for _, s := range servers[:crashing] {
		s.SetFault(jyhoststandin.Crash)
	}
	fleet := []*storeInstance{in}
	sendAlike(fleet, "during", inProgress)
	crashed := 0
	for _, s := range servers[:crashing] {
		if len(s.RunCounts()) > 0 {
			crashed++
		}
	}
	assert.Equal(t, crashing, crashed, "servers that crashed while they ran the request")
	time.Sleep(confirmationTime)
	for _, a := range sendAlike(fleet, "after", 4) {
		assert.NotEqual(t, "RequestBlocked\n", a.Body)
	}
	in.eventually(func() bool { return servedShare(sendAlike(fleet, fmt.Sprint("later-", time.Now().UnixNano()), 4)) == 1 })
}

// Guards against requests that all instances refuse since one instance lost its path to the servers.
func TestARequestIsNotBlockedSinceAnInstanceIsCutOffFromTheServers(t *testing.T) {
	f := startLinkedFleet(t, 6)
	for _, s := range f.servers {
		s.SetDelay(300 * time.Millisecond)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		sendAlike(f.instances[:1], "during", 12)
	}()
	time.Sleep(150 * time.Millisecond)
	f.setLinks(cutRefused)
	<-done
	time.Sleep(confirmationTime)
	for _, a := range sendAlike(f.instances, "after", 8) {
		assert.NotEqual(t, "RequestBlocked\n", a.Body)
	}
	assert.Equal(t, 1.0, servedShare(sendAlike(f.instances[1:], "at-the-other", 4)))
}
