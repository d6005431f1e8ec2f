package jysignal

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jyclock"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
)

const (
	// failureRelays is the number of instances per remote data centre that a failure is sent to, since a datagram may be lost.
	failureRelays = 2
	// viewInterval is the time between two rounds of sending views.
	viewInterval = 150 * time.Millisecond
	// minGrayChange is the least change of a server's gray chance, from 0 to 1, for which the next round sends its view again.
	minGrayChange = 0.03
	// viewResendInterval is the time after which a view that has hardly changed is sent again.
	viewResendInterval = time.Second
)

// sentView is the last view of a server that was sent.
type sentView struct {
	load int     // requests of all instances at the server
	gray float64 // gray chance, from 0 to 1
	at   time.Time
}

// send sends views every viewInterval and pending updates when they are added, until ctx ends. The first update waits for others
// for batchDelay, unless one of them holds a failure.
func (s *Signals) send(ctx context.Context) {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	usageTicker := time.NewTicker(usageInterval)
	defer usageTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sendViews(time.Now())
			s.sendSums(time.Now())
			continue
		case <-usageTicker.C:
			s.sendUsage(time.Now())
			continue
		case <-s.pending.ready:
		}
		select {
		case <-s.pending.urgent:
		case <-time.After(batchDelay):
		}
		s.sendUpdates(s.pending.drain())
	}
}

// sendUpdates sends all updates to the local peers. Updates with failures, and changed limits, also go to all other data centres.
// The rest also go to the data centre of the server.
func (s *Signals) sendUpdates(updates map[*jybackend.Server]pendingUpdate) {
	var signals, failed []*jywire.ServerSignal
	var limits []*jywire.ServerLimit
	now := time.Now()
	remote := map[string][]*jywire.ServerSignal{}
	for server, u := range updates {
		c := u.outcomes
		signal := toServerSignal(server, u)
		signals = append(signals, signal)
		if u.limitChanged {
			limits = append(limits, toServerLimit(now, server))
		}
		centre := string(server.Info.DataCentre)
		switch {
		case c.Failures() > 0:
			failed = append(failed, signal)
		case centre != s.self.DataCentre:
			remote[centre] = append(remote[centre], signal)
		}
	}
	local := s.splitSignals(signals)
	if s.usesQuotas() {
		local = s.addUsage(now, local)
	}
	for _, m := range local {
		s.sendTo(m, s.peers.localPeers())
	}
	for _, m := range s.splitSignals(failed) {
		m.Forward = true
		for _, to := range s.peers.relays(failureRelays) {
			s.sendTo(m, to)
		}
	}
	s.sendLimits(limits)
	relays := s.peers.relays(1)
	for centre, part := range remote {
		for _, m := range s.splitSignals(part) {
			m.Forward = true
			s.sendTo(m, relays[centre])
		}
	}
}

func toServerSignal(server *jybackend.Server, u pendingUpdate) *jywire.ServerSignal {
	c := u.outcomes
	return &jywire.ServerSignal{
		Server: server.Hash(), InFlight: uint32(max(0, server.InFlight())),
		Answered: c[jybelief.Answered], FailedEarly: c[jybelief.FailedEarly],
		FailedLate: c[jybelief.FailedLate], Silent: c[jybelief.Silent], Unserved: u.unserved,
	}
}

// splitSignals divides updates into signals that each fit into a datagram.
func (s *Signals) splitSignals(list []*jywire.ServerSignal) []*jywire.Signal {
	var out []*jywire.Signal
	for part := range slices.Chunk(list, maxServersPerSignal) {
		m := s.newSignal()
		m.Servers = part
		out = append(out, m)
	}
	return out
}

func (s *Signals) newSignal() *jywire.Signal {
	return &jywire.Signal{
		Sender: string(s.self.Name), Boot: uint64(s.self.Boot), Sequence: s.sequence.Add(1), DataCentre: s.self.DataCentre,
		SentMicroseconds: uint64(jyclock.Now().Sub(s.started).Microseconds()) + 1,
	}
}

// sendViews sends the changed views and the limits of this data centre's servers, and the request counts of the services, to the
// local peers and to the other data centres. It does nothing unless this instance is the representative of its data centre.
func (s *Signals) sendViews(now time.Time) {
	if !s.peers.isRepresentative() {
		return
	}
	s.sendCapacities(now)
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
			if view, changed := s.changedView(now, server); changed {
				list = append(list, view)
			}
		}
	}
	if now.Sub(s.limitsSentAt) >= viewResendInterval {
		s.limitsSentAt = now
		s.sendLimits(s.knownLimits(now, func(server *jybackend.Server) bool { return string(server.Info.DataCentre) == s.self.DataCentre }))
	}
	for _, m := range s.splitViews(list, services) {
		s.sendTo(m, s.peers.localPeers())
		m.Forward = true
		for _, to := range s.peers.relays(1) {
			s.sendTo(m, to)
		}
	}
}

// changedView returns the view of a server and records it as sent, or false if it was sent recently and has hardly changed.
func (s *Signals) changedView(now time.Time, server *jybackend.Server) (*jywire.ServerView, bool) {
	load, gray := server.View(now)
	hash := server.Hash()
	last := s.lastSent[hash]
	unchanged := load == last.load && math.Abs(gray-last.gray) < minGrayChange
	if unchanged && now.Sub(last.at) < viewResendInterval {
		return nil, false
	}
	s.lastSent[hash] = sentView{load: load, gray: gray, at: now}
	return toServerView(hash, load, gray), true
}

func toServerView(server uint64, load int, gray float64) *jywire.ServerView {
	return &jywire.ServerView{Server: server, Load: uint32(max(0, load)), GrayPerMille: uint32(gray * perMille)}
}

// splitViews divides views into signals that each fit into a datagram; the first one also carries the counts of the services.
func (s *Signals) splitViews(list []*jywire.ServerView, services []*jywire.ServiceView) []*jywire.Signal {
	var out []*jywire.Signal
	for part := range slices.Chunk(list, maxServersPerSignal) {
		m := s.newSignal()
		m.Views = part
		out = append(out, m)
	}
	if len(services) == 0 {
		return out
	}
	if len(out) == 0 {
		out = append(out, s.newSignal())
	}
	out[0].Services = services
	return out
}
