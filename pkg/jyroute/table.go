package jyroute

import (
	"slices"
	"strings"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// Match is the result of a look-up.
type Match struct {
	Route      jynote.RouteName
	Service    jynote.Service
	Idempotent bool
}

// Table is an immutable index of routes.
type Table struct {
	byPrefix map[string][]jynote.Route
	services map[jynote.ServiceName]jynote.Service
}

// NewTable returns the index of the routes in force in s.
func NewTable(s jynote.State) *Table {
	t := &Table{
		byPrefix: make(map[string][]jynote.Route, len(s.Routes)),
		services: make(map[jynote.ServiceName]jynote.Service, len(s.Services)),
	}
	for _, r := range s.Routes {
		prefix := strings.TrimSuffix(r.PathPrefix, "/")
		t.byPrefix[prefix] = append(t.byPrefix[prefix], r)
	}
	for _, v := range s.Services {
		t.services[v.Name] = v
	}
	return t
}

// Find returns the route whose prefix, cut at a slash, is the longest that fits the path and method.
func (t *Table) Find(method, path string) (Match, bool) {
	prefix := strings.TrimSuffix(path, "/")
	for {
		if m, ok := t.at(prefix, method); ok {
			return m, true
		}
		if prefix == "" {
			return Match{}, false
		}
		prefix = prefix[:max(0, strings.LastIndexByte(prefix, '/'))]
	}
}

func (t *Table) at(prefix, method string) (Match, bool) {
	for _, r := range t.byPrefix[prefix] {
		if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
			continue
		}
		s := t.services[r.Service]
		return Match{Route: r.Name, Service: s, Idempotent: isIdempotent(r, s, method)}, true
	}
	return Match{}, false
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
