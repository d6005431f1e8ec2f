package jysoak

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// StepKind is what a step of a plan does.
type StepKind string

// The kinds of steps. Their target is an instance, the link to a server, the link to the store, the store or a server.
const (
	Kill          StepKind = "Kill"          // SIGKILL; started again at the end
	Terminate     StepKind = "Terminate"     // SIGTERM; started again at the end, once the process has exited
	Pause         StepKind = "Pause"         // SIGSTOP; SIGCONT at the end
	Reload        StepKind = "Reload"        // SIGHUP
	LinkDelay     StepKind = "LinkDelay"     // bytes are delayed by linkDelay
	LinkReset     StepKind = "LinkReset"     // connections to a server are reset
	LinkOneWay    StepKind = "LinkOneWay"    // answers of a server are lost
	LinkSilent    StepKind = "LinkSilent"    // nothing passes, connections stay open
	StoreSilent   StepKind = "StoreSilent"   // nothing passes on the store's link, connections stay open
	StoreAway     StepKind = "StoreAway"     // the store refuses all calls
	StoreForgets  StepKind = "StoreForgets"  // the store compacts away its history
	ServerFault   StepKind = "ServerFault"   // a server gets the fault at FaultIndex
	ServerDrain   StepKind = "ServerDrain"   // a server announces that it is draining
	RouteMoves    StepKind = "RouteMoves"    // the next version of the configuration, with the routes at the second service
	OldVersionPut StepKind = "OldVersionPut" // the store shows the version before the newest; the newest again at the end
	ServerLimit   StepKind = "ServerLimit"   // a server states the limit PerSecond
	StoreRestored StepKind = "StoreRestored" // the store refuses all calls, and comes back from a copy made CopyAge before
	ServersCut    StepKind = "ServersCut"    // an instance loses its links to all servers, in the way of cutModes that FaultIndex says
	KeyRemoved    StepKind = "KeyRemoved"    // the next version of the configuration, without the next key
	StoreCut      StepKind = "StoreCut"      // nothing passes between an instance and the store, connections stay open
)

// targetsInstance reports whether the step's target is an instance.
func (k StepKind) targetsInstance() bool {
	return slices.Contains(instanceKinds, k) || k == StoreCut || k == ServersCut
}

// disturbsStore reports whether the step disturbs the store for all instances.
func (k StepKind) disturbsStore() bool { return slices.Contains(storeKinds, k) || k == StoreRestored }

var (
	instanceKinds = []StepKind{Kill, Terminate, Pause, Reload}
	linkKinds     = []StepKind{LinkDelay, LinkReset, LinkOneWay, LinkSilent}
	storeKinds    = []StepKind{StoreSilent, StoreAway, StoreForgets}
	otherKinds    = []StepKind{ServerFault, ServerDrain, RouteMoves, OldVersionPut}
)

// Step is one step of a plan.
type Step struct {
	At       time.Duration // offset from the start of the soak
	Duration time.Duration
	Kind     StepKind
	Target   int // index of an instance or server
	// FaultIndex is the index into serverFaults of a ServerFault step, and into cutModes of a ServersCut step.
	FaultIndex int
	// PerSecond is the limit of a ServerLimit step.
	PerSecond float64
	// CopyAge is the age of the copy of a StoreRestored step at its start.
	CopyAge time.Duration
}

// End returns the offset from the start of the soak at which the step is over.
func (s Step) End() time.Duration { return s.At + s.Duration }

// String returns the step as one line of a report.
func (s Step) String() string {
	return fmt.Sprintf("%6.2f s to %6.2f s  %s %d", s.At.Seconds(), s.End().Seconds(), s.Kind, s.Target)
}

const (
	// Steps start at random intervals of meanStepInterval on average and last up to maxStepDuration, so that they overlap.
	meanStepInterval = 700 * time.Millisecond
	maxStepDuration  = 4 * time.Second
	// Limits are stated at random intervals of meanLimitInterval on average, for minLimitDuration or up to twice that: they are
	// checked only after some seconds.
	meanLimitInterval = 2 * time.Second
	minLimitDuration  = 6 * time.Second
	// maxLimit is the largest limit of a step, in requests per second.
	maxLimit = 8
	// The store is restored at random intervals of meanRestoreInterval on average, from a copy of up to maxCopyAge. Routes are added
	// before it, which the store loses, and after it. Each instance is cut off from the store around it with a chance of storeCutChance.
	meanRestoreInterval = 6 * time.Second
	maxRestoreDuration  = time.Second
	maxCopyAge          = 6 * time.Second
	storeCutChance      = 0.4
	minStoreCut         = 3 * time.Second // each cut lasts up to twice that
	maxLostRoutes       = 3               // before a restoration
	maxRouteDelay       = 2 * time.Second // from a restoration to the route that is added after it
	// Instances are cut off from all servers at random intervals of meanServersCutInterval on average, for minServersCut or up to
	// twice that: what they serve is checked only after some seconds.
	meanServersCutInterval = 3 * time.Second
	minServersCut          = 6 * time.Second
)

// GeneratePlan returns the steps for a seed in order of their start. All end within the duration. servers and faults are the numbers
// of servers and of server faults to choose from.
func GeneratePlan(seed uint64, duration time.Duration, instances, servers, faults int) []Step {
	plan := slices.Concat(generateFaults(seed, duration, instances, servers, faults), generateLimits(seed, duration, servers),
		generateRestorations(seed, duration, instances), generateServersCuts(seed, duration, instances))
	slices.SortStableFunc(plan, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// generateLimits returns ServerLimit steps. Those of one server don't overlap.
func generateLimits(seed uint64, duration time.Duration, servers int) []Step {
	random := rand.New(rand.NewPCG(seed, 17))
	endOf := map[int]time.Duration{}
	var out []Step
	at := time.Duration(0)
	for at+minLimitDuration <= duration {
		at += time.Duration(random.ExpFloat64() * float64(meanLimitInterval))
		s := Step{At: at, Kind: ServerLimit, Target: random.IntN(servers), PerSecond: math.Round(maxLimit*100*random.Float64()) / 100}
		s.Duration = time.Duration((1 + random.Float64()) * float64(minLimitDuration))
		if s.End() > duration || at < endOf[s.Target] {
			continue
		}
		endOf[s.Target] = s.End()
		out = append(out, s)
	}
	return out
}

// generateRestorations returns StoreRestored steps, each with RouteMoves and StoreCut steps around it.
func generateRestorations(seed uint64, duration time.Duration, instances int) []Step {
	random := rand.New(rand.NewPCG(seed, 19))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Float64() * float64(d)) }
	var out []Step
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanRestoreInterval))
		s := Step{At: at, Duration: upTo(maxRestoreDuration), Kind: StoreRestored, CopyAge: upTo(maxCopyAge)}
		if s.End() > duration {
			return out
		}
		out = append(out, s)
		for range 1 + random.IntN(maxLostRoutes) {
			out = append(out, Step{At: max(0, at-upTo(s.CopyAge)), Kind: RouteMoves})
		}
		if next := s.End() + upTo(maxRouteDelay); next <= duration {
			out = append(out, Step{At: next, Kind: RouteMoves})
		}
		for i := range instances {
			cut := Step{At: max(0, at-upTo(time.Second)), Duration: minStoreCut + upTo(minStoreCut), Kind: StoreCut, Target: i}
			if random.Float64() < storeCutChance && cut.End() <= duration {
				out = append(out, cut)
			}
		}
	}
}

// generateServersCuts returns ServersCut steps. Those of one instance don't overlap, and one instance is never cut off.
func generateServersCuts(seed uint64, duration time.Duration, instances int) []Step {
	random := rand.New(rand.NewPCG(seed, 23))
	endOf := map[int]time.Duration{}
	var out []Step
	for at := time.Duration(0); instances > 1 && at+minServersCut <= duration; {
		at += time.Duration(random.ExpFloat64() * float64(meanServersCutInterval))
		s := Step{At: at, Kind: ServersCut, Target: 1 + random.IntN(instances-1), FaultIndex: random.IntN(len(cutModes))}
		s.Duration = time.Duration((1 + random.Float64()) * float64(minServersCut))
		if s.End() > duration || at < endOf[s.Target] {
			continue
		}
		endOf[s.Target] = s.End()
		out = append(out, s)
	}
	return out
}

// generateFaults returns the steps of all other kinds, up to the first one that would end after the duration.
func generateFaults(seed uint64, duration time.Duration, instances, servers, faults int) []Step {
	random := rand.New(rand.NewPCG(seed, 11))
	var out []Step
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() * float64(meanStepInterval))
		s := Step{At: at, Duration: time.Duration(random.Float64() * float64(maxStepDuration)), FaultIndex: random.IntN(faults)}
		group := [][]StepKind{instanceKinds, linkKinds, storeKinds, otherKinds}[random.IntN(4)]
		s.Kind = group[random.IntN(len(group))]
		s.Target = random.IntN(servers)
		if s.Kind.targetsInstance() {
			s.Target = random.IntN(instances)
		}
		if s.End() > duration {
			return out
		}
		out = append(out, s)
	}
}
