package jycapacity

// SystemSize is a size of the whole system.
type SystemSize struct {
	Instances, BackendServers, Services, Routes, ClientAccounts float64
	RequestsPerSecond                                           float64
	ChangesPerDay, ReplacementsPerDay, FailuresPerDay           float64
	Regions, DataCentres                                        float64
	MaxConnectionsPerServer                                     float64 // that a backend server accepts
}

// TargetSize returns the size that the users specified.
func TargetSize() SystemSize {
	return SystemSize{
		Instances: 530, BackendServers: 4400, Services: 270, Routes: 1300, ClientAccounts: 27000, RequestsPerSecond: 64000,
		ChangesPerDay: 790, ReplacementsPerDay: 400, FailuresPerDay: 7, Regions: 2, DataCentres: 6, MaxConnectionsPerServer: 300,
	}
}

// Assumptions about what the users did not specify, and the settings of the fleet.
const (
	secondsPerDay = 86400
	// writeShare is the share of requests that are non-idempotent and carry a request id.
	writeShare = 0.3
	// failureShare is the share of requests that fail on an ordinary day.
	failureShare = 0.001
	// idRetentionSeconds is how long a used request id is kept: its lifetime and its retention.
	idRetentionSeconds = 600
	// watchersPerDataCentre is the number of instances of each data centre that watch the configuration service.
	watchersPerDataCentre = 2
	// watchSeconds is how long a long poll of the configuration service waits.
	watchSeconds = 1
	// listIntervalSeconds is the time between two reads of the list of instances by a watcher, and listEntryBytes the size of an
	// entry of the list.
	listIntervalSeconds = 300
	listEntryBytes      = 120
	// fanOut is the number of peers to which an instance announces a note.
	fanOut = 10
	// periodicReportsPerSecond is the number of evidence reports that an instance sends without a failure to report.
	periodicReportsPerSecond = 2
	// maxAggregatedServices is the largest number of services whose evidence one instance aggregates: with 270 services on 530
	// instances by rendezvous hashing, more than four on one have a chance below one in a hundred.
	maxAggregatedServices = 4
	// subsetSize is the number of backend servers of a service that an instance uses.
	subsetSize = 3
	// connectionsPerServer is the maximum number of connections that an instance opens to a backend server.
	connectionsPerServer = 2
	// noteBytes is the size of a typical release note.
	noteBytes = 600
	// updateBytes is the size of a membership update.
	updateBytes = 61
	// updateTransmissions is how often an instance sends a membership update: four times the number of bits of the fleet's size.
	updateTransmissions = 40
	// callSeconds is the time of a call between instances of one region: 1.5 ms in each direction and 1 ms of processing.
	callSeconds = 0.004
)

// The budget of control (the cost of all roles) at one instance, and limits of the whole system.
const (
	budgetCoreShare      = 0.015
	budgetBytesPerSecond = 9_000.0
	budgetMemoryBytes    = 64e6
	budgetChangeSeconds  = 3.0
	budgetReadsPerSecond = 2000.0
	budgetNoteBytes      = 1 << 20
)
