package jyplatform

import "github.com/jackdawyard/jackdawyard/pkg/jynote"

// Head holds the number of the newest published release note, and of the newest base note up to it.
type Head struct {
	Number jynote.Number
	Base   jynote.Number
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states of an instance in the list.
const (
	Live    InstanceState = "Live"
	Leaving InstanceState = "Leaving"
)

// Instance is one entry of the platform's list of instances, which lags behind the actual state.
type Instance struct {
	Name        string
	PeerAddress string
	DataCentre  string
	Region      string
	State       InstanceState
}

// InstanceList is the platform's list of instances.
type InstanceList struct {
	Instances []Instance
}
