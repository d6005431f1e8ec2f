package jynode

import (
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jyledger"
	"github.com/jackdawyard/jackdawyard/internal/jyrelease"
	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyquota"
)

// Status is the state of one instance, served to operators as JSON.
type Status struct {
	Instance   string
	DataCentre string
	Ready      bool  // a configuration is applied, and the instance neither waits for its first lease nor is draining
	Draining   bool  // the instance is shutting down
	InProgress int64 // requests; see jyproxy.Proxy.InProgress
	Release    jyrelease.Status
	RequestIDs jyledger.Stats // zero with the platform's store
	// LeaseAgeSeconds is the time since the applied keys were last proven to be current, and LeaseRemainingSeconds for how long requests
	// with keys are served without a further proof. Both are nil without a revocation bound, the age also before the first proof.
	LeaseAgeSeconds       *float64       `json:",omitempty"`
	LeaseRemainingSeconds *float64       `json:",omitempty"`
	Members               []MemberStatus // all other known instances, sorted by name
	Services              []ServiceStatus
	// Accounts is absent if no account has a quota.
	Accounts *AccountsStatus `json:",omitempty"`
}

// MemberStatus is the state of another instance as this one sees it.
type MemberStatus struct {
	Name       string
	DataCentre string
	Status     string // Alive, Suspect, Dead or Left
}

// ServiceStatus is the state of a service as this instance sees it.
type ServiceStatus struct {
	Service     jynote.ServiceName
	UsableSlots int // slots of the servers that get full load
	AllSlots    int // slots of all servers
	Floor       int // slots that ejections must leave in use
	// Readmitted is the number of servers that get full load despite their health state, to keep the floor.
	Readmitted int
	Servers    []ServerStatus `json:",omitempty"`
	// UnreachedSeconds is how long no connection to any server could be opened from this instance; 0 if one can.
	UnreachedSeconds float64 `json:",omitempty"`
	// Limits lists the servers that state a limit.
	Limits []LimitStatus `json:",omitempty"`
	// Beliefs lists the estimates of all servers. It is empty unless servers are chosen by expected loss.
	Beliefs []BeliefStatus `json:",omitempty"`
	// Elsewhere lists the shares of requests that may be sent to other data centres. It is empty where traffic between data centres
	// has no price.
	Elsewhere []ElsewhereStatus `json:",omitempty"`
	// RetriesLeft is the number of retries, which may be fractional, that the budget allows this instance now.
	RetriesLeft float64
}

// LimitStatus is the limit of a backend server, in requests per second.
type LimitStatus struct {
	Server    jynote.ServerName
	PerSecond jyquota.Rate // for all instances together
	Share     jyquota.Rate // for this instance
}

// ElsewhereStatus is the share of a service's requests that may be sent to another data centre.
type ElsewhereStatus struct {
	DataCentre string
	Share      float64 // of all requests, from 0 to 1
	Slots      float64 // of the fit servers there
	Load       float64 // requests that those servers hold
	AgeSeconds float64 // of the last statement about Slots and Load
}

// BeliefStatus is this instance's current estimate of a backend server.
type BeliefStatus struct {
	Server        jynote.ServerName
	GrayChance    float64 // the chance, from 0 to 1, that the server is gray
	Load          int     // requests of all instances at the server, as far as known
	UnusedSeconds float64 // since the last known request of any instance; 0 if there was none
	Doubted       bool    // likely gray
}

// ServerStatus is the verdict on a backend server that is not Healthy.
type ServerStatus struct {
	Server jynote.ServerName
	Phase  jydetector.Phase
	// By is the origin of the verdict: Fleet or Local.
	By               string
	Cause            jydetector.Cause
	Score            float64 // see jydetector.Verdict
	RemainingSeconds float64 // until the phase ends; 0 if it does not end by itself
}

// Status returns the current state of this instance.
func (n *Node) Status() Status {
	out := Status{
		Instance: n.settings.Name, DataCentre: n.settings.DataCentre, Ready: n.isReady(), Draining: n.isDraining(),
		InProgress: n.proxy.InProgress(), Release: n.source.Status(), RequestIDs: n.requestIDs(),
		Accounts: n.quotas.status(),
	}
	if n.keyLease != nil {
		out.LeaseAgeSeconds, out.LeaseRemainingSeconds = n.keyLease.status()
	}
	for _, m := range n.fleet.Members() {
		out.Members = append(out.Members, MemberStatus{Name: string(m.Name), DataCentre: m.DataCentre, Status: m.Status.String()})
	}
	for _, v := range n.directory.Snapshot().Services() {
		c := v.Capacity()
		s := ServiceStatus{Service: v.Info.Name, UsableSlots: c.UsableSlots, AllSlots: c.AllSlots,
			Floor: v.Info.Floor, Readmitted: c.Readmitted}
		fleet, local := v.Verdicts()
		s.Servers = append(s.Servers, serverStatus(fleet, "Fleet")...)
		s.Servers = append(s.Servers, serverStatus(local, "Local")...)
		now := time.Now()
		s.RetriesLeft = v.RetriesLeft(now)
		if lostSince := v.PathLostSince(); !lostSince.IsZero() {
			s.UnreachedSeconds = now.Sub(lostSince).Seconds()
		}
		s.Beliefs = beliefStatus(v.Estimates(now))
		s.Limits = limitStatus(now, v)
		s.Elsewhere = elsewhereStatus(now, v)
		out.Services = append(out.Services, s)
	}
	return out
}

func limitStatus(now time.Time, v *jybackend.Service) []LimitStatus {
	var out []LimitStatus
	for _, s := range v.Servers {
		if limit, isLimited := s.Limit(); isLimited {
			out = append(out, LimitStatus{Server: s.Info.Name, PerSecond: limit, Share: s.LimitShare(now)})
		}
	}
	return out
}

func elsewhereStatus(now time.Time, v *jybackend.Service) []ElsewhereStatus {
	var out []ElsewhereStatus
	for _, c := range v.Shares(now) {
		out = append(out, ElsewhereStatus{
			DataCentre: string(c.Centre), Share: jybackend.RoundToThousandths(c.Share),
			Slots: c.Capacity.Slots, Load: c.Capacity.Load, AgeSeconds: now.Sub(c.StatedAt).Seconds(),
		})
	}
	return out
}

func beliefStatus(list []jybackend.ServerEstimate) []BeliefStatus {
	out := make([]BeliefStatus, 0, len(list))
	for _, o := range list {
		out = append(out, BeliefStatus{
			Server: o.Server, GrayChance: jybackend.RoundToThousandths(o.GrayChance), Load: o.Load,
			UnusedSeconds: o.IdleTime.Seconds(), Doubted: o.IsLikelyGray,
		})
	}
	return out
}

func serverStatus(list []jydetector.Verdict, by string) []ServerStatus {
	out := make([]ServerStatus, 0, len(list))
	for _, v := range list {
		s := ServerStatus{Server: jynote.ServerName(v.Server), Phase: v.Phase, By: by, Cause: v.Cause, Score: v.Score}
		if !v.Until.IsZero() {
			s.RemainingSeconds = max(0, time.Until(v.Until).Seconds())
		}
		out = append(out, s)
	}
	return out
}

// requestIDs returns the counts of request ids, which are 0 without a ledger.
func (n *Node) requestIDs() jyledger.Stats {
	if n.ledger == nil {
		return jyledger.Stats{}
	}
	return n.ledger.Stats()
}

func (n *Node) isDraining() bool {
	select {
	case <-n.draining:
		return true
	default:
		return false
	}
}

func (n *Node) isReady() bool {
	isStarting := n.keyLease != nil && n.keyLease.isStarting()
	return n.source.IsReady() && !n.isDraining() && !isStarting
}
