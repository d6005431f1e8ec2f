package jysubset_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/pkg/jysubset"
)

func TestPlanFor(t *testing.T) {
	tests := map[string]struct {
		instances, servers, connections int
		want                            jysubset.Plan
	}{
		"a single instance uses all servers":             {1, 8, 300, jysubset.Plan{Servers: 8, Connections: 300}},
		"a small fleet uses all servers":                 {15, 15, 300, jysubset.Plan{Servers: 15, Connections: 20}},
		"a large fleet uses three of many servers":       {530, 16, 300, jysubset.Plan{Servers: 3, Connections: 2}},
		"few servers leave one connection to one server": {530, 4, 300, jysubset.Plan{Servers: 1, Connections: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tt.want, jysubset.PlanFor(tt.instances, tt.servers, tt.connections))
		})
	}
}

func TestNoServerGetsMoreConnectionsThanItAccepts(t *testing.T) {
	const connections = 300
	for _, size := range []struct{ instances, servers int }{{15, 8}, {60, 8}, {100, 16}, {240, 16}, {530, 16}, {530, 40}, {530, 8}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			for trial := range 20 {
				plan := jysubset.PlanFor(size.instances, size.servers, connections)
				var servers []jysubset.Server
				for i := range size.servers {
					servers = append(servers, jysubset.Server{Name: fmt.Sprintf("service-%d-server-%d", trial, i)})
				}
				used := make([]int, size.servers)
				for i := range size.instances {
					for _, s := range jysubset.Rank(fmt.Sprintf("entry-%d", i), servers)[:plan.Servers] {
						used[s] += plan.Connections
					}
				}
				for s, n := range used {
					require.LessOrEqual(t, n, connections, "server %d", s)
				}
			}
		})
	}
}

func TestRankPrefersServersInSameRegionAndKeepsOrderOnRemoval(t *testing.T) {
	var servers []jysubset.Server
	for i := range 20 {
		servers = append(servers, jysubset.Server{Name: fmt.Sprint("server-", i), InSameRegion: i%2 == 0})
	}
	before := jysubset.Rank("entry-1", servers)
	for _, i := range before[:10] {
		assert.True(t, servers[i].InSameRegion)
	}
	removed := before[0]
	after := jysubset.Rank("entry-1", append(servers[:removed:removed], servers[removed+1:]...))
	for k, i := range after {
		if i >= removed {
			i++
		}
		assert.Equal(t, before[k+1], i)
	}
}
