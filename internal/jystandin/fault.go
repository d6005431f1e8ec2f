package jystandin

import "time"

// Fault is how a backend server misbehaves; the zero value is none. It travels as JSON to FaultPath.
type Fault struct {
	// FailShare of the requests get status 500.
	FailShare float64
	// LoseShare of the requests get their connection closed without an answer.
	LoseShare float64
	// CutShare of the requests get half of their answer, and then their connection is closed.
	CutShare float64
	// HangShare of the requests get no answer at all.
	HangShare float64
	// EffectBeforeFault makes a request that meets a fault take effect all the same.
	EffectBeforeFault bool
	// SlowFactor multiplies the latency; 0 counts as 1.
	SlowFactor float64
	// FlapMilliseconds turns the fault on and off with this half period; 0 keeps it on.
	FlapMilliseconds int
	// SilenceShare of the connections open at this moment never answer again.
	SilenceShare float64
	// Draining sets the drain mark on all answers.
	Draining bool
	// CrashOn makes a request whose body contains this text end all connections; the server is away for CrashMilliseconds.
	CrashOn           string
	CrashMilliseconds int
}

// isOn reports whether a flapping fault shows at this time.
func (f Fault) isOn(now, since time.Time) bool {
	if f.FlapMilliseconds == 0 {
		return true
	}
	half := time.Duration(f.FlapMilliseconds) * time.Millisecond
	return (now.Sub(since)/half)%2 == 0
}
