package jysoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// StepKind is what a step of a plan does.
type StepKind string

// The kinds of steps: to an instance, to the link of a server or of the store, to a server, to the store.
const (
	Kill          StepKind = "Kill"          // SIGKILL, and a new start after the time
	Terminate     StepKind = "Terminate"     // SIGTERM, and a new start after the end
	Pause         StepKind = "Pause"         // SIGSTOP, and SIGCONT after the time
	Reload        StepKind = "Reload"        // SIGHUP
	LinkDelay     StepKind = "LinkDelay"     // bytes come late
	LinkReset     StepKind = "LinkReset"     // connections are reset
	LinkOneWay    StepKind = "LinkOneWay"    // answers are lost
	LinkSilent    StepKind = "LinkSilent"    // nothing arrives, nothing ends
	StoreSilent   StepKind = "StoreSilent"   // the store's link turns silent
	StoreAway     StepKind = "StoreAway"     // the store refuses all calls
	StoreForgets  StepKind = "StoreForgets"  // the store loses its history
	ServerFault   StepKind = "ServerFault"   // a server fails in the way of Fault
	ServerDrain   StepKind = "ServerDrain"   // a server says that it leaves
	RouteMoves    StepKind = "RouteMoves"    // the next version of the configuration, once with the routes at the second service
	OldVersionPut StepKind = "OldVersionPut" // the store shows the version before the newest
)

// touchesInstance reports whether the step is done to an instance.
func (k StepKind) touchesInstance() bool { return slices.Contains(instanceKinds, k) }

// touchesStore reports whether the step disturbs the store.
func (k StepKind) touchesStore() bool { return slices.Contains(storeKinds, k) }

var (
	instanceKinds = []StepKind{Kill, Terminate, Pause, Reload}
	linkKinds     = []StepKind{LinkDelay, LinkReset, LinkOneWay, LinkSilent}
	storeKinds    = []StepKind{StoreSilent, StoreAway, StoreForgets}
	otherKinds    = []StepKind{ServerFault, ServerDrain, RouteMoves, OldVersionPut}
)

// Step is one step of a plan.
type Step struct {
	At         time.Duration
	Duration   time.Duration
	Kind       StepKind
	Target     int // the number of an instance or server
	FaultIndex int // the number of a server's fault
}

// End returns when the step is over.
func (s Step) End() time.Duration { return s.At + s.Duration }

// String returns the step for a report.
func (s Step) String() string {
	return fmt.Sprintf("%6.2f s to %6.2f s  %s %d", s.At.Seconds(), s.End().Seconds(), s.Kind, s.Target)
}

const (
	// stepInterval is the mean time between steps, and longestStep the longest step: steps come in series and overlap.
	stepInterval = 700 * time.Millisecond
	longestStep  = 4 * time.Second
)

// GeneratePlan returns the steps of a seed, in order; all are over before the time.
func GeneratePlan(seed uint64, t time.Duration, instances, servers, faults int) []Step {
	random := rand.New(rand.NewPCG(seed, 11))
	var out []Step
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() * float64(stepInterval))
		s := Step{At: at, Duration: time.Duration(random.Float64() * float64(longestStep)), FaultIndex: random.IntN(faults)}
		group := [][]StepKind{instanceKinds, linkKinds, storeKinds, otherKinds}[random.IntN(4)]
		s.Kind = group[random.IntN(len(group))]
		s.Target = random.IntN(servers)
		if s.Kind.touchesInstance() {
			s.Target = random.IntN(instances)
		}
		if s.End() > t {
			return out
		}
		out = append(out, s)
	}
}
