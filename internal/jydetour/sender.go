package jydetour

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/internal/jyproxy"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
	"github.com/jackdawyard/jackdawyard/pkg/jyreach"
)

const (
	// maxInstances is the number of instances that are asked to take a request.
	maxInstances = 4
	// unableTime is how long an instance that could not take a request of a service is not asked for one again, and silentTime how
	// long one is not asked that did not acknowledge a request: it may be paused or cut off.
	unableTime = time.Second
	silentTime = 3 * time.Second
	// ackTimeout is how long an instance may take to acknowledge a request.
	ackTimeout = 150 * time.Millisecond
)

// Fleet is the membership of the instances.
type Fleet interface {
	Self() jymember.Member
	// RandomPeers returns up to count other working instances.
	RandomPeers(count int) []jymember.Member
}

// Sender sends requests through other instances. It implements jyproxy.Detour, and is safe for concurrent use.
type Sender struct {
	fleet  Fleet
	client *jypeer.DetourClient

	mu        sync.Mutex
	instances map[jynote.ServiceName]*jyreach.Instances[string] // by address
}

// NewSender returns a sender to the members of the fleet.
func NewSender(fleet Fleet, client *jypeer.DetourClient) *Sender {
	return &Sender{fleet: fleet, client: client, instances: map[jynote.ServiceName]*jyreach.Instances[string]{}}
}

// maxKnownInstances bounds the instances to choose from.
const maxKnownInstances = 1024

// Send implements jyproxy.Detour.
func (s *Sender) Send(ctx context.Context, r jyproxy.DetourRequest) (jyproxy.DetourAnswer, error) {
	const op = "send through another instance"
	names, addresses := s.choose(r)
	for _, address := range addresses {
		e := newExchange(r.IsRetryable())
		e.onSilent = func() { s.markUnable(r.Service, address, silentTime) }
		resp, err := s.ask(ctx, e, address, r)
		if err != nil && e.mayHaveRun() {
			return jyproxy.DetourAnswer{}, jyfault.New(op, jyproxy.DetourLost, "%s: %w", names[address], err)
		}
		if err != nil && e.isSilent() {
			continue
		}
		if err != nil || !isFromProxy(resp) {
			s.markUnable(r.Service, address, unableTime)
			continue
		}
		refusal := jyproxy.ReadDetourRefusal(resp)
		if refusal == nil {
			return jyproxy.DetourAnswer{Instance: names[address], Response: resp}, nil
		}
		_ = resp.Body.Close()
		switch {
		case refusal.Reason == jyoutcome.NoPath || refusal.Reason == jyoutcome.ShuttingDown || isWithoutLease(refusal):
			s.markUnable(r.Service, address, unableTime)
		case refusal.Reason == jyoutcome.OtherConfiguration:
			// It has the same one again within moments.
		default:
			return jyproxy.DetourAnswer{Instance: names[address], Refusal: refusal}, nil
		}
	}
	return jyproxy.DetourAnswer{}, jyfault.New(op, jyproxy.NoDetour, "none of %d instances took the request", len(addresses))
}

// isWithoutLease reports whether the instance did not run the request since it cannot serve requests with keys now.
func isWithoutLease(r *jyoutcome.Refusal) bool {
	return r.Reason == jyoutcome.AccountsStale && r.Outcome == jyoutcome.NotRun
}

// choose returns the addresses of the instances to ask, in this order, with their names. A body that cannot be sent again is sent to
// one instance only.
func (s *Sender) choose(r jyproxy.DetourRequest) (names map[string]string, addresses []string) {
	self := s.fleet.Self()
	names = map[string]string{}
	var all []jyreach.Instance[string]
	for _, m := range s.fleet.RandomPeers(maxKnownInstances) {
		names[m.Address] = string(m.Name)
		all = append(all, jyreach.Instance[string]{ID: m.Address, IsLocal: m.DataCentre == self.DataCentre})
	}
	count := maxInstances
	if !r.IsReplayable {
		count = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return names, s.ofService(r.Service).Choose(time.Now(), all, count, rand.IntN)
}

// ofService returns the memory of a service; the caller holds mu.
func (s *Sender) ofService(name jynote.ServiceName) *jyreach.Instances[string] {
	if s.instances[name] == nil {
		s.instances[name] = jyreach.NewInstances[string]()
	}
	return s.instances[name]
}

func (s *Sender) markUnable(name jynote.ServiceName, address string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ofService(name).MarkUnable(address, time.Now().Add(d))
}

// ask sends the request to an instance and returns the head of the answer.
func (s *Sender) ask(ctx context.Context, e *exchange, address string, r jyproxy.DetourRequest) (*http.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	out, err := newRequest(httptrace.WithClientTrace(ctx, e.trace()), s.client.BaseURL(address), string(s.fleet.Self().Name), r)
	if err != nil {
		cancel()
		return nil, err
	}
	stop := e.awaitAck(cancel)
	defer stop()
	resp, err := s.client.Do(out)
	if err != nil {
		cancel()
		return nil, err
	}
	e.acknowledge()
	return resp, nil
}

// isFromProxy reports whether the proxy of the instance answered, and not a part of it that knows no such request.
func isFromProxy(resp *http.Response) bool {
	if resp.Header.Get(jyoutcome.Header) != "" {
		return true
	}
	_ = resp.Body.Close()
	return false
}
