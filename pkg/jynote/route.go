package jynote

// Route sends the requests under a path prefix to a service; the longest prefix wins.
type Route struct {
	Name       RouteName
	PathPrefix string
	// Methods limits the route to these methods; empty means all.
	Methods []string `json:",omitempty"`
	Service ServiceName
	// Idempotent overrides the service's IdempotentMethods for this route.
	Idempotent *bool `json:",omitempty"`
}
