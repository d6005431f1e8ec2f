package jybackend

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyrendezvous"
)

// centreSilence is how long a data centre may tell nothing before its instances are taken to be gone: they tell of their
// servers each second.
const centreSilence = 1200 * time.Millisecond

// centres knows when the instances of other data centres were last heard of.
type centres struct {
	mu    sync.Mutex
	heard map[jynote.DataCentreName]time.Time
}

func newCentres() *centres { return &centres{heard: map[jynote.DataCentreName]time.Time{}} }

// hear records that an instance of the data centre told something.
func (c *centres) hear(now time.Time, name jynote.DataCentreName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard[name] = now
}

// isHeard reports whether the data centre has instances that tell of their servers; one that is asked for first is given time.
func (c *centres) isHeard(now time.Time, name jynote.DataCentreName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, known := c.heard[name]
	if !known {
		c.heard[name] = now
		return true
	}
	return now.Sub(last) <= centreSilence
}

// keptBy tells of each data centre whether the instances in own keep its servers in use: they do so for their own, and for
// their part of those whose instances are gone.
func (c *centres) keptBy(now time.Time, own jynote.DataCentreName, names []jynote.DataCentreName) []bool {
	kept := make([]bool, len(names))
	alive := []jynote.DataCentreName{own}
	var gone []int
	for i, name := range names {
		switch {
		case name == own:
			kept[i] = true
		case c.isHeard(now, name):
			alive = append(alive, name)
		default:
			gone = append(gone, i)
		}
	}
	for _, i := range gone {
		kept[i] = jyrendezvous.Top("keeper of "+string(names[i]), alive, 1)[0] == own
	}
	return kept
}

// countCentres notes which data centres have servers, in the order of their names, and how many.
func (v *Service) countCentres() {
	sizes := map[jynote.DataCentreName]int{}
	for _, s := range v.Servers {
		sizes[s.Info.DataCentre]++
	}
	v.centreNames = slices.Sorted(maps.Keys(sizes))
	v.centreSizes, v.centreOf = nil, nil
	for _, name := range v.centreNames {
		v.centreSizes = append(v.centreSizes, sizes[name])
	}
	for _, s := range v.Servers {
		v.centreOf = append(v.centreOf, slices.Index(v.centreNames, s.Info.DataCentre))
	}
}
