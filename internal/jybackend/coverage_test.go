package jybackend_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
)

// idleTimeAfterFailure returns the time between the first two requests to a server that fails all of them, at a request rate too
// low to show that the service is healthy. Meanwhile, another data centre keeps reporting its view of the server, which must not
// remove the failure from the belief.
func idleTimeAfterFailure(t *testing.T, instance string) time.Duration {
	const requests, interval = 100, 90 * time.Millisecond
	d := newDirectoryOf(instance, "dc-0", 30)
	v := d.Snapshot().Service("s")
	send(t, v, 60, answered)
	time.Sleep(10 * time.Second)
	failing := localServers(v)[0]
	var failed time.Time
	for range requests {
		d.RecordContact(time.Now(), "dc-1")
		d.Snapshot().ApplyRemoteView(time.Now(), failing.Hash(), 0, 0.9)
		d.RecordContact(time.Now(), "dc-2")
		idleTime := time.Duration(0)
		send(t, v, 1, func(s *jybackend.Server) (jybackend.Result, time.Duration) {
			if s != failing {
				return answered(s)
			}
			if !failed.IsZero() {
				idleTime = time.Since(failed)
			}
			failed = time.Now()
			return jybackend.Failed, time.Millisecond
		})
		if idleTime > 0 {
			return idleTime
		}
		time.Sleep(interval)
	}
	require.FailNow(t, "the server was not tried again")
	return 0
}

func TestInstancesTryAFailedServerAgainWithinFourSecondsAtDifferentTimes(t *testing.T) {
	idleTimes := map[time.Duration]bool{}
	for _, instance := range []string{"entry-1", "entry-2", "entry-3", "entry-4"} {
		synctest.Test(t, func(t *testing.T) {
			idleTime := idleTimeAfterFailure(t, instance)
			require.Greater(t, idleTime, 2*time.Second, "it is known to fail")
			require.Less(t, idleTime, 4*time.Second)
			idleTimes[idleTime.Round(20*time.Millisecond)] = true
		})
	}
	assert.Greater(t, len(idleTimes), 1, "not all at once")
}
