package jyplatform

import "github.com/jackdawyard/jackdawyard/pkg/jynote"

// Head names the newest published release note, and the newest base note at or below it.
type Head struct {
	Number jynote.Number
	Base   jynote.Number
}

// InstanceState is what the platform's list says of an instance.
type InstanceState string

// The states of an instance in the list.
const (
	Live    InstanceState = "Live"
	Leaving InstanceState = "Leaving"
)

// Instance is one entry of the platform's list of instances, which lags.
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
