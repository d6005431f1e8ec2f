package jysignal

import (
	"sync"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
)

// news is what has become of one server since it was last told.
type news struct {
	answered uint32
	failed   uint32
}

// pending holds the servers of which there is news; one entry a server bounds it.
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

func (p *pending) add(s *jybackend.Server, n news) {
	p.mu.Lock()
	old := p.news[s]
	p.news[s] = news{answered: old.answered + n.answered, failed: old.failed + n.failed}
	p.mu.Unlock()
	signal(p.ready)
	if n.failed > 0 {
		signal(p.urgent)
	}
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
