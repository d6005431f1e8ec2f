package jynode

import (
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jyledger"
	"github.com/jackdawyard/jackdawyard/internal/jyrelease"
	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// Status is what an operator sees of one instance; it travels as JSON.
type Status struct {
	Instance   string
	DataCentre string
	Ready      bool
	Draining   bool
	InProgress int64
	Release    jyrelease.Status
	RequestIDs jyledger.Stats
	Members    []MemberStatus
	Services   []ServiceStatus
}

// MemberStatus is what an instance holds of another one.
type MemberStatus struct {
	Name       string
	DataCentre string
	Status     string
}

// ServiceStatus is what an instance holds of a service.
type ServiceStatus struct {
	Service     jynote.ServiceName
	UsableSlots int
	AllSlots    int
	Floor       int
	// Readmitted is the number of servers in use in spite of their standing, to hold the floor.
	Readmitted int
	Servers    []ServerStatus `json:",omitempty"`
	// Beliefs holds the servers that are chosen by expected loss.
	Beliefs []BeliefStatus `json:",omitempty"`
	// RetriesLeft is what the retry budget allows this instance at once.
	RetriesLeft float64
}

// BeliefStatus is what an instance believes of a backend server at this moment.
type BeliefStatus struct {
	Server        jynote.ServerName
	GrayChance    float64
	Load          int
	UnusedSeconds float64
	Doubted       bool
}

// ServerStatus is a backend server that is not in full use.
type ServerStatus struct {
	Server jynote.ServerName
	Phase  jydetector.Phase
	// By is Fleet or Local.
	By               string
	Cause            jydetector.Cause
	Score            float64
	RemainingSeconds float64
}

// Status returns what an operator sees of this instance.
func (n *Node) Status() Status {
	out := Status{
		Instance: n.settings.Name, DataCentre: n.settings.DataCentre, Ready: n.isReady(), Draining: n.isDraining(),
		InProgress: n.proxy.InProgress(), Release: n.source.Status(), RequestIDs: n.requestIDs(),
	}
	for _, m := range n.fleet.Members() {
		out.Members = append(out.Members, MemberStatus{Name: string(m.Name), DataCentre: m.DataCentre, Status: m.Status.String()})
	}
	for _, v := range n.directory.Snapshot().Services() {
		c := v.Capacity()
		s := ServiceStatus{Service: v.Info.Name, UsableSlots: c.UsableSlots, AllSlots: c.AllSlots, Floor: v.Info.Floor, Readmitted: c.Readmitted}
		fleet, local := v.Verdicts()
		s.Servers = append(s.Servers, serverStatus(fleet, "Fleet")...)
		s.Servers = append(s.Servers, serverStatus(local, "Local")...)
		now := time.Now()
		s.RetriesLeft = v.RetriesLeft(now)
		s.Beliefs = beliefStatus(v.Estimates(now))
		out.Services = append(out.Services, s)
	}
	return out
}

func beliefStatus(list []jybackend.ServerEstimate) []BeliefStatus {
	out := make([]BeliefStatus, 0, len(list))
	for _, o := range list {
		out = append(out, BeliefStatus{
			Server: o.Server, GrayChance: jybackend.RoundToThousandths(o.GrayChance), Load: o.Load, UnusedSeconds: o.IdleTime.Seconds(), Doubted: o.IsLikelyGray,
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

// requestIDs counts the request ids; there are none without a ledger.
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

func (n *Node) isReady() bool { return n.source.IsReady() && !n.isDraining() }
