package jylog

var catalogue []Event

// define adds an event to the catalogue and returns it. No two events have the same number.
func define(number int, s Severity, message, advice string, fields ...string) Event {
	e := Event{Number: number, Severity: s, Message: message, Advice: advice, Fields: fields}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events, in the order of their definition. The caller must not change the list.
func Catalogue() []Event { return catalogue }

// The events that an instance logs. The first digit of a number is its subject: 1 the instance itself, 2 configuration, 3 backend
// servers, 4 other instances, 5 request ids, 6 requests and suppressed lines. Advice begins with "None" where an operator usually
// need not act.
var (
	InstanceStarted       = define(100, Info, "instance started", "None.", "Instance", "Boot", "CallerAddress", "PeerAddress")
	InstanceReady         = define(101, Info, "instance ready for callers", "None.", "Number")
	InstanceDraining      = define(102, Info, "instance draining", "None; the instance stops once its requests have finished or are cut off.", "InProgress")
	InstanceStopped       = define(103, Info, "instance stopped", "None.", "CutOff")
	PauseDetected         = define(104, Alarm, "process was paused", "Check whether the machine is overloaded or was suspended.", "PauseMilliseconds")
	SettingsReloaded      = define(106, Info, "settings reloaded", "Changed Seeds apply now; restart the instance to apply other changes.", "Changed")
	SettingsRefused       = define(107, Alarm, "changed settings refused", "Correct the file; the previous settings still apply.", "Cause")
	InternalServiceFailed = define(105, Alarm, "internal service failed", "Read the cause; the instance stops.", "Cause")

	NoteApplied             = define(200, Info, "release note applied", "None.", "Number", "Digest", "Source")
	NoteRefused             = define(201, Alarm, "release note refused", "Correct the content and publish it under the next number.", "Number", "Cause")
	NoteConflict            = define(202, Alarm, "release note published twice with different content", "Publish a base note under the next number.", "Number", "Cause")
	NoteWaiting             = define(203, Info, "release note waits for a lower number", "Publish the missing number.", "Number", "InForce")
	PlatformUnreachable     = define(204, Alarm, "configuration service cannot be read", "Restore it; the fleet keeps its current configuration and backend servers.", "Cause")
	PlatformReachable       = define(205, Info, "configuration service can be read again", "None.")
	EntryUnreadable         = define(207, Alarm, "store entry is invalid", "Find out what wrote it; an invalid registration counts as absent, an invalid configuration changes nothing.", "Key", "Revision", "Cause")
	StateApplied            = define(208, Info, "configuration and backend servers applied", "None.", "Number", "Revision", "Servers")
	FeedSourceLeft          = define(209, Info, "change feed of an instance failed or is out of date, the store is watched instead", "None unless it recurs; then check the instance.", "Instance", "AgeMilliseconds", "Cause")
	StoreEraChanged         = define(210, Alarm, "store came back with another history", "Find out what the store has lost; the fleet keeps its newer configuration.", "EraBefore", "Era", "RevisionBefore", "Revision")
	ConfigurationFetched    = define(211, Info, "newer configuration fetched from another instance", "None unless it recurs; then check this instance's way to the store.", "Instance", "Number", "NumberBefore")
	ConfigurationNotFetched = define(212, Info, "newer configuration of another instance could not be fetched", "None unless it recurs; then check the instance.", "Instance", "Number", "Cause")
	KeyLeaseLost            = define(213, Alarm, "requests with keys are refused, since keys may have been taken away unnoticed", "By the cause: restore the way to the configuration service or to the instances that read it; publish a valid configuration.", "AgeMilliseconds", "Cause")
	KeyLeaseRegained        = define(214, Info, "requests with keys are served again", "None.", "AgeMilliseconds", "LostMilliseconds")
	AlternativeFollowed     = define(215, Info, "configuration service cannot be read, changes come from another instance", "None unless it lasts; then check this instance's way to the configuration service.", "Cause")
	AlternativeLeft         = define(216, Info, "configuration service, or the usual instance, is watched again", "None.")
	PeerNoteDiffers         = define(206, Alarm, "peer has a release note with the same number and different content", "Publish a base note under the next number.", "Peer", "Number", "Digest", "PeerDigest")

	ServerEjected           = define(300, Alarm, "backend server ejected", "Check the backend server; it is put on probation automatically.", "Service", "Server", "Cause", "Score")
	ServerProbation         = define(301, Info, "backend server on probation", "None.", "Service", "Server")
	ServerRecovered         = define(302, Info, "backend server healthy again", "None.", "Service", "Server")
	EjectionWithheld        = define(303, Alarm, "ejection withheld at the floor", "Add capacity or fix the named backend server.", "Service", "Server", "Floor")
	ServiceFault            = define(304, Alarm, "service fails as a whole; no backend server is ejected", "Check what the service's backend servers have in common.", "Service", "Server")
	ServerDraining          = define(305, Info, "backend server draining", "None.", "Service", "Server")
	SilentConnectionDropped = define(306, Info, "silent connection dropped", "If there are many, look for a network device that drops idle connections.", "Server")
	RequestBlocked          = define(307, Alarm, "request blocked: it crashed backend servers", "Check the content of the request.", "Fingerprint", "Servers")

	ServerBelievedGray    = define(308, Info, "backend server is believed gray", "Check the backend server if this lasts; requests avoid it in the meantime.", "Service", "Server", "GrayChance", "Outcome", "Source")
	ServerBelievedHealthy = define(309, Info, "backend server is believed healthy again", "None.", "Service", "Server", "GrayChance", "Source")

	ServersUnused        = define(310, Info, "backend servers get no requests", "Check why: Doubted counts the ones that are likely gray, PassedOver the ones that this instance skips as unreachable.", "Service", "Servers", "Unused", "Doubted", "PassedOver", "Named", "LongestMilliseconds", "UnservedShare")
	ServerPauseRequested = define(311, Info, "backend server asked this instance to pause its requests", "Check the backend server's load if it asks often.", "Service", "Server", "Milliseconds")
	ServerLimitStated    = define(312, Info, "backend server states a limit", "Check the server, which is in need. Requests beyond the limit go to others, or are rejected if there are none.", "Service", "Server", "PerSecond", "Source")
	ServerLimitEnded     = define(313, Info, "backend server no longer states a limit", "None.", "Service", "Server", "Source")
	ServerLimitMalformed = define(314, Alarm, "backend server states a malformed limit, which is ignored", "Correct what the server sends.", "Service", "Server", "Cause")
	ServerLimitUse       = define(315, Info, "requests sent to a backend server with a limit in the last second", "None; the instances' numbers add up to what the server got.", "Service", "Server", "PerSecond", "First", "Trials", "Retries", "Copies")

	PathLost     = define(316, Alarm, "no connection to any backend server of a service can be opened", "Check the network between this instance and the servers, unless all instances log it.", "Service", "Servers")
	PathRestored = define(317, Info, "connections to backend servers of a service can be opened again", "None.", "Service", "Milliseconds")

	SendingElsewhereBegan = define(318, Info, "service begins to send requests to other data centres", "Add backend servers in this data centre if this lasts.", "Service", "Share", "Slots", "SlotsNeeded")
	SendingElsewhereEnded = define(319, Info, "service no longer sends requests to other data centres", "None.", "Service", "Share", "Slots", "SlotsNeeded")

	RequestUnblocked = define(320, Info, "request no longer suspected of crashing backend servers: one answered it", "None.", "Fingerprint")

	MemberJoined  = define(400, Info, "instance joined", "None.", "Instance", "Boot")
	MemberSuspect = define(401, Info, "instance suspected", "None unless it is followed by 402.", "Instance")
	MemberDead    = define(402, Alarm, "instance declared dead", "Check that the platform replaces it.", "Instance")
	MemberLeft    = define(403, Info, "instance left", "None.", "Instance")
	PeerRefused   = define(404, Alarm, "peer call refused: wrong key", "Give all instances the same SharedKey.", "Remote")

	SignalUnreadable = define(405, Alarm, "signal cannot be received, decoded or encoded", "Check whether another program sends to the signal port.", "Cause")
	AccountRefused   = define(406, Info, "requests of an account are over its quota and refused", "None, or raise the quota. The instances' numbers add up.", "Account", "PerSecond", "Burst", "Refused")
	AccountServed    = define(407, Info, "requests of an account are no longer refused for its quota", "None.", "Account", "Refused")
	QuotasReduced    = define(408, Info, "instance uses a part of the quotas, since it does not hear all others", "None unless it lasts; then check the instances that are not heard.", "Heard", "Known")
	QuotasWhole      = define(409, Info, "instance uses whole quotas again", "None.", "Heard", "Known")

	SignalOutdated = define(410, Info, "signal waited unread for too long; what it says of servers is ignored", "None after a pause of this instance; otherwise give it more processor time.", "Sender", "Milliseconds")

	HandOverDone     = define(500, Info, "request ids handed over", "None.", "Successor", "Records")
	HandOverFailed   = define(501, Alarm, "request ids not handed over", "Resends of requests of the last minutes are answered Unknown.", "Cause")
	HandOverReceived = define(502, Info, "request ids imported", "None.", "From", "Records")

	RequestServed   = define(600, Info, "request served", "None; only a sample is logged.", "Request", "Route", "Service", "Server", "Status", "Attempts", "Milliseconds", "FailChance", "Load", "Number", "Revision", "Account")
	RequestRefused  = define(601, Info, "request refused before it ran", "Check the reason; the caller may try again.", "Request", "Route", "Service", "Reason", "Status", "Attempts", "Milliseconds", "Server", "FailChance", "Load", "Number", "Revision", "Account")
	RequestFailed   = define(602, Info, "request failed", "Check the reason and the backend server.", "Request", "Route", "Service", "Reason", "Status", "Attempts", "Milliseconds", "Server", "FailChance", "Load", "Number", "Revision", "Account")
	RequestRetried  = define(603, Info, "request sent to another backend server", "None.", "Request", "Service", "Server", "Reason", "Attempts", "Milliseconds", "FailChance", "Load")
	RequestDetoured = define(605, Info, "request sent through another instance", "None; event 316 says why.", "Request", "Service", "Instance", "Milliseconds")
	DetourReceived  = define(606, Info, "request received from an instance that reaches no backend server", "None; see event 316 of that instance.", "Request", "Service", "Instance")
	AnswerOverdue   = define(604, Info, "answer is overdue", "None unless it is followed by 602.", "Request", "Service", "Server", "Milliseconds", "Load")
	KeyUnusable     = define(607, Alarm, "client account has keys that no request can carry", "Replace them by keys of 1 to 256 printable ASCII characters.", "Account", "Count")
	LinesSuppressed = define(690, Info, "log lines suppressed by the limit per second", "None; the metrics are complete.", "Left", "Count")
)
