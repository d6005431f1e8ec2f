package jybackend

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyrendezvous"
)

// centreTimeout is how long a data centre may send nothing before its instances count as unreachable. They send signals about
// their servers every second.
const centreTimeout = 1200 * time.Millisecond

// centreContacts records when the instances of each other data centre last sent something.
type centreContacts struct {
	mu          sync.Mutex
	lastContact map[jynote.DataCentreName]time.Time
}

func newCentreContacts() *centreContacts {
	return &centreContacts{lastContact: map[jynote.DataCentreName]time.Time{}}
}

// record records that an instance of the data centre sent something at now.
func (c *centreContacts) record(now time.Time, name jynote.DataCentreName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContact[name] = now
}

// isReachable reports whether an instance of the data centre sent something within centreTimeout. For a data centre without
// any contact, that time starts with the first call.
func (c *centreContacts) isReachable(now time.Time, name jynote.DataCentreName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, known := c.lastContact[name]
	if !known {
		c.lastContact[name] = now
		return true
	}
	return now.Sub(last) <= centreTimeout
}

// knowsAll reports whether isReachable was called for each data centre, or something arrived from it.
func (c *centreContacts) knowsAll(names []jynote.DataCentreName, local jynote.DataCentreName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		if _, known := c.lastContact[name]; !known && name != local {
			return false
		}
	}
	return true
}

// coveredCentres reports for each data centre whether the instances in the local one must keep its servers active. They do so
// for the local data centre. Each unreachable data centre is covered by a reachable one, chosen by rendezvous hashing.
func (c *centreContacts) coveredCentres(now time.Time, local jynote.DataCentreName, names []jynote.DataCentreName) []bool {
	covered := make([]bool, len(names))
	reachable := []jynote.DataCentreName{local}
	var unreachable []int
	for i, name := range names {
		switch {
		case name == local:
			covered[i] = true
		case c.isReachable(now, name):
			reachable = append(reachable, name)
		default:
			unreachable = append(unreachable, i)
		}
	}
	for _, i := range unreachable {
		covered[i] = jyrendezvous.Top("keeper of "+string(names[i]), reachable, 1)[0] == local
	}
	return covered
}

// indexCentres sets centreNames, centreSizes, centreOf and fixedCosts from the servers.
func (v *Service) indexCentres() {
	sizes := map[jynote.DataCentreName]int{}
	for _, s := range v.Servers {
		sizes[s.Info.DataCentre]++
	}
	v.centreNames = slices.Sorted(maps.Keys(sizes))
	v.centreSizes, v.centreOf, v.fixedCosts = nil, nil, make([]float64, len(v.centreNames))
	for i, name := range v.centreNames {
		if string(name) != v.dataCentre {
			v.fixedCosts[i] = remoteDistanceCost
		}
		v.centreSizes = append(v.centreSizes, sizes[name])
	}
	for _, s := range v.Servers {
		v.centreOf = append(v.centreOf, slices.Index(v.centreNames, s.Info.DataCentre))
	}
}
