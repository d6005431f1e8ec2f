package jyoutcome

// Reason is the stable code of a refusal, as listed in docs/INTERFACES.md.
type Reason string

// The reasons of a refusal.
const (
	BadRequest         Reason = "BadRequest"
	NoRoute            Reason = "NoRoute"
	NoReleaseNote      Reason = "NoReleaseNote"
	BodyTooLarge       Reason = "BodyTooLarge"
	CallerLimit        Reason = "CallerLimit"
	Overloaded         Reason = "Overloaded"
	NoBackendServer    Reason = "NoBackendServer"
	DeadlinePassed     Reason = "DeadlinePassed"
	ConnectFailed      Reason = "ConnectFailed"
	DeclaredNotRun     Reason = "DeclaredNotRun"
	AnswerLost         Reason = "AnswerLost"
	ServerError        Reason = "ServerError"
	AnswerTooLarge     Reason = "AnswerTooLarge"
	RequestBlocked     Reason = "RequestBlocked"
	RequestIDInvalid   Reason = "RequestIdInvalid"
	RequestIDExpired   Reason = "RequestIdExpired"
	RequestIDReused    Reason = "RequestIdReused"
	RequestIDTableFull Reason = "RequestIdTableFull"
	OwnerUnreachable   Reason = "OwnerUnreachable"
	ShuttingDown       Reason = "ShuttingDown"
	CancelledByCaller  Reason = "CancelledByCaller"
)
