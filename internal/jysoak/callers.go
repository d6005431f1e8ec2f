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

// safeShare is the share of requests that may be repeated.
const safeShare = 0.5

// call sends requests at the rate until the time is over, and waits for all answers.
func (s *soak) call(ctx context.Context, t time.Duration) {
	random := rand.New(rand.NewPCG(s.config.Seed, 13))
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil && time.Since(s.started) < t; n++ {
		id, isSafe, to := fmt.Sprintf("request-%d", n), random.Float64() < safeShare, random.IntN(len(s.instances))
		wg.Go(func() { s.ask(id, isSafe, to) })
		time.Sleep(time.Duration(random.ExpFloat64() / s.config.RequestRate * float64(time.Second)))
	}
	wg.Wait()
}

func (s *soak) ask(id string, isSafe bool, to int) {
	in := s.instances[to]
	a := Request{ID: id, IsIdempotent: isSafe, Instance: to, Boot: in.life(), Sent: time.Since(s.started)}
	method, path := http.MethodPost, jyhoststandin.UnsafePath
	if isSafe {
		method, path = http.MethodGet, jyhoststandin.SafePath
	}
	answer := in.caller.Send(id, method, path+id)
	a.Ended = time.Since(s.started)
	if answer.Err == nil {
		a.Status, a.Body, a.Signed = answer.Status, answer.Body, answer.Signature != ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, a)
}

func (s *soak) ran() []Execution {
	var out []Execution
	for i, server := range s.servers {
		for _, r := range server.Requests() {
			out = append(out, Execution{ID: r.ID, Server: i, Service: i % 2, At: r.At.Sub(s.started)})
		}
	}
	return out
}
