package jystandin

// Headers and control paths of a BackendServer. FlagHeaderValue is the value of NotRunHeader, ShedHeader and DrainHeader.
const (
	TokenHeader     = "Request-Token"
	ServerHeader    = "Backend-Server"
	NotRunHeader    = "Backend-Not-Run"
	ShedHeader      = "Backend-Shed"
	DrainHeader     = "Backend-Draining"
	FlagHeaderValue = "true"

	FaultPath  = "/.standin/fault"
	CountsPath = "/.standin/counts"
	HealthPath = "/.standin/health"
)

// Echo is the JSON body of a BackendServer's answer. It shows which request the server received.
type Echo struct {
	Token     string // of the request's TokenHeader
	Server    string // the server's name
	BodyBytes int    // length of the request body
	BodySum   string // first 8 bytes of the request body's SHA-256, in hex
	// Padding has the length in bytes that the query parameter Padding states, to make answers large.
	Padding string `json:",omitempty"`
}

// Counts holds the counters of a BackendServer.
type Counts struct {
	Server   string
	Requests uint64 // received, including those shed
	Shed     uint64
	// Effects maps the token of each non-idempotent request to how often it took effect.
	Effects map[string]int
}
