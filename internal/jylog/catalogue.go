package jylog

var catalogue []Event

func define(number int, s Severity, message, advice string, fields ...string) Event {
	e := Event{Number: number, Severity: s, Message: message, Advice: advice, Fields: fields}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Event { return catalogue }

// The events of an instance.
var (
	InstanceStarted  = define(100, Info, "instance started", "None.", "Instance", "Boot", "CallerAddress", "PeerAddress")
	InstanceReady    = define(101, Info, "instance ready for callers", "None.", "Number")
	InstanceDraining = define(102, Info, "instance draining", "None; it ends when its requests have ended.", "InProgress")
	InstanceStopped  = define(103, Info, "instance stopped", "None.", "CutOff")
	PauseDetected    = define(104, Alarm, "process was paused", "Look for an overloaded or frozen machine.", "PauseMilliseconds")
	SettingsReloaded = define(106, Info, "settings read again", "Seeds are in force now; what else changed is at the next start.", "Changed")
	SettingsRefused  = define(107, Alarm, "changed settings refused", "Correct the file; the former settings stay in force.", "Cause")
	ServiceFailed    = define(105, Alarm, "service failed", "Read the cause; the instance stops.", "Cause")

	NoteApplied         = define(200, Info, "release note in force", "None.", "Number", "Digest", "Source")
	NoteRefused         = define(201, Alarm, "release note refused", "Correct the content and publish it under the next number.", "Number", "Cause")
	NoteConflict        = define(202, Alarm, "release note published twice with different content", "Publish a base note under the next number.", "Number", "Cause")
	NoteWaiting         = define(203, Info, "release note waits for a lower number", "Publish the missing number.", "Number", "InForce")
	PlatformUnreachable = define(204, Alarm, "configuration service cannot be read", "Restore it; the fleet goes on with what is in force.", "Cause")
	PlatformReachable   = define(205, Info, "configuration service can be read again", "None.")
	EntryUnreadable     = define(207, Alarm, "entry of the store cannot be read", "Look for who wrote it; it names no backend server.", "Key", "Revision", "Cause")
	StateApplied        = define(208, Info, "configuration and servers in force", "None.", "Number", "Revision", "Servers")
	FeedSourceLeft      = define(209, Info, "instance does not tell of changes in time, the store is asked", "None, unless it goes on: look at the instance.", "Instance", "AgeMilliseconds", "Cause")
	PeerNoteDiffers     = define(206, Alarm, "peer holds other content under the same number", "Publish a base note under the next number.", "Peer", "Number", "Digest", "PeerDigest")

	ServerEjected           = define(300, Alarm, "backend server ejected", "Look at the backend server; it is tried again by itself.", "Service", "Server", "Cause", "Score")
	ServerProbation         = define(301, Info, "backend server on probation", "None.", "Service", "Server")
	ServerReturned          = define(302, Info, "backend server returned", "None.", "Service", "Server")
	EjectionWithheld        = define(303, Alarm, "ejection withheld at the floor", "Add capacity or mend the named backend server.", "Service", "Server", "Floor")
	ServiceFault            = define(304, Alarm, "service fails as a whole; nobody is ejected", "Look at what the service's backend servers share.", "Service", "Server")
	ServerDraining          = define(305, Info, "backend server drains", "None.", "Service", "Server")
	SilentConnectionDropped = define(306, Info, "silent connection dropped", "Look for a device that drops idle flows if there are many.", "Server")
	RequestBlocked          = define(307, Alarm, "request blocked: it ended backend servers", "Look at the request's content.", "Fingerprint", "Servers")

	ServerBelievedGray    = define(308, Info, "backend server is believed gray", "Look at the backend server if it stays so; requests avoid it meanwhile.", "Service", "Server", "GrayChance", "Outcome", "Source")
	ServerBelievedHealthy = define(309, Info, "backend server is believed well again", "None.", "Service", "Server", "GrayChance", "Source")

	ServersUnused        = define(310, Info, "backend servers get no requests", "Look at what keeps them out: doubted ones fail what they are sent, passed over ones are out of reach of this instance.", "Service", "Servers", "Unused", "Doubted", "PassedOver", "Named", "LongestMilliseconds", "UnservedShare")
	ServerPauseRequested = define(311, Info, "backend server wants no requests from this instance for a while", "Look at the backend server's load if it asks often.", "Service", "Server", "Milliseconds")

	MemberJoined  = define(400, Info, "instance joined", "None.", "Instance", "Boot")
	MemberSuspect = define(401, Info, "instance suspected", "None unless it is followed by 402.", "Instance")
	MemberDead    = define(402, Alarm, "instance lost", "Check that the platform replaces it.", "Instance")
	MemberLeft    = define(403, Info, "instance left", "None.", "Instance")
	PeerRefused   = define(404, Alarm, "peer call refused: wrong key", "Give all instances the same SharedKey.", "Remote")

	SignalUnreadable = define(405, Alarm, "signal of a peer cannot be read or sent", "Look for a foreign sender at the signal port.", "Cause")

	HandOverDone     = define(500, Info, "request ids handed over", "None.", "Successor", "Records")
	HandOverFailed   = define(501, Alarm, "request ids not handed over", "Resends of the last minutes are answered Unknown.", "Cause")
	HandOverReceived = define(502, Info, "request ids taken over", "None.", "From", "Records")

	RequestServed   = define(600, Info, "request served", "None; a sample.", "Request", "Route", "Service", "Server", "Status", "Attempts", "Milliseconds", "FailChance", "Load", "Number", "Revision")
	RequestRefused  = define(601, Info, "request refused before it ran", "Look at the reason; the caller may come back.", "Request", "Route", "Service", "Reason", "Status", "Attempts", "Milliseconds", "Server", "FailChance", "Load", "Number", "Revision")
	RequestFailed   = define(602, Info, "request failed", "Look at the reason and at the backend server.", "Request", "Route", "Service", "Reason", "Status", "Attempts", "Milliseconds", "Server", "FailChance", "Load", "Number", "Revision")
	RequestRetried  = define(603, Info, "request sent to another backend server", "None.", "Request", "Service", "Server", "Reason", "Attempts", "Milliseconds", "FailChance", "Load")
	AnswerOverdue   = define(604, Info, "answer is overdue", "None unless it is followed by 602.", "Request", "Service", "Server", "Milliseconds", "Load")
	LinesSuppressed = define(690, Info, "lines left out to bound the log", "None; counters are complete.", "Left", "Count")
)
