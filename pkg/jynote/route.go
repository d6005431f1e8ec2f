package jynote

// Route sends the requests under a path prefix to a service, or to several by weight. The route with the longest prefix wins.
type Route struct {
	Name RouteName
	// Host limits the route to requests for this host. With a Host, a prefix that ends in a slash matches only paths with
	// that slash.
	Host       string `json:",omitempty"`
	PathPrefix string
	// Methods limits the route to these methods; empty means all.
	Methods []string    `json:",omitempty"`
	Service ServiceName `json:",omitempty"`
	// Split divides the requests between services. It replaces Service.
	Split []Share `json:",omitempty"`
	// Idempotent overrides the service's IdempotentMethods for this route.
	Idempotent *bool `json:",omitempty"`
	// TimeoutMilliseconds bounds a request more tightly than the service's deadline; 0 means that deadline.
	TimeoutMilliseconds int `json:",omitempty"`
	// ObjectiveMilliseconds is the latency objective for this route; 0 means the service's objective.
	ObjectiveMilliseconds int `json:",omitempty"`
	// MaxAttempts bounds the backend servers that one request is sent to; 0 means the default.
	MaxAttempts int `json:",omitempty"`
	// Priority ranks requests that compete for a backend server; 0 comes first.
	Priority int `json:",omitempty"`
	// Public marks a route whose requests need no key, even if there are client accounts.
	Public bool `json:",omitempty"`
}

// Share is a service that gets a part of a route's requests, in proportion to Weight. The name of the type appears in the
// stored reasons of refused notes.
type Share struct {
	Service ServiceName
	Weight  int
}

// Services returns the services that the route may send requests to.
func (r Route) Services() []ServiceName {
	if len(r.Split) == 0 {
		return []ServiceName{r.Service}
	}
	out := make([]ServiceName, 0, len(r.Split))
	for _, s := range r.Split {
		out = append(out, s.Service)
	}
	return out
}
