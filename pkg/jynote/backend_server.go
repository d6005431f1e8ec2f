package jynote

// BackendServer describes one target: a backend server as one service uses it.
type BackendServer struct {
	Name ServerName
	// Identity is what the server itself answers to, if that differs from Name; it says which server must run a request.
	Identity   string `json:",omitempty"`
	Service    ServiceName
	Address    string
	DataCentre DataCentreName
	// Slots is the number of requests that it runs at once.
	Slots int
	// Connections bounds the connections that the whole fleet keeps to it.
	Connections int
}
