package jybackend

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jydistance"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

const (
	// shareUpdateInterval is the least time between two updates of the shares. It is a fraction of the time in which a server's
	// queue fills up.
	shareUpdateInterval = 100 * time.Millisecond
	// transferSmoothing is the weight of one request in the mean number of bytes of a request.
	transferSmoothing = 1.0 / 32
	// maxShareLogLines is the maximum number of log lines per second about services that begin or end sending elsewhere.
	maxShareLogLines = 5
)

// distance decides for one service which requests may be sent to other data centres. It is nil unless traffic between data centres
// has a price. It is safe for concurrent use.
type distance struct {
	price float64 // request values per gigabyte
	links *links

	mu        sync.Mutex // guards the fields below
	share     jydistance.Share
	demand    jydistance.Demand
	load      jydistance.Level // of the local servers
	ours      map[jynote.DataCentreName]*jydistance.Level
	slots     float64 // of the local servers that are fit for requests
	needed    float64 // slots that the local callers need
	bytes     float64 // mean of a request and its answer
	updatedAt time.Time
	// isSending says that the service sends requests to other data centres, as logged.
	isSending bool
}

func newDistance(price float64, l *links) *distance {
	if price <= 0 {
		return nil
	}
	return &distance{price: price, links: l, ours: map[jynote.DataCentreName]*jydistance.Level{}}
}

// recordSent counts n requests that instances of this data centre sent to servers.
func (d *distance) recordSent(now time.Time, n int) {
	if d == nil || n <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.demand.Sent(now, n)
}

// recordBytes adds a request to the mean number of bytes.
func (d *distance) recordBytes(n int64) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.bytes == 0 {
		d.bytes = float64(n)
	}
	d.bytes += transferSmoothing * (float64(n) - d.bytes)
}

// distanceCosts returns the cost of each data centre for one request, as a share of its value, in the order of centreNames. A random
// draw decides whether the request may go to another data centre at its real cost. The caller must not change the list.
func (v *Service) distanceCosts(now time.Time, objective time.Duration) []float64 {
	if v.distance == nil {
		return v.fixedCosts
	}
	out := make([]float64, len(v.centreNames))
	v.updateShare(now)
	d := v.distance
	d.mu.Lock()
	defer d.mu.Unlock()
	drawn, isDrawn := d.share.Draw(rand.Float64())
	for i, name := range v.centreNames {
		if string(name) == v.dataCentre {
			continue
		}
		inShare, outside := d.costs(now, name, objective, d.bytes)
		out[i] = outside
		if isDrawn && string(drawn) == string(name) {
			out[i] = inShare
		}
	}
	return out
}

// costs returns the costs of a request of the given bytes to another data centre, within the share for it and outside. The caller must
// hold mu.
func (d *distance) costs(now time.Time, centre jynote.DataCentreName, objective time.Duration, bytes float64) (inShare, outside float64) {
	link, isKnown := d.links.link(centre)
	inShare = jydistance.Cost(link, jydistance.Transfer{Bytes: bytes, PricePerGigabyte: d.price}, objective)
	if !isKnown {
		inShare += remoteDistanceCost
	}
	outside = max(inShare, remoteDistanceCost)
	if d.share.CoversDemand(now) {
		outside = inShare + jydistance.Reluctance
	}
	return min(inShare, jydistance.MaxCost), min(outside, jydistance.MaxCost)
}

// updateShare updates the shares if the last update is long enough ago.
func (v *Service) updateShare(now time.Time) {
	d := v.distance
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.updatedAt) < shareUpdateInterval {
		return
	}
	d.updatedAt = now
	local, held := v.measure(now)
	d.slots = local.Slots
	d.load.Sample(now, local.Load)
	all := 0.0
	for name, n := range held {
		all += n
		if d.ours[name] == nil {
			d.ours[name] = &jydistance.Level{}
		}
		d.ours[name].Sample(now, n)
	}
	d.needed = d.demand.Slots(now, all, v.ServiceTime())
	d.share.Update(now, d.slots, d.needed)
	v.logShare()
}

// logShare logs that the service begins or ends to send requests to other data centres. The caller must hold distance.mu.
func (v *Service) logShare() {
	d := v.distance
	total := d.share.Total()
	if isSending := total > 0; isSending != d.isSending {
		d.isSending = isSending
		event := jylog.SendingElsewhereEnded
		if isSending {
			event = jylog.SendingElsewhereBegan
		}
		event.LogAtMost(maxShareLogLines, v.Info.Name, RoundToThousandths(total), d.slots, RoundToThousandths(d.needed))
	}
}

// measure returns the capacity of the local servers that are fit for requests, and the number of requests that the servers of each
// data centre hold for this one.
func (v *Service) measure(now time.Time) (jydistance.Capacity, map[jynote.DataCentreName]float64) {
	var local jydistance.Capacity
	held := make(map[jynote.DataCentreName]float64, len(v.centreNames))
	for _, s := range v.Servers {
		held[s.Info.DataCentre] += float64(s.InFlight() + s.peerLoads.localInFlight(now))
		if v.isLocal(s) && s.isFit(now) {
			local.Slots += float64(s.Info.Slots) / max(1, s.health.failureEstimate(now).slowdown)
			local.Load += float64(s.load(now))
		}
	}
	return local, held
}

// isFit reports whether the server counts as capacity: it takes requests, is reachable and is not likely gray.
func (s *Server) isFit(now time.Time) bool {
	return s.isAvailable(now) && s.health.grayChance(now) < likelyGrayChance
}

// SpareCapacity returns the slots of this data centre's servers that are fit for requests and the requests that they hold, to be
// sent to other data centres. It returns false if traffic between data centres has no price.
func (v *Service) SpareCapacity(now time.Time) (slots, load float64, ok bool) {
	if v.distance == nil {
		return 0, 0, false
	}
	v.updateShare(now)
	d := v.distance
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.slots, d.load.Value(), true
}

// ApplyRemoteCapacity applies what another data centre states about its capacity for the service with that hash. Unknown hashes are
// ignored.
func (s *Snapshot) ApplyRemoteCapacity(now time.Time, hash uint64, centre jynote.DataCentreName, slots, load float64) {
	v := s.serviceByHash[hash]
	if v == nil || v.distance == nil || string(centre) == v.dataCentre {
		return
	}
	v.updateShare(now)
	d := v.distance
	d.mu.Lock()
	defer d.mu.Unlock()
	ours := 0.0
	if l := d.ours[centre]; l != nil {
		ours = l.Value()
	}
	d.share.ObserveView(now, jydistance.Centre(centre), jydistance.Capacity{Slots: slots, Load: load}, ours)
}

// Shares returns which part of the service's requests may be sent to each other data centre, or nil if traffic between data centres
// has no price.
func (v *Service) Shares(now time.Time) []jydistance.CentreShare {
	if v.distance == nil {
		return nil
	}
	v.updateShare(now)
	v.distance.mu.Lock()
	defer v.distance.mu.Unlock()
	return v.distance.share.Centres()
}
