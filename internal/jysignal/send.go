package jysignal

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
)

const (
	// failureRelays is the number of instances of another data centre that are told of a failure, in case one is lost.
	failureRelays = 2
	// viewInterval is how often a data centre's belief is told to the others.
	viewInterval = 150 * time.Millisecond
	// grayStep is how far a belief moves before it is told again.
	grayStep = 0.03
	// viewMemory is how long a view is not told again while it stays the same.
	viewMemory = time.Second
)

// view is what was last told of a server to other data centres.
type view struct {
	load int
	gray float64
	at   time.Time
}

func (s *Signals) send(ctx context.Context) {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.tellViews(time.Now())
			continue
		case <-s.pending.ready:
		}
		select {
		case <-s.pending.urgent:
		case <-time.After(batchTime):
		}
		s.tell(s.pending.take())
	}
}

// tell sends all news to the instances nearby; other data centres hear of failures, and of load at their own servers.
func (s *Signals) tell(all map[*jybackend.Server]news) {
	var list, failed []*jywire.ServerSignal
	away := map[string][]*jywire.ServerSignal{}
	for server, n := range all {
		c := n.outcomes
		v := signalOf(server, n)
		list = append(list, v)
		centre := string(server.Info.DataCentre)
		switch {
		case c.Failures() > 0:
			failed = append(failed, v)
		case centre != s.self.DataCentre:
			away[centre] = append(away[centre], v)
		}
	}
	for _, m := range s.split(list) {
		s.post(m, s.peers.nearby())
	}
	for _, m := range s.split(failed) {
		m.Forward = true
		for _, to := range s.peers.relays(failureRelays) {
			s.post(m, to)
		}
	}
	relays := s.peers.relays(1)
	for centre, part := range away {
		for _, m := range s.split(part) {
			m.Forward = true
			s.post(m, relays[centre])
		}
	}
}

func signalOf(server *jybackend.Server, n news) *jywire.ServerSignal {
	c := n.outcomes
	return &jywire.ServerSignal{
		Server: server.Hash(), InFlight: uint32(max(0, server.InFlight())),
		Answered: c[jybelief.Answered], FailedEarly: c[jybelief.FailedEarly],
		FailedLate: c[jybelief.FailedLate], Silent: c[jybelief.Silent], Unserved: n.unserved,
	}
}

// split divides news into signals that fit into a datagram each.
func (s *Signals) split(list []*jywire.ServerSignal) []*jywire.Signal {
	var out []*jywire.Signal
	for part := range slices.Chunk(list, maxServers) {
		m := s.next()
		m.Servers = part
		out = append(out, m)
	}
	return out
}

func (s *Signals) next() *jywire.Signal {
	return &jywire.Signal{Sender: string(s.self.Name), Boot: uint64(s.self.Boot), Sequence: s.sequence.Add(1), DataCentre: s.self.DataCentre}
}

// tellViews tells the other data centres what this one believes of its servers, where that has changed.
func (s *Signals) tellViews(now time.Time) {
	if !s.peers.isSpeaker() {
		return
	}
	var list []*jywire.ServerView
	var services []*jywire.ServiceView
	for _, v := range s.config.Directory.Snapshot().Services() {
		if f := v.TakeRequestCounts(); f != (jybackend.RequestCounts{}) {
			services = append(services, &jywire.ServiceView{Service: v.Hash(), Served: f.Served, Unserved: f.Unserved})
		}
		for _, server := range v.Servers {
			if string(server.Info.DataCentre) != s.self.DataCentre || !server.WasTried() {
				continue
			}
			if w, news := s.viewOf(now, server); news {
				list = append(list, w)
			}
		}
	}
	for _, m := range s.splitViews(list, services) {
		s.post(m, s.peers.nearby())
		m.Forward = true
		for _, to := range s.peers.relays(1) {
			s.post(m, to)
		}
	}
}

// viewOf returns what is believed of a server, and whether that is news.
func (s *Signals) viewOf(now time.Time, server *jybackend.Server) (*jywire.ServerView, bool) {
	load, gray := server.View(now)
	hash := server.Hash()
	old := s.told[hash]
	same := load == old.load && math.Abs(gray-old.gray) < grayStep
	if same && now.Sub(old.at) < viewMemory {
		return nil, false
	}
	s.told[hash] = view{load: load, gray: gray, at: now}
	return wireView(hash, load, gray), true
}

func wireView(server uint64, load int, gray float64) *jywire.ServerView {
	return &jywire.ServerView{Server: server, Load: uint32(max(0, load)), GrayPerMille: uint32(gray * perMille)}
}

// splitViews divides views into signals that fit into a datagram each; the first carries those of the services.
func (s *Signals) splitViews(list []*jywire.ServerView, services []*jywire.ServiceView) []*jywire.Signal {
	var out []*jywire.Signal
	for part := range slices.Chunk(list, maxServers) {
		m := s.next()
		m.Views = part
		out = append(out, m)
	}
	if len(services) == 0 {
		return out
	}
	if len(out) == 0 {
		out = append(out, s.next())
	}
	out[0].Services = services
	return out
}
