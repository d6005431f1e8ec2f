package jycapacity

// SystemSize is a size of the whole system. Changes are published release notes; replacements and failures are those of instances.
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
	// watchSeconds is how long a long poll of the configuration service waits for a change.
	watchSeconds = 1
	// listIntervalSeconds is the time between two reads of the list of instances by a watcher.
	listIntervalSeconds = 300
	// listEntryBytes is the size of an entry of the list of instances.
	listEntryBytes = 120
	// fanOut is the number of peers to which an instance announces a note.
	fanOut = 10
	// periodicReportsPerSecond is the number of evidence reports per second that an instance sends without a failure to report.
	periodicReportsPerSecond = 2
	// maxAggregatedServices is the number of services whose evidence the most loaded instance is assumed to aggregate. With 270
	// services on 530 instances by rendezvous hashing, a given instance has more than four with a chance of 0.02%, and any instance
	// with a chance of about 9%.
	maxAggregatedServices = 4
	// subsetSize is the number of backend servers of each service that an instance uses.
	subsetSize = 3
	// connectionsPerServer is the maximum number of connections that an instance opens to a backend server.
	connectionsPerServer = 2
	// noteBytes is the size of a typical release note.
	noteBytes = 600
	// updateBytes is the size of a membership update on the wire.
	updateBytes = 61
	// updateTransmissions is how often an instance sends a membership update: four times the bit length of the fleet's size.
	updateTransmissions = 40
	// callSeconds is the time of a call between instances of one region: 1.5 ms in each direction and 1 ms of processing.
	callSeconds = 0.004
)

// The budget of one instance for all its roles, which the page calls control, and limits of the whole system.
const (
	budgetCoreShare      = 0.015
	budgetBytesPerSecond = 9_000.0
	budgetMemoryBytes    = 64e6
	budgetChangeSeconds  = 3.0     // from the publication of a note until the last instance has applied it
	budgetReadsPerSecond = 2000.0  // of the configuration service, by all instances
	budgetNoteBytes      = 1 << 20 // of one release note
)
