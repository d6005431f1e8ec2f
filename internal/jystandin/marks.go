package jystandin

// Headers and paths of a stand-in backend server.
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

// Echo is the body of a stand-in's answer.
type Echo struct {
	Token     string
	Server    string
	BodyBytes int
	BodySum   string
	Padding   string `json:",omitempty"`
}

// Counts is what a stand-in counted.
type Counts struct {
	Server   string
	Requests uint64
	Shed     uint64
	// Effects maps the token of each non-idempotent request to how often it took effect.
	Effects map[string]int
}
