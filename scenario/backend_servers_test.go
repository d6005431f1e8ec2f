package scenario_test

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jystandin"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// sendReads sends GET requests from concurrent callers, each through all entries in turn, and returns the replies.
func (f *fleet) sendReads(requests int) []reply {
	const callers = 12
	var mu sync.Mutex
	var replies []reply
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for n := range requests / callers {
				r := f.send(f.entries[(c+n)%len(f.entries)], http.MethodGet, "/status", fmt.Sprintf("get-%d-%d", c, n), "", "")
				mu.Lock()
				replies = append(replies, r)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return replies
}

// waitUntilOnlyEjected sends requests until all entries consider exactly this server ejected.
func (f *fleet) waitUntilOnlyEjected(server int) {
	f.t.Helper()
	f.waitFor("all instances eject the gray server and no other", func() bool {
		f.sendReads(120)
		return !slices.ContainsFunc(f.entries, func(e *entry) bool {
			return !slices.Equal(f.ejectedServers(e), []string{serverName(server)})
		})
	})
}

func (f *fleet) requireNoneEjected() {
	f.t.Helper()
	for _, e := range f.entries {
		require.Empty(f.t, f.ejectedServers(e), e.name)
	}
}

func TestAGrayServerIsEjectedEverywhere(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.sendReads(600)
	f.servers[1].SetFault(jystandin.Fault{FailShare: 0.5})
	f.waitUntilOnlyEjected(1)
}

func TestNoServerIsEjectedWhenTheWholeServiceFails(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.sendReads(600)
	for _, s := range f.servers {
		s.SetFault(jystandin.Fault{FailShare: 0.8})
	}
	f.sendReads(1200)
	f.requireNoneEjected()
}

func TestADrainingServerGetsNoNewRequestsOnceItsDrainMarkIsSeen(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.sendReads(240)
	f.servers[2].SetFault(jystandin.Fault{Draining: true})
	f.waitFor("the draining server gets no more requests", func() bool {
		before := f.servers[2].Counts().Requests
		f.sendReads(240)
		return f.servers[2].Counts().Requests == before
	})
	assert.Empty(t, f.ejectedServers(f.entries[0]))
}

func TestARequestThatCrashesServersIsBlockedAfterTwo(t *testing.T) {
	f := newFleet(t, 3, 6)
	for _, s := range f.servers {
		s.SetFault(jystandin.Fault{CrashOn: "poison", CrashMilliseconds: 300})
	}
	f.sendReads(120)
	before := f.requestCount()
	var last reply
	for n := range 9 {
		last = f.send(f.entries[n%3], http.MethodGet, "/status", "token", "", "poison")
		require.False(t, last.incomplete)
	}
	assert.Equal(t, jyoutcome.RequestBlocked, last.reason)
	assert.Equal(t, jyoutcome.NotRun, last.outcome)
	assert.LessOrEqual(t, f.requestCount()-before, uint64(2), "servers crashed")
	for _, r := range f.sendReads(240) {
		assert.Equal(t, jyoutcome.Complete, r.outcome, "another request")
	}
}

func TestANonIdempotentRequestThatCrashesServersIsBlockedAfterOne(t *testing.T) {
	f := newFleet(t, 3, 6)
	for _, s := range f.servers {
		s.SetFault(jystandin.Fault{CrashOn: "poison", CrashMilliseconds: 300})
	}
	first := f.send(f.entries[0], http.MethodPost, "/charge", "token", "", "poison")
	assert.Equal(t, jyoutcome.Unknown, first.outcome)
	before := f.requestCount()
	for _, e := range f.entries {
		assert.Equal(t, jyoutcome.RequestBlocked, f.send(e, http.MethodPost, "/charge", "token", "", "poison").reason)
	}
	assert.Equal(t, before, f.requestCount())
}

func TestSilentConnectionsFailNoRequestAndEjectNoServer(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.sendReads(600)
	for _, s := range f.servers {
		s.SetFault(jystandin.Fault{SilenceShare: 0.5})
	}
	for _, r := range f.sendReads(600) {
		assert.Equal(t, jyoutcome.Complete, r.outcome)
	}
	f.requireNoneEjected()
}

func TestAnOverloadedServiceRunsNoRefusedRequestAndRecovers(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.servers[0].SetFault(jystandin.Fault{SlowFactor: 20})
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused := []string{}
	for c := range 60 {
		wg.Go(func() {
			for n := range 4 {
				token := fmt.Sprintf("charge-%d-%d", c, n)
				r := f.send(f.entries[c%3], http.MethodPost, "/charge", token, "", "body")
				if r.outcome != jyoutcome.NotRun {
					continue
				}
				mu.Lock()
				refused = append(refused, token)
				mu.Unlock()
				assert.NotEmpty(t, r.header.Get("Retry-After"))
			}
		})
	}
	wg.Wait()
	require.NotEmpty(t, refused)
	for _, token := range refused {
		assert.Zero(t, f.effectCount(token), token)
	}
	f.servers[0].SetFault(jystandin.Fault{})
	f.waitFor("the service completes requests again", func() bool {
		return f.send(f.entries[0], http.MethodPost, "/charge", "after", "", "body").outcome == jyoutcome.Complete
	})
}

func TestALargeAnswerArrivesComplete(t *testing.T) {
	f := newFleet(t, 1, 1)
	whole := f.send(f.entries[0], http.MethodGet, "/status?Padding=3000000", "token", "", "")
	require.False(t, whole.incomplete)
	assert.Greater(t, len(whole.body), 3_000_000)
}

func TestAnInvalidRequestReachesNoServer(t *testing.T) {
	f := newFleet(t, 1, 1)
	before := f.requestCount()
	big := f.send(f.entries[0], http.MethodPost, "/charge", "token", "", strings.Repeat("x", 2<<20))
	assert.Equal(t, http.StatusRequestEntityTooLarge, big.status)
	forged := f.send(f.entries[0], http.MethodPost, "/charge", "token", "not-an-id", "body")
	assert.Equal(t, http.StatusUnprocessableEntity, forged.status)
	assert.Equal(t, before, f.requestCount())
}

func TestAPeerWithAnotherKeyIsRefused(t *testing.T) {
	f := newFleet(t, 2, 1)
	e := f.entries[1]
	raw, err := os.ReadFile(e.settingsFile)
	require.NoError(t, err)
	f.signalAndWait(e, 9)
	require.NoError(t, os.WriteFile(e.settingsFile,
		[]byte(strings.ReplaceAll(string(raw), "scenario-key-of-16", "another-key-of-16!")),
		0o600))
	f.start(e)
	f.waitFor("the other instance rejects the key", func() bool { return strings.Contains(f.logs(), "wrong key") })
	s, ok := f.status(e)
	assert.True(t, !ok || !s.Ready, "an instance that no peer accepts does not serve")
}
