package jynode

import (
	"context"
	"time"
)

const gaugeInterval = 5 * time.Second

// gauges shows the instance's state as metrics.
type gauges struct {
	node *Node
}

// Run sets the gauges until ctx ends.
func (g gauges) Run(ctx context.Context) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.set()
		}
	}
}

func (g gauges) set() {
	n := g.node
	open, usable, doubted, retries := 0, 0, 0, 0.0
	now := time.Now()
	for _, v := range n.directory.Snapshot().Services() {
		usable += v.Capacity().UsableSlots
		retries += v.RetriesLeft(now)
		for _, o := range v.Outlooks(now) {
			if o.IsDoubted {
				doubted++
			}
		}
		for _, s := range v.Servers {
			open += s.Pool.OpenCount()
		}
	}
	status := n.source.Status()
	away := 0
	if status.ServiceAway {
		away = 1
	}
	n.metrics.Gauge("source_age_seconds", status.AgeSeconds)
	n.metrics.Gauge("retries_left", retries)
	for name, value := range map[string]int{
		"release_number":     int(n.source.Mark().Number),
		"source_away":        away,
		"servers_doubted":    doubted,
		"working_instances":  n.fleet.WorkingCount(),
		"request_ids":        n.requestIDs().Records,
		"in_progress":        int(n.proxy.InProgress()),
		"server_connections": open,
		"usable_slots":       usable,
	} {
		n.metrics.Gauge(name, float64(value))
	}
}
