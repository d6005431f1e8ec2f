package jyroute_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyroute"
)

func state(routes ...jynote.Route) jynote.State {
	return jynote.State{Number: 1, Services: []jynote.Service{{Name: "a"}, {Name: "b", IdempotentMethods: []string{"PUT"}}}, Routes: routes}
}

func TestFind(t *testing.T) {
	yes := true
	table := jyroute.NewTable(state(
		jynote.Route{Name: "root", PathPrefix: "/", Service: "a"},
		jynote.Route{Name: "orders", PathPrefix: "/orders/", Service: "b"},
		jynote.Route{Name: "search", PathPrefix: "/orders/search", Methods: []string{"POST"}, Service: "b", Idempotent: &yes},
	))
	tests := map[string]struct {
		method, path string
		want         jynote.RouteName
		idempotent   bool
	}{
		"the root matches everything else":   {"GET", "/other", "root", true},
		"the longest prefix wins":            {"PUT", "/orders/7", "orders", true},
		"a prefix ends at a slash":           {"GET", "/orders7", "root", true},
		"a service lists idempotent methods": {"GET", "/orders", "orders", false},
		"a route overrides its service":      {"POST", "/orders/search/x", "search", true},
		"a route matches only its methods":   {"PUT", "/orders/search/x", "orders", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m, ok := table.Find(jyroute.Request{Method: tt.method, Path: tt.path})
			require.True(t, ok)
			assert.Equal(t, tt.want, m.Route.Name)
			assert.Equal(t, tt.idempotent, m.Idempotent)
		})
	}
}

// findLinearly is a reference implementation of Find that checks all routes.
func findLinearly(routes []jynote.Route, path string) (jynote.RouteName, bool) {
	best, found := jynote.Route{}, false
	for _, r := range routes {
		prefix := strings.TrimSuffix(r.PathPrefix, "/")
		if path != prefix && !strings.HasPrefix(path, prefix+"/") {
			continue
		}
		if !found || len(prefix) > len(strings.TrimSuffix(best.PathPrefix, "/")) {
			best, found = r, true
		}
	}
	return best.Name, found
}

func TestFindAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.StringMatching(`(/[ab]{1,2}){1,4}/?`)
		var routes []jynote.Route
		seen := map[string]bool{}
		for _, p := range rapid.SliceOfN(path, 1, 12).Draw(t, "prefixes") {
			if key := strings.TrimSuffix(p, "/"); !seen[key] {
				seen[key] = true
				routes = append(routes, jynote.Route{Name: jynote.RouteName(p), PathPrefix: p, Service: "a"})
			}
		}
		requested := path.Draw(t, "path")
		want, found := findLinearly(routes, strings.TrimSuffix(requested, "/"))
		got, ok := jyroute.NewTable(state(routes...)).Find(jyroute.Request{Method: "GET", Path: requested})
		require.Equal(t, found, ok)
		require.Equal(t, want, got.Route.Name)
	})
}

func TestARouteWithAHostMatchesOnlyThatHost(t *testing.T) {
	table := jyroute.NewTable(state(
		jynote.Route{Name: "any", PathPrefix: "/", Service: "a"},
		jynote.Route{Name: "host", Host: "shop.example", PathPrefix: "/orders/", Service: "b"},
	))
	tests := map[string]struct {
		host, path string
		want       jynote.RouteName
	}{
		"the route's host":                 {"shop.example", "/orders/7", "host"},
		"another host":                     {"other.example", "/orders/7", "any"},
		"a prefix needs its closing slash": {"shop.example", "/orders", "any"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m, ok := table.Find(jyroute.Request{Host: tt.host, Method: "GET", Path: tt.path})
			require.True(t, ok)
			assert.Equal(t, tt.want, m.Route.Name)
		})
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	table := jyroute.NewTable(state(jynote.Route{
		Name: "split", PathPrefix: "/", Split: []jynote.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}},
	}))
	const draws = 1000
	counts := map[jynote.ServiceName]int{}
	for i := range draws {
		m, ok := table.Find(jyroute.Request{Method: "GET", Path: "/x", SplitPoint: float64(i) / draws})
		require.True(t, ok)
		counts[m.Service.Name]++
	}
	assert.Equal(t, map[jynote.ServiceName]int{"a": 900, "b": 100}, counts)
}
