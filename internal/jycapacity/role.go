package jycapacity

import "math"

// Role is a task that an instance performs for the fleet, with its cost.
type Role struct {
	Name      string
	Mechanism string
	State     string // the state that an instance keeps for it
	Formula   string // how the cost follows from the fits
	// Cost returns the cost at a size, given the fits.
	Cost func(size SystemSize, fits Fits) Cost
	// IsConcentrated marks a role that only a few instances have. Its cost is that of the most loaded instance.
	IsConcentrated bool
}

// Cost is what a role costs one instance.
type Cost struct {
	MessagesPerSecond float64 // sent and received
	BytesPerSecond    float64 // sent and received, with framing
	CoreShare         float64 // share of one core, 1 being all of it
	MemoryBytes       float64
}

func (c Cost) plus(other Cost) Cost {
	return Cost{
		c.MessagesPerSecond + other.MessagesPerSecond,
		c.BytesPerSecond + other.BytesPerSecond,
		c.CoreShare + other.CoreShare,
		c.MemoryBytes + other.MemoryBytes,
	}
}

const secondsPerNanosecond = 1e-9

// Roles returns all roles of an instance.
func Roles() []Role {
	return []Role{
		{
			Name: "membership", Mechanism: "SWIM heartbeats, one a second, with news on board (pkg/jymember)", State: "one entry for each node",
			Formula: "2 exchanges/s x (heartbeat + new connection) + events/day x news",
			Cost: func(size SystemSize, fits Fits) Cost {
				eventsPerSecond := 3 * (size.ReplacementsPerDay + size.FailuresPerDay) / secondsPerDay
				bytesPerExchange := fits["heartbeat B-wire"].At(size.Instances) + fits["new-connection B-wire"].At(1)
				return Cost{
					MessagesPerSecond: 4,
					BytesPerSecond:    2*bytesPerExchange + eventsPerSecond*2*updateTransmissions*updateBytes,
					CoreShare:         (fits["heartbeat ns/op"].At(size.Instances) + fits["new-connection ns/op"].At(1)) * secondsPerNanosecond,
					MemoryBytes:       fits["heartbeat B-heap"].At(size.Instances),
				}
			},
		},
		{
			Name: "joining", Mechanism: "three first heartbeats bring everything, the state comes from one peer (internal/jyrelease)", State: "none",
			Formula: "replacements/day x (3 x everything + state) x 2 / nodes",
			Cost: func(size SystemSize, fits Fits) Cost {
				bytesPerJoin := 3*fits["everything B-wire"].At(size.Instances) + fits["release-state B-wire"].At(size.BackendServers)
				joinsPerSecond := size.ReplacementsPerDay / secondsPerDay / size.Instances
				return Cost{
					MessagesPerSecond: joinsPerSecond * 8,
					BytesPerSecond:    2 * joinsPerSecond * bytesPerJoin,
					CoreShare:         joinsPerSecond * (3*fits["everything ns/op"].At(size.Instances) + fits["release-state ns/op"].At(size.BackendServers)) * secondsPerNanosecond,
				}
			},
		},
		{
			Name: "release notes in force", Mechanism: "immutable snapshot, rebuilt for each note (internal/jybackend)", State: "services, targets, routes",
			Formula: "changes/day x apply",
			Cost: func(size SystemSize, fits Fits) Cost {
				return Cost{
					CoreShare:   size.ChangesPerDay / secondsPerDay * fits["release-apply ns/op"].At(size.BackendServers) * secondsPerNanosecond,
					MemoryBytes: fits["release-apply B-heap"].At(size.BackendServers),
				}
			},
		},
		{
			Name: "passing notes on", Mechanism: "each tells 10 random peers; who lacks a note fetches it as published", State: "64 notes, 256 kB at most",
			Formula: "changes/day x (20 announcements + 2 fetches)",
			Cost: func(size SystemSize, fits Fits) Cost {
				notesPerSecond := size.ChangesPerDay / secondsPerDay
				return Cost{
					MessagesPerSecond: notesPerSecond * (2*2*fanOut + 4),
					BytesPerSecond:    notesPerSecond * (2*fanOut*fits["announce B-wire"].At(1) + 2*(fits["announce B-wire"].At(1)+noteBytes)),
					CoreShare:         notesPerSecond * 2 * (fanOut + 1) * fits["announce ns/op"].At(1) * secondsPerNanosecond,
					MemoryBytes:       256 << 10,
				}
			},
		},
		{
			Name: "watching configuration", Mechanism: "2 instances of each data centre hold a long poll", State: "none", IsConcentrated: true,
			Formula: "(1/1 s + 2 x changes/day + 1/300 s) x read + notes + list of nodes",
			Cost: func(size SystemSize, fits Fits) Cost {
				polls, changes := 1.0/watchSeconds, 2*size.ChangesPerDay/secondsPerDay
				lists := 1.0 / listIntervalSeconds
				reads := polls + changes + lists
				bytesPerRead := fits["watch B-wire"].At(1)
				// A read is assumed to need as much CPU time as an announcement.
				return Cost{
					MessagesPerSecond: 2 * reads,
					BytesPerSecond:    reads*bytesPerRead + changes*noteBytes + lists*size.Instances*listEntryBytes,
					CoreShare:         reads * fits["announce ns/op"].At(1) * secondsPerNanosecond,
				}
			},
		},
		{
			Name: "reporting evidence", Mechanism: "2 quiet reports a second in turns, failures at once (internal/jyevidence)", State: "three counts for each target",
			Formula: "(2/s + requests/s/nodes x failures) x report of 3 targets + one look at all counts",
			Cost: func(size SystemSize, fits Fits) Cost {
				reportsPerSecond := periodicReportsPerSecond + size.RequestsPerSecond/size.Instances*failureShare
				return Cost{
					MessagesPerSecond: 2 * reportsPerSecond,
					BytesPerSecond:    reportsPerSecond * fits["report B-wire"].At(subsetSize),
					CoreShare: reportsPerSecond*fits["report ns/op"].At(subsetSize)*secondsPerNanosecond/2 +
						(fits["totals ns/op"].At(size.Services)+4*fits["ranked ns/op"].At(size.Instances))*secondsPerNanosecond,
					MemoryBytes: size.BackendServers * 120,
				}
			},
		},
		{
			Name:      "pooling evidence",
			Mechanism: "one instance a service by rendezvous hash, sequential tests (pkg/jydetector)",
			State:     "tests and last counts of each reporter", IsConcentrated: true,
			Formula: "4 services x nodes x quiet/services x report of 3 targets",
			Cost: func(size SystemSize, fits Fits) Cost {
				reportsPerSecond := maxAggregatedServices * (size.Instances*periodicReportsPerSecond/size.Services + size.RequestsPerSecond/size.Services*failureShare)
				return Cost{
					MessagesPerSecond: 2 * reportsPerSecond,
					BytesPerSecond:    reportsPerSecond * fits["report B-wire"].At(subsetSize),
					CoreShare:         reportsPerSecond * (fits["report ns/op"].At(subsetSize)/2 + fits["pool ns/op"].At(size.Instances)) * secondsPerNanosecond,
					MemoryBytes:       maxAggregatedServices * fits["pool B-heap"].At(size.Instances),
				}
			},
		},
		{
			Name: "request ids", Mechanism: "ledger of the issuing process (pkg/jydedup)", State: "one record for each id used in 10 minutes",
			Formula: "requests/s/nodes x 0.3 x 600 s records",
			Cost: func(size SystemSize, fits Fits) Cost {
				idsPerSecond := size.RequestsPerSecond / size.Instances * writeShare
				return Cost{
					CoreShare:   idsPerSecond * fits["ledger ns/op"].At(idsPerSecond*idRetentionSeconds) * secondsPerNanosecond,
					MemoryBytes: fits["ledger B-heap"].At(idsPerSecond * idRetentionSeconds),
				}
			},
		},
		{
			Name: "handing ids over", Mechanism: "in parts of 100 records to one successor at shutdown (internal/jyrelay)", State: "none",
			Formula: "replacements/day/nodes x records x 2",
			Cost: func(size SystemSize, fits Fits) Cost {
				records := size.RequestsPerSecond / size.Instances * writeShare * idRetentionSeconds
				handOversPerSecond := size.ReplacementsPerDay / secondsPerDay / size.Instances
				return Cost{
					MessagesPerSecond: handOversPerSecond * records / 100 * 4,
					BytesPerSecond:    2 * handOversPerSecond * fits["hand-over B-wire"].At(records),
					CoreShare:         2 * handOversPerSecond * fits["hand-over ns/op"].At(records) * secondsPerNanosecond,
				}
			},
		},
		{
			Name:      "sharing slots",
			Mechanism: "two choices by own requests in flight, the server's own queue (pkg/jyslot)",
			State:     "one count for each target",
			Formula:   "none: no word between instances",
			Cost:      func(size SystemSize, _ Fits) Cost { return Cost{MemoryBytes: size.BackendServers * 8} },
		},
		{
			Name: "probing servers", Mechanism: "none: real requests are judged, and a trickle brings servers back", State: "none",
			Formula: "none", Cost: func(SystemSize, Fits) Cost { return Cost{} },
		},
		{
			Name: "limits of callers", Mechanism: "token bucket at each instance, no messages (pkg/jylimit)", State: "one entry for each account",
			Formula: "requests/s/nodes x admission",
			Cost: func(size SystemSize, fits Fits) Cost {
				return Cost{
					CoreShare:   size.RequestsPerSecond / size.Instances * fits["limiter ns/op"].At(size.ClientAccounts) * secondsPerNanosecond,
					MemoryBytes: fits["limiter B-heap"].At(size.ClientAccounts),
				}
			},
		},
		{
			Name: "burn and metrics", Mechanism: "minute counts and tally scopes, read on demand", State: "360 counts and 3 histograms for each service",
			Formula: "requests/s/nodes x count",
			Cost: func(size SystemSize, fits Fits) Cost {
				return Cost{
					CoreShare:   size.RequestsPerSecond / size.Instances * fits["burn ns/op"].At(size.Services) * secondsPerNanosecond,
					MemoryBytes: fits["burn B-heap"].At(size.Services) + fits["metrics B-heap"].At(size.Services),
				}
			},
		},
		{
			Name: "blocked requests", Mechanism: "told to all instances, 64 at a time (internal/jyrelay)", State: "4,096 fingerprints under suspicion, 8,192 answered",
			Formula: "failures/day x 4 requests x nodes announcements",
			Cost: func(size SystemSize, fits Fits) Cost {
				// A message about a blocked request is assumed to cost as much as an announcement.
				blocksPerSecond := size.FailuresPerDay * 4 / secondsPerDay
				return Cost{
					MessagesPerSecond: 2 * 2 * blocksPerSecond,
					BytesPerSecond:    2 * blocksPerSecond * fits["announce B-wire"].At(1),
					CoreShare:         blocksPerSecond * fits["announce ns/op"].At(1) * secondsPerNanosecond,
					MemoryBytes:       12288 * 100,
				}
			},
		},
	}
}

// SystemBound is a value of the whole system that must not exceed a limit.
type SystemBound struct {
	Name    string
	Value   float64
	Limit   float64
	Unit    string // of Value and Limit
	Formula string // how the value follows from the size and the fits
}

// IsWithinLimit reports whether the value does not exceed the limit.
func (b SystemBound) IsWithinLimit() bool { return b.Value <= b.Limit }

// SystemBounds returns the bounds of the whole system at the given size. The budgets of a single instance are not among them.
func SystemBounds(size SystemSize, fits Fits) []SystemBound {
	meanInstances := size.Instances * subsetSize / (size.BackendServers / size.Services)
	maxInstances := meanInstances + 4*math.Sqrt(meanInstances)
	return []SystemBound{
		{
			"connections at a target",
			maxInstances * connectionsPerServer, size.MaxConnectionsPerServer, "",
			"(mean + 4 deviations of instances at a target) x 2",
		},
		{
			"reads of the configuration service",
			size.DataCentres*watchersPerDataCentre*(1.0/watchSeconds+2*size.ChangesPerDay/secondsPerDay+1.0/listIntervalSeconds) +
				size.ReplacementsPerDay/secondsPerDay,
			budgetReadsPerSecond, "/s",
			"watchers x (polls + changes + list) + starts",
		},
		{
			"reads while all nodes start in its outage",
			size.Instances / 7.5, budgetReadsPerSecond, "/s",
			"nodes / (5 s x 1.5) once the delays have grown",
		},
		{"whole state as a base note", fits["release-state B-file"].At(size.BackendServers), budgetNoteBytes, "bytes", "fit of the encoded size"},
		{
			"change in force at the last node",
			2*callSeconds + fits["spread s-virtual"].At(size.Instances), budgetChangeSeconds, "s",
			"read + slowest of 20 spreads in virtual time",
		},
		{
			"loss of a data centre known everywhere",
			fits["centre-lost s-virtual"].At(size.Instances), 60, "s",
			"virtual time of pkg/jymember; a bound of our own",
		},
		{"regions known to each other again", fits["regions-apart s-virtual"].At(size.Instances), 120, "s", "the same"},
	}
}
