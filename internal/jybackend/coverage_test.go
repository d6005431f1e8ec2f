package jybackend_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
)

// idleAfterFailure returns how long a server that fails all it gets is left alone after a failure, while too few requests come to
// know the service to be well.
func idleAfterFailure(t *testing.T, instance string) time.Duration {
	const requests, interval = 100, 90 * time.Millisecond
	d := byLossAt(instance, "dc-0", 30)
	v := d.Snapshot().Service("s")
	use(t, v, 60, answered)
	time.Sleep(10 * time.Second)
	gray := nearby(v)[0]
	var failed time.Time
	for range requests {
		d.RecordContact(time.Now(), "dc-1")
		d.Snapshot().ApplyRemoteView(time.Now(), gray.Hash(), 0, 0.9)
		d.RecordContact(time.Now(), "dc-2")
		rested := time.Duration(0)
		use(t, v, 1, func(s *jybackend.Server) (jybackend.Result, time.Duration) {
			if s != gray {
				return answered(s)
			}
			if !failed.IsZero() {
				rested = time.Since(failed)
			}
			failed = time.Now()
			return jybackend.Failed, time.Millisecond
		})
		if rested > 0 {
			return rested
		}
		time.Sleep(interval)
	}
	require.FailNow(t, "the server was not tried again")
	return 0
}

func TestAServerThatFailedIsTriedAgainWithinFourSecondsByTheInstancesInTurn(t *testing.T) {
	rests := map[time.Duration]bool{}
	for _, instance := range []string{"entry-1", "entry-2", "entry-3", "entry-4"} {
		synctest.Test(t, func(t *testing.T) {
			rested := idleAfterFailure(t, instance)
			require.Greater(t, rested, 2*time.Second, "it is known to fail")
			require.Less(t, rested, 4*time.Second)
			rests[rested.Round(20*time.Millisecond)] = true
		})
	}
	assert.Greater(t, len(rests), 1, "not all at once")
}
