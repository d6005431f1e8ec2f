package jynote

// Service describes a service that the fleet sends requests to.
type Service struct {
	Name ServiceName
	// Floor is the number of slots that ejections must leave in use.
	Floor int
	// DeadlineMilliseconds bounds a request from its arrival to the end of its response.
	DeadlineMilliseconds int
	// IdempotentMethods lists the methods that may be retried; empty means GET, HEAD and OPTIONS.
	IdempotentMethods []string `json:",omitempty"`
	// ServerDaysPerFalseEjection weighs false ejections against detection time: one healthy backend server may be ejected in
	// this many server-days.
	ServerDaysPerFalseEjection float64
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// Objective is what callers are promised.
	Objective Objective
	// NotRunMarks match the responses by which a backend server proves that it did not run the request.
	NotRunMarks []ResponsePattern `json:",omitempty"`
	// DrainMark matches the responses of a backend server that is draining.
	DrainMark ResponsePattern `json:",omitzero"`
	// ShedMark matches the responses of a backend server that sheds load.
	ShedMark ResponsePattern `json:",omitzero"`
}

// Objective is a service-level objective as callers see it.
type Objective struct {
	// SuccessShare is the share of requests that get a complete response in time, such as 0.999.
	SuccessShare float64
	// LatencyMilliseconds is the time within which a complete response counts as good.
	LatencyMilliseconds int
}

// ResponsePattern matches responses by their status, by a header, or by both. An empty Value matches any value of the header.
type ResponsePattern struct {
	Status int    `json:",omitempty"`
	Header string `json:",omitempty"`
	Value  string `json:",omitempty"`
}

// IsZero reports whether the pattern is empty, and so matches nothing.
func (p ResponsePattern) IsZero() bool { return p.Status == 0 && p.Header == "" }

// Matches reports whether a response with this status and header lookup matches the pattern.
func (p ResponsePattern) Matches(status int, header func(string) string) bool {
	if p.IsZero() {
		return false
	}
	if p.Status != 0 && p.Status != status {
		return false
	}
	if p.Header == "" {
		return true
	}
	got := header(p.Header)
	if p.Value == "" {
		return got != ""
	}
	return got == p.Value
}
