package jybackend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyquota"
	jyhoststandin "github.com/jackdawyard/jackdawyard/platform/standin"
)

// limitedDirectory returns the directory of one of the instances, in front of servers in the data centres dc-0 and dc-1.
func limitedDirectory(self int, instances []jyquota.Instance, servers int, byExpectedLoss bool) *jybackend.Directory {
	d := jybackend.NewDirectory(jybackend.Config{
		ConnectTimeout: time.Second, MaxIdle: time.Minute, ByExpectedLoss: byExpectedLoss, LeastUsedShare: 0.7,
		DataCentre: string(instances[self].DataCentre), Instance: string(instances[self].Name),
		CountInstances: func() int { return len(instances) }, InSameRegion: func(jynote.DataCentreName) bool { return true },
		ShareOf: func(s jynote.BackendServer, limit jyquota.Rate) jyquota.Share {
			server := jyquota.Server{Name: string(s.Name), DataCentre: jyquota.DataCentreName(s.DataCentre)}
			return jyquota.ShareOf(instances[self].Name, server, limit, instances)
		},
	})
	state := jynote.State{Number: 1, Services: []jynote.Service{{Name: "s"}}}
	for i := range servers {
		state.BackendServers = append(state.BackendServers, jynote.BackendServer{
			Name: serverNameOf(i), Service: "s", Address: "127.0.0.1:1",
			DataCentre: jynote.DataCentreName(fmt.Sprintf("dc-%d", i%2)), Slots: 4, Connections: 300,
		})
	}
	d.Apply(state)
	return d
}

func serverNameOf(i int) jynote.ServerName { return jynote.ServerName(fmt.Sprintf("b-%d", i)) }

func limitedFleet(instances, servers int, byExpectedLoss bool) []*jybackend.Directory {
	var list []jyquota.Instance
	for i := range instances {
		list = append(list, jyquota.Instance{
			Name: jyquota.InstanceName(fmt.Sprintf("entry-%d", i)), DataCentre: jyquota.DataCentreName(fmt.Sprintf("dc-%d", i%2)),
		})
	}
	var out []*jybackend.Directory
	for i := range list {
		out = append(out, limitedDirectory(i, list, servers, byExpectedLoss))
	}
	return out
}

// TestChosenServersStayWithinTheirLimits covers first attempts, trials and retries with both ways to choose a server: each request
// tries up to three servers, and few of the requests let all idle servers become due for a trial.
func TestChosenServersStayWithinTheirLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const servers = 5
		fleet := limitedFleet(rapid.IntRange(1, 8).Draw(t, "instances"), servers, rapid.Bool().Draw(t, "by expected loss"))
		limited := rapid.IntRange(1, servers).Draw(t, "servers with a limit")
		limits := rapid.SliceOfN(rapid.Float64Range(0, 6), limited, limited).Draw(t, "limits")
		perStep := rapid.IntRange(1, 4).Draw(t, "requests of each instance in a step")
		gap := time.Duration(rapid.IntRange(20, 500).Draw(t, "ms between steps")) * time.Millisecond
		start := time.Now()
		for _, d := range fleet {
			v := d.Snapshot().Service("s")
			for i, limit := range limits {
				v.RecordLimit(d.Snapshot().Server("s", serverNameOf(i)), start, jyquota.Rate(limit))
			}
		}
		sent := map[jynote.ServerName][]jyhoststandin.Request{}
		for now := start; now.Sub(start) < 12*time.Second; now = now.Add(gap) {
			for _, d := range fleet {
				for n := range perStep {
					for _, name := range tryServers(d.Snapshot().Service("s"), now, n%2 == 0) {
						sent[name] = append(sent[name], jyhoststandin.Request{At: now})
					}
				}
			}
		}
		for i, limit := range limits {
			most := jyhoststandin.MostInLimitWindow(sent[serverNameOf(i)], start)
			assert.LessOrEqual(t, float64(most), jyhoststandin.AllowedInLimitWindow(limit), "limit %g", limit)
		}
	})
}

// tryServers sends a request to up to three servers, one after the other, and returns their names.
func tryServers(v *jybackend.Service, now time.Time, idempotent bool) []jynote.ServerName {
	var tried []*jybackend.Server
	var out []jynote.ServerName
	for range 3 {
		p, err := v.Choose(now, jybackend.Requirements{Idempotent: idempotent, IsRetryable: idempotent, Objective: time.Second, Exclude: tried})
		if err != nil {
			break
		}
		p.Server.Release()
		tried, out = append(tried, p.Server), append(out, p.Server.Info.Name)
	}
	return out
}

func TestASecondCopyCountsAgainstTheLimit(t *testing.T) {
	d := limitedFleet(1, 1, true)[0]
	v, s, now := d.Snapshot().Service("s"), d.Snapshot().Server("s", serverNameOf(0)), time.Now()
	assert.True(t, s.TakeQuota(now), "without a limit")
	v.RecordLimit(s, now, 1)
	assert.False(t, s.TakeQuota(now))
	assert.True(t, s.TakeQuota(now.Add(time.Second)))
	assert.False(t, s.TakeQuota(now.Add(time.Second)))
}

func TestALimitEndsWhenAnAnswerToALaterRequestStatesNone(t *testing.T) {
	d := limitedFleet(1, 1, true)[0]
	v, s, now := d.Snapshot().Service("s"), d.Snapshot().Server("s", serverNameOf(0)), time.Now()
	isLimited := func() bool {
		_, is := s.Limit()
		return is
	}
	v.RecordLimit(s, now, 1)
	v.RecordNoLimit(s, now.Add(-time.Millisecond))
	assert.True(t, isLimited(), "the answer may have been made before the limit")
	d.Snapshot().ApplyPeerLimit(s.Hash(), jyquota.Statement{At: now.Add(-time.Second)}, "entry-9")
	assert.True(t, isLimited(), "the peer's news is older")
	v.RecordNoLimit(s, now.Add(time.Millisecond))
	assert.False(t, isLimited())
	d.Snapshot().ApplyPeerLimit(s.Hash(), jyquota.Statement{IsLimited: true, Limit: 3, At: now}, "entry-9")
	assert.False(t, isLimited(), "the peer has not heard of the end")
	d.Snapshot().ApplyPeerLimit(s.Hash(), jyquota.Statement{IsLimited: true, Limit: 3, At: now.Add(time.Second)}, "entry-9")
	assert.True(t, isLimited())
}

func TestALimitIsKeptWhenTheServersEntryChanges(t *testing.T) {
	d := limitedFleet(1, 1, true)[0]
	now := time.Now()
	d.Snapshot().Service("s").RecordLimit(d.Snapshot().Server("s", serverNameOf(0)), now, 0.5)
	state := d.Snapshot().State
	state.Number++
	state.BackendServers = append([]jynote.BackendServer(nil), state.BackendServers...)
	state.BackendServers[0].Connections = 20
	d.Apply(state)
	limit, isLimited := d.Snapshot().Server("s", serverNameOf(0)).Limit()
	assert.True(t, isLimited)
	assert.Equal(t, jyquota.Rate(0.5), limit)
}

func TestRejectedCallersAreSpreadOverTheTimeInWhichTheyCanBeServed(t *testing.T) {
	d := limitedFleet(4, 2, true)[0]
	v, now := d.Snapshot().Service("s"), time.Now()
	v.RecordLimit(d.Snapshot().Server("s", serverNameOf(0)), now, 3)
	assert.Zero(t, v.RetryAfter(now), "a server takes requests freely")
	assert.Zero(t, v.LimitedRate(now))
	v.RecordLimit(d.Snapshot().Server("s", serverNameOf(1)), now, 5)
	assert.Equal(t, jyquota.Rate(8), v.LimitedRate(now))
	// One of four instances rejects the callers for which the fleet has room at 2 a second.
	for i := range 5 {
		assert.Equal(t, time.Duration(i+1)*time.Second/2, v.RetryAfter(now))
	}
	_, err := v.Choose(now, jybackend.Requirements{Objective: time.Second})
	require.Error(t, err)
}
