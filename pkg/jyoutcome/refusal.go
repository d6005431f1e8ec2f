package jyoutcome

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ProblemContentType is the media type of the body of a refusal (RFC 9457).
const ProblemContentType = "application/problem+json"

// Refusal is a response that an instance gives instead of a backend server's answer.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	Status     int           // HTTP status
	Detail     string        // explanation for people; may be empty
	RetryAfter time.Duration // how long to wait before a retry; 0 if a retry would not help
}

// problem is the body of a refusal (RFC 9457).
type problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason"`
}

// Write sends the refusal as a complete HTTP response with the outcome header and a problem body. If RetryAfter is above 0, the
// header Retry-After carries it, rounded up to whole seconds.
func (r Refusal) Write(w http.ResponseWriter) error {
	h := w.Header()
	h.Set(Header, string(r.Outcome))
	h.Set("Content-Type", ProblemContentType)
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(r.RetryAfter)))
	}
	body, err := json.Marshal(problem{
		Type:    "urn:jackdawyard:" + string(r.Reason),
		Title:   http.StatusText(r.Status),
		Status:  r.Status,
		Detail:  r.Detail,
		Outcome: r.Outcome,
		Reason:  r.Reason,
	})
	if err != nil {
		return err
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, err = w.Write(body)
	return err
}

func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
