package jyquota

import (
	"math"
	"slices"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyrendezvous"
)

// InstanceName identifies an instance.
type InstanceName string

// DataCentreName identifies a data centre.
type DataCentreName string

// Instance is an instance of the fleet as another one knows it.
type Instance struct {
	Name       InstanceName
	DataCentre DataCentreName
	// DeadFor is how long the instance has been considered dead; 0 means that it works.
	DeadFor time.Duration
}

// Server is a backend server that states a limit.
type Server struct {
	Name       string
	DataCentre DataCentreName
}

const (
	// isolationTime is how long most other instances must have been dead for an instance to stop using its shares, since it may be
	// cut off itself.
	isolationTime = 30 * time.Second
	// deadShareTime is how long a dead instance keeps its shares. It exceeds isolationTime by far, since the two parts of a divided
	// fleet don't notice the partition at the same time.
	deadShareTime = time.Minute
	// forgetTime is how long an instance must have been dead to be ignored by those that work with no majority.
	forgetTime = 10 * time.Minute
)

// Sharers returns the instances that hold shares of limits, or none if this instance must not use its own. list holds all instances
// that have not left, this one included. While the fleet is divided, its parts don't exceed a limit together: at first all instances
// keep their shares, and a majority takes over the others' shares only after the others have given them up.
func Sharers(list []Instance) []Instance {
	remaining := withoutDead(list, forgetTime)
	if isMajorityWorking(remaining) {
		return withoutDead(remaining, deadShareTime)
	}
	if slices.ContainsFunc(remaining, func(in Instance) bool { return in.DeadFor > isolationTime }) {
		return nil
	}
	return remaining
}

func isMajorityWorking(list []Instance) bool {
	return 2*len(withoutDead(list, 0)) > len(list)
}

// withoutDead returns the instances that have been dead for at most that long.
func withoutDead(list []Instance, atMost time.Duration) []Instance {
	return slices.DeleteFunc(slices.Clone(list), func(in Instance) bool { return in.DeadFor > atMost })
}

// Share is the part of a limit that one instance may use.
type Share struct {
	// PerSecond is 0 if the instance must send nothing to the server.
	PerSecond Rate
	// Phase is the part of the first request, from 0 to 1, that the instance may have saved when the limit is stated. It differs
	// between the holders, so that they don't send their requests at the same time.
	Phase float64
}

// ShareOf returns the share of an instance. A limit is divided equally among few holders, each with about one request per second,
// since shares of many instances would add up to a burst. The holders are instances of the server's data centre if there are any.
func ShareOf(self InstanceName, server Server, limit Rate, sharers []Instance) Share {
	names := namesNear(server.DataCentre, sharers)
	count := int(math.Min(float64(len(names)), math.Ceil(float64(limit))+1))
	holders := jyrendezvous.Top("limit of "+server.Name, names, count)
	return equalShare(self, limit, holders)
}

// EqualShareOf returns the share of an instance if all instances are holders. It applies to fleets whose instances don't tell each
// other about limits: each must learn itself when a limit ends.
func EqualShareOf(self InstanceName, limit Rate, sharers []Instance) Share {
	var names []InstanceName
	for _, in := range sharers {
		names = append(names, in.Name)
	}
	return equalShare(self, limit, names)
}

func equalShare(self InstanceName, limit Rate, holders []InstanceName) Share {
	i := slices.Index(holders, self)
	if i < 0 {
		return Share{}
	}
	n := len(holders)
	return Share{PerSecond: limit.Applied() / Rate(n), Phase: float64(i) / float64(n)}
}

// namesNear returns the instances of the data centre or, if it has none, all instances.
func namesNear(centre DataCentreName, list []Instance) []InstanceName {
	var all, near []InstanceName
	for _, in := range list {
		all = append(all, in.Name)
		if in.DataCentre == centre {
			near = append(near, in.Name)
		}
	}
	if len(near) == 0 {
		return all
	}
	return near
}
