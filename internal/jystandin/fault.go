package jystandin

import "time"

// Fault describes how a backend server misbehaves. The zero value is no fault. FaultPath accepts it as JSON. Shares are
// probabilities from 0 to 1.
type Fault struct {
	// FailShare is the share of requests that are answered with status 500.
	FailShare float64
	// LoseShare is the share of requests whose connection is closed without an answer.
	LoseShare float64
	// CutShare is the share of successful answers that are cut off in the middle, by closing the connection.
	CutShare float64
	// HangShare is the share of requests that get no answer while their connection stays open.
	HangShare float64
	// EffectBeforeFault makes requests that fail by FailShare, LoseShare or HangShare take effect first.
	EffectBeforeFault bool
	// SlowFactor multiplies the latency; 0 leaves it unchanged.
	SlowFactor float64
	// FlapMilliseconds is the half period at which the fault turns on and off, on first; 0 keeps it on. CrashOn and SilenceShare
	// don't flap.
	FlapMilliseconds int
	// SilenceShare is the share of the connections open when the fault is set that never answer again, also under later faults.
	SilenceShare float64
	// Draining sets DrainHeader on successful answers.
	Draining bool
	// CrashOn makes a request whose body contains this text simulate a crash: all connections are closed, and new ones are closed
	// at once for CrashMilliseconds.
	CrashOn           string
	CrashMilliseconds int
}

// isActive reports whether a fault that was set at setAt applies now: always, or in the on half periods of a flapping one.
func (f Fault) isActive(now, setAt time.Time) bool {
	if f.FlapMilliseconds == 0 {
		return true
	}
	halfPeriod := time.Duration(f.FlapMilliseconds) * time.Millisecond
	return (now.Sub(setAt)/halfPeriod)%2 == 0
}
