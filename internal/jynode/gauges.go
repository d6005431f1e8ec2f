package jynode

import (
	"context"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jylog"
)

const (
	gaugeInterval     = 5 * time.Second
	unusedLogInterval = time.Second
	// minUnusedShare is the least share of unused servers, from 0 to 1, for which a service is logged.
	minUnusedShare = 0.25
)

// gauges exports the instance's state as metrics.
type gauges struct {
	node *Node
}

// Run updates the gauges, and logs unused servers and those with a limit, until ctx ends.
func (g gauges) Run(ctx context.Context) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	unusedTicker := time.NewTicker(unusedLogInterval)
	defer unusedTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.set()
			g.setTraffic(time.Now())
		case <-unusedTicker.C:
			g.logUnusedServers()
			g.logLimitedServers()
		}
	}
}

// logUnusedServers logs the services of which at least minUnusedShare of the servers get no requests, with the reasons.
func (g gauges) logUnusedServers() {
	now := time.Now()
	for _, v := range g.node.directory.Snapshot().Services() {
		u := v.Usage(now)
		if u.Unused == 0 || float64(u.Unused) < minUnusedShare*float64(u.Servers) {
			continue
		}
		jylog.ServersUnused.Log(v.Info.Name, u.Servers, u.Unused, u.LikelyGray, u.SkippedUnreachable,
			u.LongestUnusedServer, u.LongestUnused.Milliseconds(), jybackend.RoundToThousandths(u.UnservedShare))
	}
}

// logLimitedServers logs how many requests this instance sent since the last call to each server that states a limit.
func (g gauges) logLimitedServers() {
	for _, v := range g.node.directory.Snapshot().Services() {
		for _, s := range v.Servers {
			sent := s.TakeSends()
			limit, isLimited := s.Limit()
			if !isLimited || sent == (jybackend.Sends{}) {
				continue
			}
			jylog.ServerLimitUse.Log(v.Info.Name, s.Info.Name, float64(limit), sent[jybackend.FirstSend], sent[jybackend.TrialSend],
				sent[jybackend.RetrySend], sent[jybackend.CopySend])
		}
	}
}

// setTraffic updates the metrics of the traffic to other data centres, by service. The shares are set only where that
// traffic has a price.
func (g gauges) setTraffic(now time.Time) {
	for _, v := range g.node.directory.Snapshot().Services() {
		t := v.TakeTraffic()
		if t.RemoteBytes > 0 {
			g.node.metrics.AddServiceCount("bytes_sent_elsewhere", v.Info.Name, t.RemoteBytes)
		}
		shares := v.Shares(now)
		if shares == nil {
			continue
		}
		allowed := 0.0
		for _, c := range shares {
			allowed += c.Share
		}
		g.node.metrics.SetServiceGauge("share_allowed_elsewhere", v.Info.Name, allowed)
		g.node.metrics.SetServiceGauge("share_sent_elsewhere", v.Info.Name, float64(t.RemoteRequests)/float64(max(1, t.Requests)))
	}
}

// set updates all gauges.
func (g gauges) set() {
	n := g.node
	open, usable, likelyGray, unused, limited, unreached, retries := 0, 0, 0, 0, 0, 0, 0.0
	now := time.Now()
	for _, v := range n.directory.Snapshot().Services() {
		usable += v.Capacity().UsableSlots
		retries += v.RetriesLeft(now)
		unused += v.Usage(now).Unused
		for _, o := range v.Estimates(now) {
			if o.IsLikelyGray {
				likelyGray++
			}
		}
		if !v.PathLostSince().IsZero() {
			unreached++
		}
		for _, s := range v.Servers {
			open += s.Pool.OpenCount()
			if _, isLimited := s.Limit(); isLimited {
				limited++
			}
		}
	}
	status := n.source.Status()
	unavailable := 0
	if status.ServiceAway {
		unavailable = 1
	}
	n.metrics.SetGauge("source_age_seconds", status.AgeSeconds)
	n.metrics.SetGauge("retries_left", retries)
	g.setLease()
	for name, value := range map[string]int{
		"release_number":     int(n.source.CurrentNote().Number),
		"source_away":        unavailable,
		"servers_doubted":    likelyGray,
		"servers_unused":     unused,
		"servers_limited":    limited,
		"services_unreached": unreached,
		"working_instances":  n.fleet.WorkingCount(),
		"request_ids":        n.requestIDs().Records,
		"in_progress":        int(n.proxy.InProgress()),
		"server_connections": open,
		"usable_slots":       usable,
	} {
		n.metrics.SetGauge(name, float64(value))
	}
}

// setLease updates the gauges of the key lease, if one is kept.
func (g gauges) setLease() {
	if g.node.keyLease == nil {
		return
	}
	age, remaining := g.node.keyLease.status()
	if age != nil {
		g.node.metrics.SetGauge("lease_age_seconds", *age)
	}
	g.node.metrics.SetGauge("lease_remaining_seconds", *remaining)
}
