package jysoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a step of a plan does.
type Kind string

// The kinds of steps: to an instance, to the link of a server or of the store, to a server, to the store.
const (
	Kill          Kind = "Kill"          // SIGKILL, and a new start after the time
	Terminate     Kind = "Terminate"     // SIGTERM, and a new start after the end
	Pause         Kind = "Pause"         // SIGSTOP, and SIGCONT after the time
	Reload        Kind = "Reload"        // SIGHUP
	LinkDelay     Kind = "LinkDelay"     // bytes come late
	LinkReset     Kind = "LinkReset"     // connections are reset
	LinkOneWay    Kind = "LinkOneWay"    // answers are lost
	LinkSilent    Kind = "LinkSilent"    // nothing arrives, nothing ends
	StoreSilent   Kind = "StoreSilent"   // the store's link turns silent
	StoreAway     Kind = "StoreAway"     // the store refuses all calls
	StoreForgets  Kind = "StoreForgets"  // the store loses its history
	ServerFault   Kind = "ServerFault"   // a server fails in the way of Fault
	ServerDrain   Kind = "ServerDrain"   // a server says that it leaves
	RouteMoves    Kind = "RouteMoves"    // the next version of the configuration, once with the routes at the second service
	OldVersionPut Kind = "OldVersionPut" // the store shows the version before the newest
)

// touchesInstance reports whether the step is done to an instance.
func (k Kind) touchesInstance() bool { return slices.Contains(instanceKinds, k) }

// touchesStore reports whether the step disturbs the store.
func (k Kind) touchesStore() bool { return slices.Contains(storeKinds, k) }

var (
	instanceKinds = []Kind{Kill, Terminate, Pause, Reload}
	linkKinds     = []Kind{LinkDelay, LinkReset, LinkOneWay, LinkSilent}
	storeKinds    = []Kind{StoreSilent, StoreAway, StoreForgets}
	otherKinds    = []Kind{ServerFault, ServerDrain, RouteMoves, OldVersionPut}
)

// Step is one step of a plan.
type Step struct {
	At     time.Duration
	For    time.Duration
	Kind   Kind
	Target int // the number of an instance or server
	Fault  int // the number of a server's fault
}

// End returns when the step is over.
func (s Step) End() time.Duration { return s.At + s.For }

// String returns the step for a report.
func (s Step) String() string {
	return fmt.Sprintf("%6.2f s to %6.2f s  %s %d", s.At.Seconds(), s.End().Seconds(), s.Kind, s.Target)
}

const (
	// stepInterval is the mean time between steps, and longestStep the longest step: steps come in series and overlap.
	stepInterval = 700 * time.Millisecond
	longestStep  = 4 * time.Second
)

// Plan returns the steps of a seed, in order; all are over before the time.
func Plan(seed uint64, t time.Duration, instances, servers, faults int) []Step {
	random := rand.New(rand.NewPCG(seed, 11))
	var out []Step
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() * float64(stepInterval))
		s := Step{At: at, For: time.Duration(random.Float64() * float64(longestStep)), Fault: random.IntN(faults)}
		group := [][]Kind{instanceKinds, linkKinds, storeKinds, otherKinds}[random.IntN(4)]
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
