package jyroute

import (
	"slices"
	"strings"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// Match is the route of a request, the service it goes to, and whether the request is idempotent.
type Match struct {
	Route      jynote.Route
	Service    jynote.Service
	Idempotent bool
}

// Request holds the properties of a request that determine its route and service.
type Request struct {
	Host   string
	Method string
	Path   string
	// SplitPoint is a random number in [0, 1) that selects the service if the route is split.
	SplitPoint float64
}

// Table is an immutable index of routes. It is safe for concurrent use.
type Table struct {
	routes   map[routeKey][]jynote.Route
	services map[jynote.ServiceName]jynote.Service
}

type routeKey struct{ host, prefix string }

// NewTable returns an index of the routes in s.
func NewTable(s jynote.State) *Table {
	t := &Table{
		routes:   make(map[routeKey][]jynote.Route, len(s.Routes)),
		services: make(map[jynote.ServiceName]jynote.Service, len(s.Services)),
	}
	for _, r := range s.Routes {
		key := routeKey{r.Host, strings.TrimSuffix(r.PathPrefix, "/")}
		t.routes[key] = append(t.routes[key], r)
	}
	for _, v := range s.Services {
		t.services[v.Name] = v
	}
	return t
}

// Find returns the route with the longest path prefix among those that match the request's host, method and path. A prefix
// matches whole path segments. Of two equal prefixes, a route for the request's host precedes one for any host. Find returns false
// if no route matches.
func (t *Table) Find(r Request) (Match, bool) {
	prefix := strings.TrimSuffix(r.Path, "/")
	for {
		for _, host := range []string{r.Host, ""} {
			if m, ok := t.lookUp(routeKey{host, prefix}, r); ok {
				return m, true
			}
		}
		if prefix == "" {
			return Match{}, false
		}
		prefix = prefix[:max(0, strings.LastIndexByte(prefix, '/'))]
	}
}

// lookUp returns the first route under the key that matches the request.
func (t *Table) lookUp(key routeKey, r Request) (Match, bool) {
	for _, route := range t.routes[key] {
		if len(route.Methods) > 0 && !slices.Contains(route.Methods, r.Method) {
			continue
		}
		// If a route has a host, the closing slash of its prefix must match too.
		if route.Host != "" && !strings.HasPrefix(r.Path, route.PathPrefix) {
			continue
		}
		s := t.services[serviceFor(route, r.SplitPoint)]
		return Match{Route: route, Service: s, Idempotent: isIdempotent(route, s, r.Method)}, true
	}
	return Match{}, false
}

// serviceFor returns the service of the route, or the one that splitPoint selects in proportion to the weights of its split.
func serviceFor(r jynote.Route, splitPoint float64) jynote.ServiceName {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := splitPoint * float64(total)
	for _, s := range r.Split {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

var defaultIdempotentMethods = []string{"GET", "HEAD", "OPTIONS"}

// isIdempotent reports whether a request is idempotent by the route, or else by the methods that the service lists, or else by
// defaultIdempotentMethods.
func isIdempotent(r jynote.Route, s jynote.Service, method string) bool {
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	if len(s.IdempotentMethods) > 0 {
		return slices.Contains(s.IdempotentMethods, method)
	}
	return slices.Contains(defaultIdempotentMethods, method)
}
