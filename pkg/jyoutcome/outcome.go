package jyoutcome

// Outcome says what a caller may conclude about its request.
type Outcome string

const (
	// Complete means that the answer is the backend server's complete answer to this request.
	Complete Outcome = "Complete"
	// NotRun means that no backend server ran the request, nor will one run it later.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have run once, and will not run again under the same request id.
	Unknown Outcome = "Unknown"
)

// Header is the response header that carries the Outcome.
const Header = "Jackdawyard-Outcome"
