package jywhere

import (
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

// Facts is what an instance knows about a request and the servers that could run it.
type Facts struct {
	// Refusal is why the request would be refused before a server is chosen; empty if it would not.
	Refusal jyoutcome.Reason
	// NoServer is why it would be refused if no server can be chosen.
	NoServer jyoutcome.Reason
	Request  jyplace.Request
	Servers  []ServerFacts
	// DataCentre is that of the instance.
	DataCentre jynote.DataCentreName
	// Distances holds the distance to each data centre with servers.
	Distances []Distance
}

// ServerFacts is what an instance knows about one server.
type ServerFacts struct {
	Name       jynote.ServerName
	DataCentre jynote.DataCentreName
	// Candidate is the server as it enters the choice, without its distance cost.
	Candidate jyplace.Candidate
	// Exclusion is why the server is left out of the choice; None if it is not.
	Exclusion Exclusion
}

// Distance is the cost of a data centre as a share of a request's value.
type Distance struct {
	DataCentre jynote.DataCentreName
	// Share is the part of the requests, from 0 to 1, that may be sent there at CostInShare. The others carry Cost.
	Share       float64
	Cost        float64
	CostInShare float64
}

// Exclusion is why a server is left out of the choice.
type Exclusion string

// The reasons for an exclusion.
const (
	None     Exclusion = ""
	Draining Exclusion = "Draining" // it stated that it is draining
	Paused   Exclusion = "Paused"   // it asked for no requests for a while
	AtLimit  Exclusion = "AtLimit"  // this instance's share of the limit that it states is used up
	FullHere Exclusion = "FullHere" // this instance has as many requests there as it may
	// LeftToOthers means that the service stays full, and the room in the server's queue is left to requests of higher priority, or the
	// server is likely gray.
	LeftToOthers Exclusion = "LeftToOthers"
	Unreached    Exclusion = "Unreached" // not left out, but assumed to fail: connections to it were lost
)
