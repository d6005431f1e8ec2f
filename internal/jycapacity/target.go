package jycapacity

// SystemSize is a size of the system.
type SystemSize struct {
	Instances, BackendServers, Services, Routes, ClientAccounts float64
	RequestsPerSecond                                           float64 // a second
	ChangesPerDay, ReplacementsPerDay, FailuresPerDay           float64 // a day
	Regions, DataCentres                                        float64
	MaxConnectionsPerServer                                     float64 // that a target takes
}

// TargetSize returns the size that the users' letter 1 names.
func TargetSize() SystemSize {
	return SystemSize{
		Instances: 530, BackendServers: 4400, Services: 270, Routes: 1300, ClientAccounts: 27000, RequestsPerSecond: 64000,
		ChangesPerDay: 790, ReplacementsPerDay: 400, FailuresPerDay: 7, Regions: 2, DataCentres: 6, MaxConnectionsPerServer: 300,
	}
}

// Assumptions that the letter leaves open.
const (
	secondsPerDay = 86400
	// writeShare of the requests are non-idempotent and carry a request id.
	writeShare = 0.3
	// failureShare of the requests fail on an ordinary day.
	failureShare = 0.001
	// idSeconds is how long a used request id is remembered: lifetime and retention.
	idSeconds = 600
	// watchers is the number of instances of each data centre that watch the configuration service.
	watchers = 2
	// watchSeconds is how long a watch waits.
	watchSeconds = 1
	// listSeconds is how often a watcher reads the list of instances, and listedBytes the size of one of them there.
	listSeconds = 300
	listedBytes = 120
	// fanOut is the number of peers that an instance tells of a note.
	fanOut = 10
	// quietMessages is the number of reports without urgency that an instance sends a second.
	quietMessages = 2
	// mostPooled is the largest number of services that fall to one instance: with 270 services on 530 instances by
	// rendezvous hashing, more than four on one have a chance below one in a hundred.
	mostPooled = 4
	// subset is the number of servers of a service that an instance uses.
	subset = 3
	// connectionsEach is the number of connections that it opens to each at most.
	connectionsEach = 2
	// noteBytes is the size of a usual note.
	noteBytes = 600
	// memberBytes is the size of one member's news.
	memberBytes = 61
	// newsSent is how often an instance sends one piece of news: four times the bits of the fleet's size.
	newsSent = 40
	// hopSeconds is the time of one call between instances of one region: two ways of 1.5 ms and 1 ms of work.
	hopSeconds = 0.004
)

// Budget of control at one instance.
const (
	budgetCore   = 0.015
	budgetBytes  = 9_000.0
	budgetMemory = 64e6
	budgetChange = 3.0
	budgetReads  = 2000.0
	budgetValue  = 1 << 20
)
