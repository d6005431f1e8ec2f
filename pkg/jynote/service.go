package jynote

// Service describes a service that the fleet sends requests to.
type Service struct {
	Name ServiceName
	// Floor is the number of slots that ejections must leave in use. Even if it is 0, they leave one server.
	Floor int
	// DeadlineMilliseconds bounds a request from its arrival to the end of its response.
	DeadlineMilliseconds int
	// IdempotentMethods lists the methods that may be retried; empty means GET, HEAD and OPTIONS.
	IdempotentMethods []string `json:",omitempty"`
	// ServerDaysPerFalseEjection weighs false ejections against detection time: one healthy backend server may be ejected in
	// this many server-days.
	ServerDaysPerFalseEjection float64
	// MaxBodyBytes bounds a request body; 0 allows no body.
	MaxBodyBytes int64
	// Objective is the service-level objective of the service.
	Objective Objective
	// NotRunMarks match the responses by which a backend server proves that it did not run the request.
	NotRunMarks []Mark `json:",omitempty"`
	// DrainMark matches the responses of a backend server that is draining.
	DrainMark Mark `json:",omitzero"`
	// ShedMark matches the responses of a backend server that sheds load.
	ShedMark Mark `json:",omitzero"`
	// LimitHeader names the response header in which a backend server states how many requests per second it takes from all
	// instances together, as a decimal number; empty means none. The limit holds until an answer states another one or none.
	LimitHeader string `json:",omitempty"`
}

// Objective is a service-level objective as callers see it.
type Objective struct {
	// SuccessShare is the share of requests that get a complete response in time, such as 0.999.
	SuccessShare float64
	// LatencyMilliseconds is the time within which a complete response counts as good.
	LatencyMilliseconds int
}

// Mark is a pattern of responses: it matches them by their status, by a header, or by both. An empty Value matches any value of
// the header. The name of the type appears in the stored reasons of refused notes.
type Mark struct {
	Status int    `json:",omitempty"`
	Header string `json:",omitempty"`
	Value  string `json:",omitempty"`
}

// IsZero reports whether the pattern is empty, and so matches nothing.
func (m Mark) IsZero() bool { return m.Status == 0 && m.Header == "" }

// Matches reports whether a response with this status and header lookup matches the pattern.
func (m Mark) Matches(status int, header func(string) string) bool {
	if m.IsZero() {
		return false
	}
	if m.Status != 0 && m.Status != status {
		return false
	}
	if m.Header == "" {
		return true
	}
	got := header(m.Header)
	if m.Value == "" {
		return got != ""
	}
	return got == m.Value
}
