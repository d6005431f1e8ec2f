package jyoutcome

// Reason is the stable code of a refusal, as listed in docs/INTERFACES.md.
type Reason string

// The reasons of a refusal.
const (
	BadRequest         Reason = "BadRequest"         // malformed, or of a kind that is not served
	NoRoute            Reason = "NoRoute"            // no route matches the request
	NoReleaseNote      Reason = "NoReleaseNote"      // the instance has no release note yet
	BodyTooLarge       Reason = "BodyTooLarge"       // the request body is over its limit
	CallerLimit        Reason = "CallerLimit"        // the caller is over its rate or concurrency
	KeyMissing         Reason = "KeyMissing"         // the route needs a key, and the request has none
	KeyInvalid         Reason = "KeyInvalid"         // the key is malformed, or there are several
	KeyUnknown         Reason = "KeyUnknown"         // the key belongs to no client account
	AccountsStale      Reason = "AccountsStale"      // the instance does not know whether keys were taken away lately
	QuotaReached       Reason = "QuotaReached"       // the client account is over its quota
	Overloaded         Reason = "Overloaded"         // the instance is full, or no server or connection is free
	LimitReached       Reason = "LimitReached"       // all servers that could run it are at the limits that they state
	NoBackendServer    Reason = "NoBackendServer"    // the service has no usable server
	DeadlinePassed     Reason = "DeadlinePassed"     // there was no answer within the deadline
	NoPath             Reason = "NoPath"             // no instance that was asked reaches a backend server of the service
	OtherConfiguration Reason = "OtherConfiguration" // between instances only: the one that was asked has another configuration
	ConnectFailed      Reason = "ConnectFailed"      // no connection to the backend server could be opened
	DeclaredNotRun     Reason = "DeclaredNotRun"     // the backend server declared that it did not run the request
	AnswerLost         Reason = "AnswerLost"         // the request was sent, but no complete, valid answer was received
	ServerError        Reason = "ServerError"        // the backend server answered with a 5xx status
	AnswerTooLarge     Reason = "AnswerTooLarge"     // the answer is too large to be stored for resends
	RequestBlocked     Reason = "RequestBlocked"     // the request crashed backend servers
	RequestIDInvalid   Reason = "RequestIdInvalid"   // malformed, or not issued to this caller
	RequestIDExpired   Reason = "RequestIdExpired"   // the id is past its lifetime
	RequestIDReused    Reason = "RequestIdReused"    // the id was used by another caller or for another request
	RequestIDTableFull Reason = "RequestIdTableFull" // the instance has no capacity to record the id
	OwnerUnreachable   Reason = "OwnerUnreachable"   // the instance that owns the id gave no result
	ShuttingDown       Reason = "ShuttingDown"       // the instance that owns the id is handing its ids over
	CancelledByCaller  Reason = "CancelledByCaller"  // the caller disconnected
)
