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
		v.Hear(near[0], jybackend.Heard{Outcomes: jybackend.FailedEarly()})
		near[1].ConnectionLost(time.Now())
		time.Sleep(time.Millisecond)

		u := v.Usage(time.Now())
		assert.Equal(t, 4, u.Servers)
		assert.Equal(t, 3, u.Unused, "a peer sent a request to one")
		assert.Equal(t, 0, u.Doubted)
		assert.Equal(t, 1, u.PassedOver)

		time.Sleep(2 * time.Second)
		u = v.Usage(time.Now())
		assert.Equal(t, 4, u.Unused)
		assert.Equal(t, 1, u.Doubted)
		assert.Greater(t, u.Longest, 4*time.Second)
		assert.NotEmpty(t, u.Named)
	})
}

func TestTheEndOfARequestAtAPeerIsNoUseOfTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := byLoss(3)
		s := nearby(v)[0]
		v.Hear(s, jybackend.Heard{InFlight: 1})
		time.Sleep(3 * time.Second)
		v.Hear(s, jybackend.Heard{Outcomes: jybackend.FailedEarly()})
		assert.Equal(t, 1, v.Usage(time.Now()).Unused, "it was sent three seconds ago")
		v.Hear(s, jybackend.Heard{Outcomes: jybackend.FailedEarly()})
		assert.Zero(t, v.Usage(time.Now()).Unused, "it was sent since the report before")
	})
}
