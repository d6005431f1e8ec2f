package jybackend_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
)

// localServers returns the servers in dc-0, the data centre of the instance.
func localServers(v *jybackend.Service) []*jybackend.Server {
	var out []*jybackend.Server
	for _, s := range v.Servers {
		if s.Info.DataCentre == "dc-0" {
			out = append(out, s)
		}
	}
	return out
}

func TestUsageCountsUnusedServersByCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newService(12)
		send(t, v, 60, answered)
		local := localServers(v)
		time.Sleep(3 * time.Second)
		v.ApplyPeerReport(local[0], jybackend.PeerReport{Outcomes: jybackend.OneEarlyFailure()})
		local[1].RecordConnectionLost(time.Now())
		time.Sleep(time.Millisecond)

		u := v.Usage(time.Now())
		assert.Equal(t, 4, u.Servers)
		assert.Equal(t, 3, u.Unused, "a peer sent a request to one")
		assert.Equal(t, 0, u.LikelyGray)
		assert.Equal(t, 1, u.SkippedUnreachable)

		time.Sleep(2 * time.Second)
		u = v.Usage(time.Now())
		assert.Equal(t, 4, u.Unused)
		assert.Equal(t, 1, u.LikelyGray)
		assert.Greater(t, u.LongestUnused, 4*time.Second)
		assert.NotEmpty(t, u.LongestUnusedServer)
	})
}

func TestTheEndOfAPeersRequestDoesNotCountAsANewRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newService(3)
		s := localServers(v)[0]
		v.ApplyPeerReport(s, jybackend.PeerReport{InFlight: 1})
		time.Sleep(3 * time.Second)
		v.ApplyPeerReport(s, jybackend.PeerReport{Outcomes: jybackend.OneEarlyFailure()})
		assert.Equal(t, 1, v.Usage(time.Now()).Unused, "the request was sent 3 s ago")
		v.ApplyPeerReport(s, jybackend.PeerReport{Outcomes: jybackend.OneEarlyFailure()})
		assert.Zero(t, v.Usage(time.Now()).Unused, "the request was sent since the previous report")
	})
}
