package jybackend_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// playCentre plays requests each 10 ms while the other data centre that is alive tells of its servers and dc-1 is silent; it
// returns the servers of dc-1 that got one within the last two seconds.
func playCentre(t *testing.T, own, other jynote.DataCentreName, playTime time.Duration) int {
	d := byLossIn(string(own), 30)
	v := d.Snapshot().Service("s")
	const step = 10 * time.Millisecond
	for range playTime / step {
		d.RecordContact(time.Now(), other)
		use(t, v, 1, answered)
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

func TestServersOfADataCentreWithoutInstancesAreKeptInUseByOneOther(t *testing.T) {
	for _, playTime := range []time.Duration{3 * time.Second, 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			got := []int{playCentre(t, "dc-0", "dc-2", playTime), playCentre(t, "dc-2", "dc-0", playTime)}
			const mayRest = 2
			assert.GreaterOrEqual(t, max(got[0], got[1]), 10-mayRest, "after %s, by data centre: %v", playTime, got)
			assert.Zero(t, min(got[0], got[1]), "after %s, by data centre: %v", playTime, got)
		})
	}
}

func TestServersOfADataCentreThatTellsOfThemAreLeftToIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := byLossIn("dc-0", 30)
		v := d.Snapshot().Service("s")
		for range 300 {
			d.RecordContact(time.Now(), "dc-1")
			d.RecordContact(time.Now(), "dc-2")
			got := use(t, v, 1, answered)
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
