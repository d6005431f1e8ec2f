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
	open, usable := 0, 0
	for _, v := range n.directory.Snapshot().Services() {
		usable += v.Capacity().UsableSlots
		for _, s := range v.Servers {
			open += s.Pool.OpenCount()
		}
	}
	for name, value := range map[string]int{
		"release_number":     int(n.source.Mark().Number),
		"working_instances":  n.fleet.WorkingCount(),
		"request_ids":        n.requestIDs().Records,
		"in_progress":        int(n.proxy.InProgress()),
		"server_connections": open,
		"usable_slots":       usable,
	} {
		n.metrics.Gauge(name, float64(value))
	}
}
