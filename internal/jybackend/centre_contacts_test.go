package jybackend_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// usedInSilentCentre sends a request every 10 ms from the local data centre, while the other one sends signals and dc-1 sends
// nothing. It returns the number of servers in dc-1 that got a request within the last 2 s.
func usedInSilentCentre(t *testing.T, local, other jynote.DataCentreName, duration time.Duration) int {
	d := newDirectory(string(local), 30)
	v := d.Snapshot().Service("s")
	const step = 10 * time.Millisecond
	for range duration / step {
		d.RecordContact(time.Now(), other)
		send(t, v, 1, answered)
		time.Sleep(step)
	}
	got := 0
	for _, s := range v.Servers {
		if s.Info.DataCentre == "dc-1" && v.WasUsedWithin(s, 2*time.Second) {
			got++
		}
	}
	return got
}

func TestServersOfAnUnreachableDataCentreAreCoveredByExactlyOneOther(t *testing.T) {
	for _, duration := range []time.Duration{3 * time.Second, 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			got := []int{usedInSilentCentre(t, "dc-0", "dc-2", duration), usedInSilentCentre(t, "dc-2", "dc-0", duration)}
			const maxIdle = 2
			assert.GreaterOrEqual(t, max(got[0], got[1]), 10-maxIdle, "after %s, by data centre: %v", duration, got)
			assert.Zero(t, min(got[0], got[1]), "after %s, by data centre: %v", duration, got)
		})
	}
}

func TestServersOfAReachableDataCentreAreNotTriedByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory("dc-0", 30)
		v := d.Snapshot().Service("s")
		for range 300 {
			d.RecordContact(time.Now(), "dc-1")
			d.RecordContact(time.Now(), "dc-2")
			got := send(t, v, 1, answered)
			assert.Len(t, got, 1)
			time.Sleep(10 * time.Millisecond)
		}
		for _, s := range v.Servers {
			if s.Info.DataCentre != "dc-0" {
				assert.False(t, v.WasUsedWithin(s, 2*time.Second), "%s", s.Info.Name)
			}
		}
	})
}
