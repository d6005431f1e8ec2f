package jyexperiment

import "time"

// DistancePolicy names a policy that decides which requests are sent to other data centres.
type DistancePolicy string

// The distance policies.
const (
	// DistanceFixedCost minimizes the expected loss, where any other data centre costs a fixed share of the request's value.
	DistanceFixedCost DistancePolicy = "fixed cost"
	// DistanceStaticWeights sends each data centre a part of all requests in proportion to its slots.
	DistanceStaticWeights DistancePolicy = "static weights"
	// DistanceOverflow uses another data centre only while no local server has a free slot.
	DistanceOverflow DistancePolicy = "local, then overflow"
	// DistanceByShare minimizes the expected loss, where a share from pkg/jydistance may leave the data centre at its real cost.
	DistanceByShare DistancePolicy = "share"
	// DistanceAllKnown minimizes the expected loss at the real cost, with the true load of all servers at each moment.
	DistanceAllKnown DistancePolicy = "all known"
)

// DistancePolicies lists all distance policies.
var DistancePolicies = []DistancePolicy{
	DistanceFixedCost, DistanceStaticWeights, DistanceOverflow, DistanceByShare, DistanceAllKnown,
}

// DistanceCentre is a data centre of a DistanceCase.
type DistanceCentre struct {
	Servers int
	// Utilization is the mean demand of its callers as a share of its capacity.
	Utilization float64
	// Phase shifts the wave of its demand, as a share of the period.
	Phase float64
}

// DistanceCase is a distance policy with the load and the servers of one service in several data centres.
type DistanceCase struct {
	Policy          DistancePolicy
	Centres         []DistanceCentre
	Slots           int // of each server
	QueueLength     int // maximum number of requests that wait at a server, which sheds further ones
	MeanServiceTime time.Duration
	Objective       time.Duration
	RunDuration     time.Duration // virtual time in which requests arrive
	// WaveAmplitude is the share of the mean demand by which it rises and falls in each WavePeriod.
	WaveAmplitude float64
	WavePeriod    time.Duration
	RoundTrip     time.Duration // between two data centres
	RequestBytes  float64       // of a request and its answer
	TransferPrice float64       // request values per gigabyte
	// Between FaultFrom and FaultUntil, only a share WorkingShare of the servers of the first data centre works.
	FaultFrom, FaultUntil time.Duration
	WorkingShare          float64
	// Between SilentFrom and SilentUntil, data centres get no views of each other.
	SilentFrom, SilentUntil time.Duration
}

// DistanceResult holds the outcomes of a run.
type DistanceResult struct {
	InObjective    float64       // share of the requests that were answered within the objective
	P99            time.Duration // of the latency of answered requests
	Elsewhere      float64       // share of the requests that were sent to another data centre, retries included
	BytesWithRoom  float64       // part of Bytes that was sent while the own data centre's load was within its usable slots
	Bytes          float64       // sent to other data centres, answers included
	DirectionTurns int           // most changes between rise and fall of one data centre's share to send elsewhere
}
