package jycapacity

import "math"

// Role is one thing that an instance does for the fleet, with what it costs at a size.
type Role struct {
	Name      string
	Mechanism string
	State     string
	Formula   string
	Cost      func(z SystemSize, s Fits) Cost
	// IsConcentrated marks a role that falls to few instances; its cost is that of the instance with the most of it.
	IsConcentrated bool
}

// Cost is what a role takes of one instance.
type Cost struct {
	MessagesPerSecond float64 // a second, sent and received
	BytesPerSecond    float64 // a second, sent and received, with framing
	CoreShare         float64 // share of a core
	MemoryBytes       float64 // bytes
}

func (c Cost) plus(d Cost) Cost {
	return Cost{c.MessagesPerSecond + d.MessagesPerSecond, c.BytesPerSecond + d.BytesPerSecond, c.CoreShare + d.CoreShare, c.MemoryBytes + d.MemoryBytes}
}

const nano = 1e-9

// Roles returns all roles of an instance.
func Roles() []Role {
	return []Role{
		{
			Name: "membership", Mechanism: "SWIM heartbeats, one a second, with news on board (pkg/jymember)", State: "one entry for each node",
			Formula: "2 exchanges/s x (heartbeat + new connection) + events/day x news",
			Cost: func(z SystemSize, s Fits) Cost {
				events := 3 * (z.ReplacementsPerDay + z.FailuresPerDay) / secondsPerDay
				exchange := s["heartbeat B-wire"].At(z.Instances) + s["new-connection B-wire"].At(1)
				return Cost{
					MessagesPerSecond: 4, BytesPerSecond: 2*exchange + events*2*newsSent*memberBytes,
					CoreShare:   (s["heartbeat ns/op"].At(z.Instances) + s["new-connection ns/op"].At(1)) * nano,
					MemoryBytes: s["heartbeat B-heap"].At(z.Instances),
				}
			},
		},
		{
			Name: "joining", Mechanism: "three first heartbeats bring everything, the state comes from one peer (internal/jyrelease)", State: "none",
			Formula: "replacements/day x (3 x everything + state) x 2 / nodes",
			Cost: func(z SystemSize, s Fits) Cost {
				each := 3*s["everything B-wire"].At(z.Instances) + s["release-state B-wire"].At(z.BackendServers)
				rate := z.ReplacementsPerDay / secondsPerDay / z.Instances
				return Cost{MessagesPerSecond: rate * 8, BytesPerSecond: 2 * rate * each, CoreShare: rate * (3*s["everything ns/op"].At(z.Instances) + s["release-state ns/op"].At(z.BackendServers)) * nano}
			},
		},
		{
			Name: "release notes in force", Mechanism: "immutable snapshot, rebuilt for each note (internal/jybackend)", State: "services, targets, routes",
			Formula: "changes/day x apply",
			Cost: func(z SystemSize, s Fits) Cost {
				return Cost{CoreShare: z.ChangesPerDay / secondsPerDay * s["release-apply ns/op"].At(z.BackendServers) * nano, MemoryBytes: s["release-apply B-heap"].At(z.BackendServers)}
			},
		},
		{
			Name: "passing notes on", Mechanism: "each tells 10 random peers; who lacks a note fetches it as published", State: "64 notes, 256 kB at most",
			Formula: "changes/day x (20 announcements + 2 fetches)",
			Cost: func(z SystemSize, s Fits) Cost {
				rate := z.ChangesPerDay / secondsPerDay
				return Cost{
					MessagesPerSecond: rate * (2*2*fanOut + 4), BytesPerSecond: rate * (2*fanOut*s["announce B-wire"].At(1) + 2*(s["announce B-wire"].At(1)+noteBytes)),
					CoreShare: rate * 2 * (fanOut + 1) * s["announce ns/op"].At(1) * nano, MemoryBytes: 256 << 10,
				}
			},
		},
		{
			Name: "watching configuration", Mechanism: "2 instances of each data centre hold a long poll", State: "none", IsConcentrated: true,
			Formula: "(1/1 s + 2 x changes/day + 1/300 s) x read + notes + list of nodes",
			Cost: func(z SystemSize, s Fits) Cost {
				polls, changes := 1.0/watchSeconds, 2*z.ChangesPerDay/secondsPerDay
				lists := 1.0 / listSeconds
				reads := polls + changes + lists
				each := s["watch B-wire"].At(1)
				return Cost{MessagesPerSecond: 2 * reads, BytesPerSecond: reads*each + changes*noteBytes + lists*z.Instances*listedBytes, CoreShare: reads * s["announce ns/op"].At(1) * nano}
			},
		},
		{
			Name: "reporting evidence", Mechanism: "2 quiet reports a second in turns, failures at once (internal/jyevidence)", State: "three counts for each target",
			Formula: "(2/s + requests/s/nodes x failures) x report of 3 targets + one look at all counts",
			Cost: func(z SystemSize, s Fits) Cost {
				rate := quietMessages + z.RequestsPerSecond/z.Instances*failureShare
				return Cost{
					MessagesPerSecond: 2 * rate, BytesPerSecond: rate * s["report B-wire"].At(subset),
					CoreShare:   rate*s["report ns/op"].At(subset)*nano/2 + (s["totals ns/op"].At(z.Services)+4*s["ranked ns/op"].At(z.Instances))*nano,
					MemoryBytes: z.BackendServers * 120,
				}
			},
		},
		{
			Name: "pooling evidence", Mechanism: "one instance a service by rendezvous hash, sequential tests (pkg/jydetector)", State: "tests and last counts of each reporter", IsConcentrated: true,
			Formula: "4 services x nodes x quiet/services x report of 3 targets",
			Cost: func(z SystemSize, s Fits) Cost {
				rate := mostPooled * (z.Instances*quietMessages/z.Services + z.RequestsPerSecond/z.Services*failureShare)
				return Cost{
					MessagesPerSecond: 2 * rate, BytesPerSecond: rate * s["report B-wire"].At(subset),
					CoreShare:   rate * (s["report ns/op"].At(subset)/2 + s["pool ns/op"].At(z.Instances)) * nano,
					MemoryBytes: mostPooled * s["pool B-heap"].At(z.Instances),
				}
			},
		},
		{
			Name: "request ids", Mechanism: "ledger of the issuing process (pkg/jydedup)", State: "one record for each id used in 10 minutes",
			Formula: "requests/s/nodes x 0.3 x 600 s records",
			Cost: func(z SystemSize, s Fits) Cost {
				rate := z.RequestsPerSecond / z.Instances * writeShare
				return Cost{CoreShare: rate * s["ledger ns/op"].At(rate*idSeconds) * nano, MemoryBytes: s["ledger B-heap"].At(rate * idSeconds)}
			},
		},
		{
			Name: "handing ids over", Mechanism: "in parts of 100 records to one successor at shutdown (internal/jyrelay)", State: "none",
			Formula: "replacements/day/nodes x records x 2",
			Cost: func(z SystemSize, s Fits) Cost {
				records := z.RequestsPerSecond / z.Instances * writeShare * idSeconds
				rate := z.ReplacementsPerDay / secondsPerDay / z.Instances
				return Cost{
					MessagesPerSecond: rate * records / 100 * 4, BytesPerSecond: 2 * rate * s["hand-over B-wire"].At(records),
					CoreShare: 2 * rate * s["hand-over ns/op"].At(records) * nano,
				}
			},
		},
		{
			Name: "sharing slots", Mechanism: "two choices by own requests in flight, the server's own queue (pkg/jyslot)", State: "one count for each target",
			Formula: "none: no word between instances", Cost: func(z SystemSize, _ Fits) Cost { return Cost{MemoryBytes: z.BackendServers * 8} },
		},
		{
			Name: "probing servers", Mechanism: "none: real requests are judged, and a trickle brings servers back", State: "none",
			Formula: "none", Cost: func(SystemSize, Fits) Cost { return Cost{} },
		},
		{
			Name: "limits of callers", Mechanism: "token bucket at each instance, no messages (pkg/jylimit)", State: "one entry for each account",
			Formula: "requests/s/nodes x admission",
			Cost: func(z SystemSize, s Fits) Cost {
				return Cost{CoreShare: z.RequestsPerSecond / z.Instances * s["limiter ns/op"].At(z.ClientAccounts) * nano, MemoryBytes: s["limiter B-heap"].At(z.ClientAccounts)}
			},
		},
		{
			Name: "burn and metrics", Mechanism: "minute counts and tally scopes, read on demand", State: "360 counts and 3 histograms for each service",
			Formula: "requests/s/nodes x count",
			Cost: func(z SystemSize, s Fits) Cost {
				return Cost{CoreShare: z.RequestsPerSecond / z.Instances * s["burn ns/op"].At(z.Services) * nano, MemoryBytes: s["burn B-heap"].At(z.Services) + s["metrics B-heap"].At(z.Services)}
			},
		},
		{
			Name: "blocked requests", Mechanism: "told to all instances, 64 at a time (internal/jyrelay)", State: "4,096 fingerprints under suspicion, 8,192 answered",
			Formula: "failures/day x 4 requests x nodes announcements",
			Cost: func(z SystemSize, s Fits) Cost {
				rate := z.FailuresPerDay * 4 / secondsPerDay
				return Cost{MessagesPerSecond: 2 * 2 * rate, BytesPerSecond: 2 * rate * s["announce B-wire"].At(1), CoreShare: rate * s["announce ns/op"].At(1) * nano, MemoryBytes: 12288 * 100}
			},
		},
	}
}

// SystemBound is a bound of the whole system.
type SystemBound struct {
	Name    string
	Value   float64
	Limit   float64
	Unit    string
	Formula string
}

// IsWithinLimit reports whether the value is within its bound.
func (c SystemBound) IsWithinLimit() bool { return c.Value <= c.Limit }

// SystemBounds returns the bounds that are not budgets of one instance.
func SystemBounds(z SystemSize, s Fits) []SystemBound {
	mean := z.Instances * subset / (z.BackendServers / z.Services)
	most := mean + 4*math.Sqrt(mean)
	return []SystemBound{
		{"connections at a target", most * connectionsEach, z.MaxConnectionsPerServer, "", "(mean + 4 deviations of instances at a target) x 2"},
		{"reads of the configuration service", z.DataCentres*watchers*(1.0/watchSeconds+2*z.ChangesPerDay/secondsPerDay+1.0/listSeconds) + z.ReplacementsPerDay/secondsPerDay, budgetReads, "/s", "watchers x (polls + changes + list) + starts"},
		{"reads while all nodes start in its outage", z.Instances / 7.5, budgetReads, "/s", "nodes / (5 s x 1.5) once the delays have grown"},
		{"whole state as a base note", s["release-state B-file"].At(z.BackendServers), budgetValue, "bytes", "fit of the encoded size"},
		{"change in force at the last node", 2*hopSeconds + s["spread s-virtual"].At(z.Instances), budgetChange, "s", "read + slowest of 20 spreads in virtual time"},
		{"loss of a data centre known everywhere", s["centre-lost s-virtual"].At(z.Instances), 60, "s", "virtual time of pkg/jymember; a bound of our own"},
		{"regions known to each other again", s["regions-apart s-virtual"].At(z.Instances), 120, "s", "the same"},
	}
}
