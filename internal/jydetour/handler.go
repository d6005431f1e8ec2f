package jydetour

import (
	"net/http"

	"github.com/jackdawyard/jackdawyard/internal/jyproxy"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// Proxy serves callers' requests.
type Proxy interface {
	// ServeDetour serves a request that another instance received.
	ServeDetour(w http.ResponseWriter, r *http.Request, from jyproxy.DetourSource)
}

// Handler serves the requests that other instances send through this one.
type Handler struct {
	Proxy Proxy
	// IsDraining reports whether this instance shuts down, so that others should take the requests.
	IsDraining func() bool
}

// ServeHTTP implements http.Handler.
func (h Handler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	if h.IsDraining() {
		jyproxy.DeclineDetour(w, jyoutcome.ShuttingDown)
		return
	}
	r, from, err := originalRequest(in)
	if err != nil {
		jyproxy.WriteDetourRefusal(w, jyoutcome.Refusal{
			Outcome: jyoutcome.NotRun, Reason: jyoutcome.BadRequest, Status: http.StatusBadRequest, Detail: err.Error(),
		})
		return
	}
	// The ack: without one, the other instance takes this one for paused.
	w.WriteHeader(http.StatusProcessing)
	h.Proxy.ServeDetour(w, r, from)
}
