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

// drive sends GET requests through all entries at once until done, and returns the replies.
func (f *fleet) drive(requests int) []reply {
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

// waitUntilEjected sends requests until just this server is ejected at all entries.
func (f *fleet) waitUntilEjected(server int) {
	f.t.Helper()
	f.waitFor("just the gray server is ejected everywhere", func() bool {
		f.drive(120)
		return !slices.ContainsFunc(f.entries, func(e *entry) bool {
			return !slices.Equal(f.ejected(e), []string{serverName(server)})
		})
	})
}

func (f *fleet) requireNobodyEjected() {
	f.t.Helper()
	for _, e := range f.entries {
		require.Empty(f.t, f.ejected(e), e.name)
	}
}

func TestAGrayServerIsEjectedEverywhere(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.drive(600)
	f.servers[1].SetFault(jystandin.Fault{FailShare: 0.5})
	f.waitUntilEjected(1)
}

func TestAServiceThatFailsAsAWholeKeepsAllServers(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.drive(600)
	for _, s := range f.servers {
		s.SetFault(jystandin.Fault{FailShare: 0.8})
	}
	f.drive(1200)
	f.requireNobodyEjected()
}

func TestADrainingServerGetsNoNewWorkOnceItsMarkIsKnown(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.drive(240)
	f.servers[2].SetFault(jystandin.Fault{Draining: true})
	f.waitFor("the draining server gets nothing more", func() bool {
		before := f.servers[2].Counts().Requests
		f.drive(240)
		return f.servers[2].Counts().Requests == before
	})
	assert.Empty(t, f.ejected(f.entries[0]))
}

func TestARequestThatKillsServersIsBlockedAfterTwo(t *testing.T) {
	f := newFleet(t, 3, 6)
	for _, s := range f.servers {
		s.SetFault(jystandin.Fault{CrashOn: "poison", CrashMilliseconds: 300})
	}
	f.drive(120)
	before := f.requests()
	var last reply
	for n := range 9 {
		last = f.send(f.entries[n%3], http.MethodGet, "/status", "token", "", "poison")
		require.False(t, last.broken)
	}
	assert.Equal(t, jyoutcome.RequestBlocked, last.reason)
	assert.Equal(t, jyoutcome.NotRun, last.outcome)
	assert.LessOrEqual(t, f.requests()-before, uint64(2), "servers lost")
	for _, r := range f.drive(240) {
		assert.Equal(t, jyoutcome.Complete, r.outcome, "an innocent request")
	}
}

func TestANonIdempotentRequestThatKillsServersIsBlockedAfterOne(t *testing.T) {
	f := newFleet(t, 3, 6)
	for _, s := range f.servers {
		s.SetFault(jystandin.Fault{CrashOn: "poison", CrashMilliseconds: 300})
	}
	first := f.send(f.entries[0], http.MethodPost, "/charge", "token", "", "poison")
	assert.Equal(t, jyoutcome.Unknown, first.outcome)
	before := f.requests()
	for _, e := range f.entries {
		assert.Equal(t, jyoutcome.RequestBlocked, f.send(e, http.MethodPost, "/charge", "token", "", "poison").reason)
	}
	assert.Equal(t, before, f.requests())
}

func TestSilentConnectionsLoseNoRequestAndNoServer(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.drive(600)
	for _, s := range f.servers {
		s.SetFault(jystandin.Fault{SilenceShare: 0.5})
	}
	for _, r := range f.drive(600) {
		assert.Equal(t, jyoutcome.Complete, r.outcome)
	}
	f.requireNobodyEjected()
}

func TestAnOverloadedServiceRefusesTruthfullyAndRecovers(t *testing.T) {
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
		assert.Zero(t, f.effects(token), token)
	}
	f.servers[0].SetFault(jystandin.Fault{})
	f.waitFor("it serves again", func() bool {
		return f.send(f.entries[0], http.MethodPost, "/charge", "after", "", "body").outcome == jyoutcome.Complete
	})
}

func TestALargeAnswerArrivesWholeOrNotAtAll(t *testing.T) {
	f := newFleet(t, 1, 1)
	whole := f.send(f.entries[0], http.MethodGet, "/status?Padding=3000000", "token", "", "")
	require.False(t, whole.broken)
	assert.Greater(t, len(whole.body), 3_000_000)
}

func TestABadRequestTouchesNoServer(t *testing.T) {
	f := newFleet(t, 1, 1)
	before := f.requests()
	big := f.send(f.entries[0], http.MethodPost, "/charge", "token", "", strings.Repeat("x", 2<<20))
	assert.Equal(t, http.StatusRequestEntityTooLarge, big.status)
	forged := f.send(f.entries[0], http.MethodPost, "/charge", "token", "not-an-id", "body")
	assert.Equal(t, http.StatusUnprocessableEntity, forged.status)
	assert.Equal(t, before, f.requests())
}

func TestAPeerWithAnotherKeyIsRefused(t *testing.T) {
	f := newFleet(t, 2, 1)
	e := f.entries[1]
	raw, err := os.ReadFile(e.file)
	require.NoError(t, err)
	f.end(e, 9)
	require.NoError(t, os.WriteFile(e.file, []byte(strings.ReplaceAll(string(raw), "scenario-key-of-16", "another-key-of-16!")), 0o600))
	f.start(e)
	f.waitFor("the other one refuses it", func() bool { return strings.Contains(f.logs(), "wrong key") })
	s, ok := f.status(e)
	assert.True(t, !ok || !s.Ready, "an instance that no peer accepts does not serve")
}
