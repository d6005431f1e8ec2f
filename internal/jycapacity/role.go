package jycapacity

import "math"

// Role is one thing that an instance does for the fleet, with what it costs at a size.
type Role struct {
	Name      string
	Mechanism string
	State     string
	Formula   string
	Cost      func(z Size, s Slopes) Cost
	// IsWorst marks a role that falls to few instances; its cost is that of the instance with the most of it.
	IsWorst bool
}

// Cost is what a role takes of one instance.
type Cost struct {
	Messages float64 // a second, sent and received
	Bytes    float64 // a second, sent and received, with framing
	Core     float64 // share of a core
	Memory   float64 // bytes
}

func (c Cost) plus(d Cost) Cost {
	return Cost{c.Messages + d.Messages, c.Bytes + d.Bytes, c.Core + d.Core, c.Memory + d.Memory}
}

const nano = 1e-9

// Roles returns all roles of an instance.
func Roles() []Role {
	return []Role{
		{
			Name: "membership", Mechanism: "SWIM heartbeats, one a second, with news on board (pkg/jymember)", State: "one entry for each node",
			Formula: "2 exchanges/s x (heartbeat + new connection) + events/day x news",
			Cost: func(z Size, s Slopes) Cost {
				events := 3 * (z.Replacements + z.Failures) / secondsPerDay
				exchange := s["heartbeat B-wire"].At(z.Nodes) + s["new-connection B-wire"].At(1)
				return Cost{
					Messages: 4, Bytes: 2*exchange + events*2*newsSent*memberBytes,
					Core:   (s["heartbeat ns/op"].At(z.Nodes) + s["new-connection ns/op"].At(1)) * nano,
					Memory: s["heartbeat B-heap"].At(z.Nodes),
				}
			},
		},
		{
			Name: "joining", Mechanism: "three first heartbeats bring everything, the state comes from one peer (internal/jyrelease)", State: "none",
			Formula: "replacements/day x (3 x everything + state) x 2 / nodes",
			Cost: func(z Size, s Slopes) Cost {
				each := 3*s["everything B-wire"].At(z.Nodes) + s["release-state B-wire"].At(z.Targets)
				rate := z.Replacements / secondsPerDay / z.Nodes
				return Cost{Messages: rate * 8, Bytes: 2 * rate * each, Core: rate * (3*s["everything ns/op"].At(z.Nodes) + s["release-state ns/op"].At(z.Targets)) * nano}
			},
		},
		{
			Name: "release notes in force", Mechanism: "immutable snapshot, rebuilt for each note (internal/jybackend)", State: "services, targets, routes",
			Formula: "changes/day x apply",
			Cost: func(z Size, s Slopes) Cost {
				return Cost{Core: z.Changes / secondsPerDay * s["release-apply ns/op"].At(z.Targets) * nano, Memory: s["release-apply B-heap"].At(z.Targets)}
			},
		},
		{
			Name: "passing notes on", Mechanism: "each tells 10 random peers; who lacks a note fetches it as published", State: "64 notes, 256 kB at most",
			Formula: "changes/day x (20 announcements + 2 fetches)",
			Cost: func(z Size, s Slopes) Cost {
				rate := z.Changes / secondsPerDay
				return Cost{
					Messages: rate * (2*2*fanOut + 4), Bytes: rate * (2*fanOut*s["announce B-wire"].At(1) + 2*(s["announce B-wire"].At(1)+noteBytes)),
					Core: rate * 2 * (fanOut + 1) * s["announce ns/op"].At(1) * nano, Memory: 256 << 10,
				}
			},
		},
		{
			Name: "watching configuration", Mechanism: "2 instances of each data centre hold a long poll", State: "none", IsWorst: true,
			Formula: "(1/1 s + 2 x changes/day + 1/300 s) x read + notes + list of nodes",
			Cost: func(z Size, s Slopes) Cost {
				polls, changes := 1.0/watchSeconds, 2*z.Changes/secondsPerDay
				lists := 1.0 / listSeconds
				reads := polls + changes + lists
				each := s["watch B-wire"].At(1)
				return Cost{Messages: 2 * reads, Bytes: reads*each + changes*noteBytes + lists*z.Nodes*listedBytes, Core: reads * s["announce ns/op"].At(1) * nano}
			},
		},
		{
			Name: "reporting evidence", Mechanism: "2 quiet reports a second in turns, failures at once (internal/jyevidence)", State: "three counts for each target",
			Formula: "(2/s + requests/s/nodes x failures) x report of 3 targets + one look at all counts",
			Cost: func(z Size, s Slopes) Cost {
				rate := quietMessages + z.Requests/z.Nodes*failureShare
				return Cost{
					Messages: 2 * rate, Bytes: rate * s["report B-wire"].At(subset),
					Core:   rate*s["report ns/op"].At(subset)*nano/2 + (s["totals ns/op"].At(z.Services)+4*s["ranked ns/op"].At(z.Nodes))*nano,
					Memory: z.Targets * 120,
				}
			},
		},
		{
			Name: "pooling evidence", Mechanism: "one instance a service by rendezvous hash, sequential tests (pkg/jydetector)", State: "tests and last counts of each reporter", IsWorst: true,
			Formula: "4 services x nodes x quiet/services x report of 3 targets",
			Cost: func(z Size, s Slopes) Cost {
				rate := mostPooled * (z.Nodes*quietMessages/z.Services + z.Requests/z.Services*failureShare)
				return Cost{
					Messages: 2 * rate, Bytes: rate * s["report B-wire"].At(subset),
					Core:   rate * (s["report ns/op"].At(subset)/2 + s["pool ns/op"].At(z.Nodes)) * nano,
					Memory: mostPooled * s["pool B-heap"].At(z.Nodes),
				}
			},
		},
		{
			Name: "request ids", Mechanism: "ledger of the issuing process (pkg/jydedup)", State: "one record for each id used in 10 minutes",
			Formula: "requests/s/nodes x 0.3 x 600 s records",
			Cost: func(z Size, s Slopes) Cost {
				rate := z.Requests / z.Nodes * writeShare
				return Cost{Core: rate * s["ledger ns/op"].At(rate*idSeconds) * nano, Memory: s["ledger B-heap"].At(rate * idSeconds)}
			},
		},
		{
			Name: "handing ids over", Mechanism: "in parts of 100 records to one successor at shutdown (internal/jyrelay)", State: "none",
			Formula: "replacements/day/nodes x records x 2",
			Cost: func(z Size, s Slopes) Cost {
				records := z.Requests / z.Nodes * writeShare * idSeconds
				rate := z.Replacements / secondsPerDay / z.Nodes
				return Cost{
					Messages: rate * records / 100 * 4, Bytes: 2 * rate * s["hand-over B-wire"].At(records),
					Core: 2 * rate * s["hand-over ns/op"].At(records) * nano,
				}
			},
		},
		{
			Name: "sharing slots", Mechanism: "two choices by own requests in flight, the server's own queue (pkg/jyslot)", State: "one count for each target",
			Formula: "none: no word between instances", Cost: func(z Size, _ Slopes) Cost { return Cost{Memory: z.Targets * 8} },
		},
		{
			Name: "probing servers", Mechanism: "none: real requests are judged, and a trickle brings servers back", State: "none",
			Formula: "none", Cost: func(Size, Slopes) Cost { return Cost{} },
		},
		{
			Name: "limits of callers", Mechanism: "token bucket at each instance, no messages (pkg/jylimit)", State: "one entry for each account",
			Formula: "requests/s/nodes x admission",
			Cost: func(z Size, s Slopes) Cost {
				return Cost{Core: z.Requests / z.Nodes * s["limiter ns/op"].At(z.Callers) * nano, Memory: s["limiter B-heap"].At(z.Callers)}
			},
		},
		{
			Name: "burn and metrics", Mechanism: "minute counts and tally scopes, read on demand", State: "360 counts and 3 histograms for each service",
			Formula: "requests/s/nodes x count",
			Cost: func(z Size, s Slopes) Cost {
				return Cost{Core: z.Requests / z.Nodes * s["burn ns/op"].At(z.Services) * nano, Memory: s["burn B-heap"].At(z.Services) + s["metrics B-heap"].At(z.Services)}
			},
		},
		{
			Name: "blocked requests", Mechanism: "told to all instances, 64 at a time (internal/jyrelay)", State: "4,096 fingerprints under suspicion, 8,192 answered",
			Formula: "failures/day x 4 requests x nodes announcements",
			Cost: func(z Size, s Slopes) Cost {
				rate := z.Failures * 4 / secondsPerDay
				return Cost{Messages: 2 * 2 * rate, Bytes: 2 * rate * s["announce B-wire"].At(1), Core: rate * s["announce ns/op"].At(1) * nano, Memory: 12288 * 100}
			},
		},
	}
}

// Check is a bound of the whole system.
type Check struct {
	Name    string
	Value   float64
	Bound   float64
	Unit    string
	Formula string
}

// IsKept reports whether the value is within its bound.
func (c Check) IsKept() bool { return c.Value <= c.Bound }

// Checks returns the bounds that are not budgets of one instance.
func Checks(z Size, s Slopes) []Check {
	mean := z.Nodes * subset / (z.Targets / z.Services)
	most := mean + 4*math.Sqrt(mean)
	return []Check{
		{"connections at a target", most * connectionsEach, z.Connections, "", "(mean + 4 deviations of instances at a target) x 2"},
		{"reads of the configuration service", z.Centres*watchers*(1.0/watchSeconds+2*z.Changes/secondsPerDay+1.0/listSeconds) + z.Replacements/secondsPerDay, budgetReads, "/s", "watchers x (polls + changes + list) + starts"},
		{"reads while all nodes start in its outage", z.Nodes / 7.5, budgetReads, "/s", "nodes / (5 s x 1.5) once the delays have grown"},
		{"whole state as a base note", s["release-state B-file"].At(z.Targets), budgetValue, "bytes", "fit of the encoded size"},
		{"change in force at the last node", 2*hopSeconds + s["spread s-virtual"].At(z.Nodes), budgetChange, "s", "read + slowest of 20 spreads in virtual time"},
		{"loss of a data centre known everywhere", s["centre-lost s-virtual"].At(z.Nodes), 60, "s", "virtual time of pkg/jymember; a bound of our own"},
		{"regions known to each other again", s["regions-apart s-virtual"].At(z.Nodes), 120, "s", "the same"},
	}
}
