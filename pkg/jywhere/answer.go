package jywhere

import (
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// Decision is what would become of the request now.
type Decision string

// The decisions.
const (
	Served  Decision = "Served"  // a server with a free slot gets it
	Waits   Decision = "Waits"   // the server that gets it has no free slot, as far as known
	Refused Decision = "Refused" // no server gets it
)

// Answer explains where a request would be sent.
type Answer struct {
	Decision Decision
	// Reason is why the request would be refused.
	Reason jyoutcome.Reason `json:",omitempty"`
	// Choices lists where the request may go. If a random draw decides which data centre it may leave for, there are several.
	Choices []Choice `json:",omitempty"`
	// Servers lists the considered servers, those that are preferred first and those that are left out last.
	Servers []Server `json:",omitempty"`
}

// Choice is the server that gets the request with a certain chance.
type Choice struct {
	Chance     float64 // from 0 to 1
	Server     jynote.ServerName
	DataCentre jynote.DataCentreName
	// Because says why this data centre.
	Because string
}

// Server is one server in the choice of requests that are outside the shares for other data centres.
type Server struct {
	Server     jynote.ServerName
	DataCentre jynote.DataCentreName
	FailChance float64 // from 0 to 1
	Load       float64 // requests of all instances there, as far as known
	Slots      int
	// ExpectedWaitMilliseconds is the expected wait for a slot.
	ExpectedWaitMilliseconds int64
	// Distance is the cost of the data centre and Loss the share of the request's value that is expected to be lost, which includes it.
	Distance float64
	Loss     float64
	// IsDueTrial says that the server is tried before all others, since it got no request for too long.
	IsDueTrial bool      `json:",omitempty"`
	Exclusion  Exclusion `json:",omitempty"`
}
