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

// idempotentShare is the share of requests that are idempotent and thus may be retried.
const idempotentShare = 0.5

// sendRequests sends requests at random intervals until the soak has run for the duration, and waits for all answers.
func (s *soak) sendRequests(ctx context.Context, duration time.Duration) {
	random := rand.New(rand.NewPCG(s.config.Seed, 13))
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil && time.Since(s.started) < duration; n++ {
		id, isIdempotent, target := fmt.Sprintf("request-%d", n), random.Float64() < idempotentShare, random.IntN(len(s.instances))
		wg.Go(func() { s.sendRequest(id, isIdempotent, target) })
		time.Sleep(time.Duration(random.ExpFloat64() / s.config.RequestRate * float64(time.Second)))
	}
	wg.Wait()
}

func (s *soak) sendRequest(id string, isIdempotent bool, target int) {
	in := s.instances[target]
	q := Request{ID: id, IsIdempotent: isIdempotent, Instance: target, Boot: in.boot(), Sent: time.Since(s.started)}
	method, path := http.MethodPost, jyhoststandin.UnsafePath
	if isIdempotent {
		method, path = http.MethodGet, jyhoststandin.SafePath
	}
	answer := in.caller.Send(id, method, path+id)
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
			out = append(out, Arrival{ID: r.ID, Server: i, At: r.At.Sub(s.started)})
		}
	}
	return out
}
