package jynote

// BackendServer describes one target: a backend server as one service uses it.
type BackendServer struct {
	Name       ServerName
	Service    ServiceName
	Address    string
	DataCentre DataCentreName
	// Slots is the number of requests that it runs at once.
	Slots int
	// Connections bounds the connections that the whole fleet keeps to it.
	Connections int
}
