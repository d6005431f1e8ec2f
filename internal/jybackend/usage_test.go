package jybackend_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
)

// nearby returns the servers in the data centre of the service's instance.
func nearby(v *jybackend.Service) []*jybackend.Server {
	var out []*jybackend.Server
	for _, s := range v.Servers {
		if s.Info.DataCentre == "dc-0" {
			out = append(out, s)
		}
	}
	return out
}

func TestUsageTellsWhyServersGetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := byLoss(12)
		use(t, v, 60, answered)
		near := nearby(v)
		time.Sleep(3 * time.Second)
		v.ApplyPeerReport(near[0], jybackend.PeerReport{Outcomes: jybackend.OneEarlyFailure()})
		near[1].RecordConnectionLost(time.Now())
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

func TestTheEndOfARequestAtAPeerIsNoUseOfTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := byLoss(3)
		s := nearby(v)[0]
		v.ApplyPeerReport(s, jybackend.PeerReport{InFlight: 1})
		time.Sleep(3 * time.Second)
		v.ApplyPeerReport(s, jybackend.PeerReport{Outcomes: jybackend.OneEarlyFailure()})
		assert.Equal(t, 1, v.Usage(time.Now()).Unused, "it was sent three seconds ago")
		v.ApplyPeerReport(s, jybackend.PeerReport{Outcomes: jybackend.OneEarlyFailure()})
		assert.Zero(t, v.Usage(time.Now()).Unused, "it was sent since the report before")
	})
}
