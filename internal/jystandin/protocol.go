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

// Echo is the JSON body of a BackendServer's answer.
type Echo struct {
	Token     string
	Server    string
	BodyBytes int
	BodySum   string // first 8 bytes of the body's SHA-256, in hex
	// Padding is as long as the query parameter Padding asks, to make large answers.
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
