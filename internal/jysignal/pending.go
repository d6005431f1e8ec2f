package jysignal

import (
	"sync"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
)

// news is how requests ended at a server since peers were told of it.
type news struct {
	outcomes jybelief.Counts
	unserved uint32
}

// pending holds how requests ended at the servers of which peers were not told yet; one entry a server bounds it.
type pending struct {
	mu    sync.Mutex
	news  map[*jybackend.Server]news
	ready chan struct{}
	// urgent is signalled beside ready once there is a failure.
	urgent chan struct{}
}

func newPending() *pending {
	return &pending{news: map[*jybackend.Server]news{}, ready: make(chan struct{}, 1), urgent: make(chan struct{}, 1)}
}

func (p *pending) add(s *jybackend.Server, c jybelief.Counts) {
	p.mu.Lock()
	n := p.news[s]
	n.outcomes = n.outcomes.Add(c)
	p.news[s] = n
	p.mu.Unlock()
	signal(p.ready)
	if c.Failures() > 0 {
		signal(p.urgent)
	}
}

// addUnserved counts a request that ended unserved.
func (p *pending) addUnserved(s *jybackend.Server) {
	p.mu.Lock()
	n := p.news[s]
	n.unserved++
	p.news[s] = n
	p.mu.Unlock()
	signal(p.ready)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// take returns the news and forgets it.
func (p *pending) take() map[*jybackend.Server]news {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.news
	p.news = make(map[*jybackend.Server]news, len(out))
	return out
}
