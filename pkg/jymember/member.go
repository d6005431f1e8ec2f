package jymember

import "time"

// Name identifies an instance.
type Name string

// Boot identifies one process run of an instance. It rises with each run.
type Boot uint64

// Status is the state of a member as seen by an instance.
type Status int

// Statuses of a member. At the same boot and incarnation, the higher one takes precedence.
const (
	Alive Status = iota
	Suspect
	Dead
	Left // shut down gracefully; final for its boot
)

// String returns the name of the status.
func (s Status) String() string {
	return [...]string{"Alive", "Suspect", "Dead", "Left"}[s]
}

// Member is the state of one instance as known to another.
type Member struct {
	Name        Name
	Boot        Boot   // 0 for an instance that is only known from the platform's list
	Incarnation uint64 // raised by the instance itself to refute a claim that it is not alive
	Status      Status
	Address     string // for calls of peers, as host:port; may be empty
	DataCentre  string
	Region      string
}

// supersedes reports whether m replaces old as the state of the same member.
func (m Member) supersedes(old Member) bool {
	if m.Boot != old.Boot {
		return m.Boot > old.Boot
	}
	if old.Status == Left {
		return false
	}
	if m.Status == Left {
		return true
	}
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Status > old.Status
}

// Run identifies one process run of an instance.
type Run struct {
	Name Name
	Boot Boot
}

// Succession records that the run From, which has ended, handed its request ids over to the run To.
type Succession struct {
	From Run
	To   Run
}

// Update is a unit of gossip: a member or a succession. The other field is nil.
type Update struct {
	Member     *Member
	Succession *Succession
}

// Event is the addition of a member to the table, or a change of its status or boot.
type Event struct {
	Member Member
	Before Status // the previous status; Alive if the member is new to the table
	New    bool   // the member was unknown, or has a later boot
}

// ListedInstance is an entry of the platform's list of instances.
type ListedInstance struct {
	Name       Name
	Address    string // for calls of peers, as host:port
	DataCentre string
	Region     string
}

// Config holds the settings of a Table. There are no defaults.
type Config struct {
	// SuspectTimeout is how long a suspected member may take to refute the suspicion before it is declared dead.
	SuspectTimeout time.Duration
	// DeadRetention is how long a dead or left member is kept if it is not in the platform's list.
	DeadRetention time.Duration
	// SuccessionRetention is how long a succession is kept.
	SuccessionRetention time.Duration
	// Helpers is the largest number of members that probe an unresponsive member on behalf of this one.
	Helpers int
	// UpdatesPerCall is the largest number of pending updates that are sent with a call.
	UpdatesPerCall int
}
