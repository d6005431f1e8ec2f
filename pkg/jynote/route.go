package jynote

// Route sends the requests under a path prefix to a service, or to several by weight; the longest prefix wins.
type Route struct {
	Name RouteName
	// Host limits the route to requests for this host; with it, a prefix that ends in a slash needs that slash in the path.
	Host       string `json:",omitempty"`
	PathPrefix string
	// Methods limits the route to these methods; empty means all.
	Methods []string    `json:",omitempty"`
	Service ServiceName `json:",omitempty"`
	// Split divides the requests between services; it stands in place of Service.
	Split []WeightedService `json:",omitempty"`
	// Idempotent overrides the service's IdempotentMethods for this route.
	Idempotent *bool `json:",omitempty"`
	// TimeoutMilliseconds bounds a request more tightly than its service does; 0 leaves it to the service.
	TimeoutMilliseconds int `json:",omitempty"`
	// ObjectiveMilliseconds is the latency that callers of this route are promised; 0 leaves it to the service.
	ObjectiveMilliseconds int `json:",omitempty"`
	// MaxAttempts bounds the backend servers that one request is sent to; 0 means the default.
	MaxAttempts int `json:",omitempty"`
	// Priority is the rank among requests that compete for a backend server, 0 first.
	Priority int `json:",omitempty"`
}

// WeightedService is one part of a route's split.
type WeightedService struct {
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
