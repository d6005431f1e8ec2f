package jyroute

import (
	"slices"
	"strings"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// Match is the result of a look-up.
type Match struct {
	Route      jynote.Route
	Service    jynote.Service
	Idempotent bool
}

// Request is what decides about the route of a request.
type Request struct {
	Host   string
	Method string
	Path   string
	// SplitPoint in [0, 1) settles to which part of a split the request goes.
	SplitPoint float64
}

// Table is an immutable index of routes.
type Table struct {
	byPlace  map[place][]jynote.Route
	services map[jynote.ServiceName]jynote.Service
}

type place struct{ host, prefix string }

// NewTable returns the index of the routes in force in s.
func NewTable(s jynote.State) *Table {
	t := &Table{
		byPlace:  make(map[place][]jynote.Route, len(s.Routes)),
		services: make(map[jynote.ServiceName]jynote.Service, len(s.Services)),
	}
	for _, r := range s.Routes {
		p := place{r.Host, strings.TrimSuffix(r.PathPrefix, "/")}
		t.byPlace[p] = append(t.byPlace[p], r)
	}
	for _, v := range s.Services {
		t.services[v.Name] = v
	}
	return t
}

// Find returns the route whose prefix, cut at a slash, is the longest that fits the path, host and method.
func (t *Table) Find(r Request) (Match, bool) {
	prefix := strings.TrimSuffix(r.Path, "/")
	for {
		for _, host := range []string{r.Host, ""} {
			if m, ok := t.at(place{host, prefix}, r); ok {
				return m, true
			}
		}
		if prefix == "" {
			return Match{}, false
		}
		prefix = prefix[:max(0, strings.LastIndexByte(prefix, '/'))]
	}
}

func (t *Table) at(p place, r Request) (Match, bool) {
	for _, route := range t.byPlace[p] {
		if len(route.Methods) > 0 && !slices.Contains(route.Methods, r.Method) {
			continue
		}
		if route.Host != "" && !strings.HasPrefix(r.Path, route.PathPrefix) {
			continue
		}
		s := t.services[part(route, r.SplitPoint)]
		return Match{Route: route, Service: s, Idempotent: isIdempotent(route, s, r.Method)}, true
	}
	return Match{}, false
}

// part returns the service that the draw falls to, in proportion to the weights.
func part(r jynote.Route, draw float64) jynote.ServiceName {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := draw * float64(total)
	for _, s := range r.Split {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

var defaultIdempotent = []string{"GET", "HEAD", "OPTIONS"}

func isIdempotent(r jynote.Route, s jynote.Service, method string) bool {
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	if len(s.IdempotentMethods) > 0 {
		return slices.Contains(s.IdempotentMethods, method)
	}
	return slices.Contains(defaultIdempotent, method)
}
