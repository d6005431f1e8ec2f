package jynote

// BackendServer describes one target: a backend server as it serves one service.
type BackendServer struct {
	Name ServerName
	// Identity is the server's own id if it differs from Name. Requests may carry it, so that no other server runs them.
	Identity   string `json:",omitempty"`
	Service    ServiceName
	Address    string // IP address and port
	DataCentre DataCentreName
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Connections bounds the connections of the whole fleet to the server.
	Connections int
}
