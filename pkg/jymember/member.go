package jymember

import "time"

// Name identifies an instance.
type Name string

// Boot identifies one run of an instance's process, and rises with each run.
type Boot uint64

// Status is what is held of a member.
type Status int

// The statuses; at the same boot and incarnation the higher one wins.
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

// Member is what is known of one instance.
type Member struct {
	Name        Name
	Boot        Boot // 0 until it was heard of
	Incarnation uint64
	Status      Status
	Address     string
	DataCentre  string
	Region      string
}

// supersedes reports whether m is newer knowledge than old.
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

// Run identifies one run of an instance.
type Run struct {
	Name Name
	Boot Boot
}

// Succession says that a run that has ended handed its duties to another.
type Succession struct {
	From Run
	To   Run
}

// Update is one piece of news that members pass on: a member, or a succession.
type Update struct {
	Member     *Member
	Succession *Succession
}

// Event is a change of what is held of a member.
type Event struct {
	Member Member
	Before Status
	New    bool // not known before, or in a new boot
}

// ListedInstance is an entry of the platform's list.
type ListedInstance struct {
	Name       Name
	Address    string
	DataCentre string
	Region     string
}

// Config sets up a Table.
type Config struct {
	// SuspectTimeout is how long a suspected member has to refute.
	SuspectTimeout time.Duration
	// DeadRetention is how long a dead or left member is remembered after it vanished from the list.
	DeadRetention time.Duration
	// SuccessionRetention is how long a succession is remembered.
	SuccessionRetention time.Duration
	Helpers             int
	UpdatesPerCall      int
}
