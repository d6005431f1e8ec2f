package jysignal

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jyquota"
)

// maxLimitsPerSignal bounds the limits in one datagram, so that it is not fragmented.
const maxLimitsPerSignal = 35

// sendLimits sends limits to the local peers and to the other data centres.
func (s *Signals) sendLimits(list []*jywire.ServerLimit) {
	for _, m := range s.splitLimits(list) {
		s.sendTo(m, s.peers.localPeers())
		m.Forward = true
		for _, to := range s.peers.relays(failureRelays) {
			s.sendTo(m, to)
		}
	}
}

// splitLimits divides limits into signals that each fit into a datagram.
func (s *Signals) splitLimits(list []*jywire.ServerLimit) []*jywire.Signal {
	var out []*jywire.Signal
	for part := range slices.Chunk(list, maxLimitsPerSignal) {
		m := s.newSignal()
		m.Limits = part
		out = append(out, m)
	}
	return out
}

// knownLimits returns the limits of the servers that include accepts, and which of them ended recently.
func (s *Signals) knownLimits(now time.Time, include func(*jybackend.Server) bool) []*jywire.ServerLimit {
	var out []*jywire.ServerLimit
	for _, v := range s.config.Directory.Snapshot().Services() {
		for _, server := range v.Servers {
			if server.HadLimitRecently(now) && include(server) {
				out = append(out, toServerLimit(now, server))
			}
		}
	}
	return out
}

func toServerLimit(now time.Time, server *jybackend.Server) *jywire.ServerLimit {
	statement := server.LimitStatement()
	return &jywire.ServerLimit{
		Server: server.Hash(), Limited: statement.IsLimited, PerSecond: float64(statement.Limit),
		AgeMicroseconds: max(0, now.Sub(statement.At).Microseconds()), Version: statement.Version,
	}
}

// applyLimits applies the limits in a signal, and answers its sender if some are outdated: it may have been cut off. A limit that is
// no number of 0 or more is ignored.
func (s *Signals) applyLimits(now time.Time, snapshot *jybackend.Snapshot, m *jywire.Signal, from netip.AddrPort) {
	var corrections []*jywire.ServerLimit
	for _, l := range m.GetLimits() {
		rate := l.GetPerSecond()
		if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
			continue
		}
		outdated := snapshot.ApplyPeerLimit(l.GetServer(), jyquota.Statement{
			IsLimited: l.GetLimited(), Limit: jyquota.Rate(rate), At: now.Add(-time.Duration(l.GetAgeMicroseconds()) * time.Microsecond),
			Version: l.GetVersion(),
		}, m.GetSender())
		if outdated != nil {
			corrections = append(corrections, toServerLimit(now, outdated))
		}
	}
	for _, correction := range s.splitLimits(corrections) {
		s.sendTo(correction, []netip.AddrPort{from})
	}
}
