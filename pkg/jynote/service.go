package jynote

// Service describes one service that the fleet serves.
type Service struct {
	Name ServiceName
	// Floor is the number of slots that ejections must leave in use.
	Floor int
	// DeadlineMilliseconds bounds a request from its arrival to the end of its answer.
	DeadlineMilliseconds int
	// IdempotentMethods lists the methods that may be repeated; empty means GET, HEAD and OPTIONS.
	IdempotentMethods []string `json:",omitempty"`
	// ServerDaysPerFalseEjection weighs false ejections against detection time: one healthy backend server may be ejected in so many server-days.
	ServerDaysPerFalseEjection float64
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// Objective is what callers are promised.
	Objective Objective
	// NotRunMarks are the answers by which a backend server proves that it did not run the request.
	NotRunMarks []ResponsePattern `json:",omitempty"`
	// DrainMark is set on answers of a backend server that is leaving.
	DrainMark ResponsePattern `json:",omitzero"`
	// ShedMark is set on answers of a backend server that sheds load.
	ShedMark ResponsePattern `json:",omitzero"`
}

// Objective is a service-level objective as callers see it.
type Objective struct {
	// SuccessShare is the share of requests that get a complete answer in time, such as 0.999.
	SuccessShare float64
	// LatencyMilliseconds is the time within which a complete answer counts as good.
	LatencyMilliseconds int
}

// ResponsePattern is a property of an answer: its status, a header, or both.
type ResponsePattern struct {
	Status int    `json:",omitempty"`
	Header string `json:",omitempty"`
	Value  string `json:",omitempty"`
}

// IsZero reports whether the mark matches nothing.
func (m ResponsePattern) IsZero() bool { return m.Status == 0 && m.Header == "" }

// Matches reports whether an answer with this status and header lookup carries the mark.
func (m ResponsePattern) Matches(status int, header func(string) string) bool {
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
