package jysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	jyhoststandin "github.com/jackdawyard/jackdawyard/platform/standin"
)

const (
	// idempotentShare is the share of requests that are idempotent and thus may be retried.
	idempotentShare = 0.5
	// addedShare is the share of the idempotent requests that use the route that was added last.
	addedShare = 0.3
)

// sendRequests sends requests at random intervals until the soak has run for the duration, and waits for all answers.
func (s *soak) sendRequests(ctx context.Context, duration time.Duration) {
	random := rand.New(rand.NewPCG(s.config.Seed, 13))
	randomKeys := rand.New(rand.NewPCG(s.config.Seed, 31))
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil && time.Since(s.started) < duration; n++ {
		q := Request{ID: fmt.Sprintf("request-%d", n), IsIdempotent: random.Float64() < idempotentShare, Instance: random.IntN(len(s.instances))}
		if q.IsIdempotent && random.Float64() < addedShare {
			q.AddedRoute = s.lastAddedRoute()
		}
		q.Key = s.drawKey(randomKeys.Float64(), randomKeys.Float64())
		wg.Go(func() { s.sendRequest(q) })
		time.Sleep(time.Duration(random.ExpFloat64() / s.config.RequestRate * float64(time.Second)))
	}
	wg.Wait()
}

// sendRequest sends a request and appends it to requests, with its outcome.
func (s *soak) sendRequest(q Request) {
	in := s.instances[q.Instance]
	q.Boot, q.Sent = in.boot(), time.Since(s.started)
	method, path := http.MethodPost, jyhoststandin.UnsafePath
	if q.IsIdempotent {
		method, path = http.MethodGet, jyhoststandin.SafePath
	}
	if q.AddedRoute > 0 {
		path = jyhoststandin.AddedPath(q.AddedRoute)
	}
	caller := in.caller
	if q.Key > 0 {
		caller.Key = keyText(q.Key)
	}
	answer := caller.Send(q.ID, method, path+q.ID)
	q.Ended = time.Since(s.started)
	if answer.Err == nil {
		q.Status, q.Body, q.Signed = answer.Status, answer.Body, answer.Signature != ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, q)
}

// executions returns the requests that the servers ran.
func (s *soak) executions() []Execution {
	var out []Execution
	for i, server := range s.servers {
		for _, r := range server.Requests() {
			out = append(out, Execution{ID: r.ID, Server: i, Service: i % 2, At: r.At.Sub(s.started)})
		}
	}
	return out
}

// arrivals returns the requests that arrived at the servers.
func (s *soak) arrivals() []Arrival {
	var out []Arrival
	for i, server := range s.servers {
		for _, r := range server.Arrivals() {
			out = append(out, Arrival{ID: r.ID, Server: i, At: r.At.Sub(s.started), Accounts: r.Accounts, Keys: r.Keys})
		}
	}
	return out
}
