package jyexperiment

import "time"

// WaitingPolicy names a policy that decides what happens to requests while a service can't run all of them.
type WaitingPolicy string

// The waiting policies.
const (
	// WaitingFirstCome sends each request to the least busy server and its queue, in order of arrival.
	WaitingFirstCome WaitingPolicy = "first come"
	// WaitingByPriority does the same, but lower priorities join only shorter queues.
	WaitingByPriority WaitingPolicy = "priority only"
	// WaitingOneSecond sends by expected loss, and tells all refused callers to come back after a second.
	WaitingOneSecond WaitingPolicy = "one second"
	// WaitingReturns tells refused callers to come back when that helps.
	WaitingReturns WaitingPolicy = "returns"
	// WaitingUnwilling also tells unwilling servers from full ones, and rations retries.
	WaitingUnwilling WaitingPolicy = "returns, unwilling"
	// WaitingDepth also limits the queues that a request may join.
	WaitingDepth WaitingPolicy = "and depth"
	// WaitingShares also lets accounts that are over their share join only shorter queues.
	WaitingShares WaitingPolicy = "and shares"
	// WaitingQueue also keeps requests waiting at the instance.
	WaitingQueue WaitingPolicy = "and queue"
	// WaitingTruth knows the state of all servers, and keeps one queue for all instances.
	WaitingTruth WaitingPolicy = "truth known"
)

// WaitingPolicies lists all waiting policies.
var WaitingPolicies = []WaitingPolicy{
	WaitingFirstCome, WaitingByPriority, WaitingOneSecond, WaitingReturns, WaitingUnwilling, WaitingDepth, WaitingShares, WaitingQueue, WaitingTruth,
}

// Period is a part of a run, in virtual time.
type Period struct {
	From, Until time.Duration
}

func (p Period) contains(t time.Duration) bool { return t >= p.From && t < p.Until }

// WaitingCase is a waiting policy with the load and the servers of one service.
type WaitingCase struct {
	Policy                      WaitingPolicy
	Instances                   int
	Centres                     int // number of data centres, over which instances, servers and callers are spread evenly
	Servers, Slots              int
	QueueLength                 int     // maximum number of requests that wait at a server, which sheds further ones
	Rate                        float64 // requests per second
	MeanServiceTime             time.Duration
	Objective, Deadline         time.Duration
	Priorities                  int // number of priorities, with equal shares of the requests
	RetryShare, RetrySlack      float64
	RunDuration                 time.Duration
	Unwilling                   Period
	UnwillingChance             float64 // that a server sheds a request in that period, whatever it holds
	Surge                       Period
	SurgeFactor                 float64      // factor on the requests of those that surge
	SurgeOf                     WaitingGroup // whose requests surge
	WaveAmplitude               float64      // share of the rate, with phases that differ between the data centres
	WavePeriod                  time.Duration
	Failing                     Period // one server in three fails its requests, by turns
	Restart                     Period // all instances are down; their callers come back together at the end
	ReportDelay, ViewInterval   time.Duration
	CallerDelay, RefusalLatency time.Duration
}

// WaitingGroup is a group of callers.
type WaitingGroup string

// The groups of callers.
const (
	EveryCaller WaitingGroup = "all"
	OnePriority WaitingGroup = "priority 1"
	OneAccount  WaitingGroup = "account"
	OneCentre   WaitingGroup = "data centre"
)

// WaitingResult holds shares of all requests.
type WaitingResult struct {
	InTime, Late, Lost float64 // answered within the objective or later; not answered before the deadline
	// TroubleLost is the share lost among the requests that arrived during the trouble of the case.
	TroubleLost float64
	// InTimeByPriority is the share answered within the objective, by priority.
	InTimeByPriority []float64
	// OthersLost is the same share among the requests of all accounts but the largest.
	OthersLost        float64
	RetriesPerRequest float64
	// MaxHeld is the longest time from the arrival of a request at an instance to its refusal.
	MaxHeld time.Duration
}

// trouble returns the period in which the case makes the service fail or lack capacity.
func (c WaitingCase) trouble() Period {
	for _, p := range []Period{c.Unwilling, c.Surge, c.Failing, c.Restart} {
		if p.Until > 0 {
			return p
		}
	}
	return Period{From: 0, Until: c.RunDuration}
}

// WaitingLoad is a case without a policy, with its name in the table.
type WaitingLoad struct {
	Name string
	WaitingCase
}

// WaitingLoads returns the loads of the experiment.
func WaitingLoads() []WaitingLoad {
	base := WaitingCase{
		Instances: 100, Centres: 3, Servers: 119, Slots: 2, QueueLength: 8, Rate: 413, MeanServiceTime: 140 * time.Millisecond,
		Objective: 600 * time.Millisecond, Deadline: 1500 * time.Millisecond, Priorities: 3, RetryShare: 0.2, RetrySlack: 174,
		RunDuration: 18 * time.Second, ReportDelay: 12 * time.Millisecond, ViewInterval: 150 * time.Millisecond,
		CallerDelay: 3 * time.Millisecond, RefusalLatency: time.Millisecond, WaveAmplitude: 0.55, WavePeriod: 6 * time.Second,
	}
	unwilling := base
	unwilling.Unwilling, unwilling.UnwillingChance = Period{From: 5 * time.Second, Until: 13500 * time.Millisecond}, 0.55
	// The loads with a lack of capacity have fewer servers, so that a run takes less time.
	tight := base
	tight.Instances, tight.Servers, tight.WaveAmplitude, tight.Deadline = 40, 30, 0, 2500*time.Millisecond
	capacity := float64(tight.Servers*tight.Slots) / tight.MeanServiceTime.Seconds()
	tight.RetrySlack = 70
	tight.Rate = 0.7 * capacity
	surge := func(of WaitingGroup, total, share float64) WaitingCase {
		c := tight
		c.Surge, c.SurgeOf = Period{From: 5 * time.Second, Until: 10 * time.Second}, of
		// The group's requests grow so much that the whole load is total times the capacity.
		c.SurgeFactor = 1 + (total/0.7-1)/share
		return c
	}
	waves := tight
	waves.WaveAmplitude, waves.WavePeriod, waves.Rate = 0.55, 6*time.Second, 0.95*capacity
	failing := tight
	failing.Failing, failing.Rate = Period{From: 5 * time.Second, Until: 14 * time.Second}, 0.6*capacity
	restart := tight
	restart.Restart = Period{From: 6 * time.Second, Until: 6800 * time.Millisecond}
	return []WaitingLoad{
		{"all servers unwilling", unwilling},
		{"1.4 times the slots", surge(EveryCaller, 1.4, 1)},
		{"2.6 times the slots", surge(EveryCaller, 2.6, 1)},
		{"1.4 times, one kind", surge(OnePriority, 1.4, 1.0/3)},
		{"2.6 times, one account", surge(OneAccount, 2.6, accountShare(0))},
		{"1.4 times, one data centre", surge(OneCentre, 1.4, 1.0/3)},
		{"waves", waves},
		{"a third failing by turns", failing},
		{"all restarted", restart},
	}
}
