package jyevidence_test

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jyevidence"
	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// fleet is a membership without other instances, so that this one aggregates all services.
type fleet struct{}

func (fleet) Self() jymember.Member      { return jymember.Member{Name: "entry-1", Boot: 1} }
func (fleet) Members() []jymember.Member { return nil }
func (f fleet) RankedForKey(string, int, func(jymember.Member) bool) []jymember.Member {
	return []jymember.Member{f.Self()}
}

func newDirectory() *jybackend.Directory {
	d := jybackend.NewDirectory(jybackend.Config{
		Instance: "entry-1", CountInstances: func() int { return 3 },
		InSameRegion: func(jynote.DataCentreName) bool { return true }, RetryBudgetShare: 0.2,
	})
	state := jynote.State{Number: 1, Services: []jynote.Service{{Name: "s", DeadlineMilliseconds: 1000, ServerDaysPerFalseEjection: 100}}}
	for _, name := range []jynote.ServerName{"a", "b", "c"} {
		state.BackendServers = append(state.BackendServers, jynote.BackendServer{Name: name, Service: "s", Address: "127.0.0.1:1", Slots: 2, Connections: 300})
	}
	d.Apply(state)
	return d
}

// report returns a reporter's report that all of its requests to server b failed.
func report(reporter, centre string, failures uint64) *connect.Request[jywire.ReportRequest] {
	totals := jydetector.Totals{Server: "b", Now: jydetector.Counts{Attempts: failures, Failures: failures}}
	return connect.NewRequest(&jywire.ReportRequest{
		Reporter: reporter, Boot: 1, DataCentre: centre,
		Services: []*jywire.ServiceReport{{Service: "s", Totals: []*jywire.Totals{jypeer.TotalsToWire(totals)}}},
	})
}

// The aggregating instance must apply new verdicts when it makes them. Otherwise it would use an ejected server until the
// answer to its own next report.
func TestTheAggregatingInstanceAppliesItsOwnVerdictsAtOnce(t *testing.T) {
	d := newDirectory()
	e := jyevidence.New(jyevidence.Config{Directory: d, Fleet: fleet{}, Interval: time.Hour, Timeout: time.Second})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	// This instance is a reporter too, but its next periodic report is an hour away.
	_, err := e.Report(ctx, report("entry-1", "one", 1))
	require.NoError(t, err)
	go func() { _ = e.Run(ctx) }()
	for _, r := range []string{"entry-2", "entry-3"} {
		_, err := e.Report(ctx, report(r, r, 10))
		require.NoError(t, err)
	}
	assert.Eventually(t, func() bool {
		verdicts, _ := d.Snapshot().Service("s").Verdicts()
		return len(verdicts) == 1 && verdicts[0].Phase == jydetector.Ejected && verdicts[0].Server == "b"
	}, 10*time.Second, time.Millisecond)
}

// Answers and pushed verdicts may arrive out of order. The versions of another run are not comparable, so that its verdicts are
// always applied.
func TestOlderVerdictsOfTheSameRunAreNotApplied(t *testing.T) {
	d := newDirectory()
	e := jyevidence.New(jyevidence.Config{Directory: d, Fleet: fleet{}, Interval: time.Hour, Timeout: time.Second})
	push := func(boot, version uint64, verdicts ...jydetector.Verdict) int {
		_, err := e.Tell(t.Context(), connect.NewRequest(&jywire.TellRequest{Services: []*jywire.ServiceVerdicts{{
			Service: "s", Verdicts: jypeer.VerdictsToWire(time.Now(), verdicts), PooledBy: &jywire.Run{Name: "entry-2", Boot: boot}, Version: version,
		}}}))
		require.NoError(t, err)
		applied, _ := d.Snapshot().Service("s").Verdicts()
		return len(applied)
	}
	ejected := jydetector.Verdict{Server: "b", Phase: jydetector.Ejected}
	assert.Equal(t, 1, push(1, 5, ejected))
	assert.Equal(t, 1, push(1, 4), "late verdicts")
	assert.Equal(t, 0, push(1, 6))
	assert.Equal(t, 1, push(2, 1, ejected), "verdicts of a new run")
}
