package jydetector

import "time"

// Config holds the settings of a Detector. A duration of zero means its default.
type Config struct {
	// ServerDaysPerFalseEjection is the allowed mean time between false ejections, in server-days. It must be above 0.
	ServerDaysPerFalseEjection float64
	// FloorSlots is the least number of slots that the other Healthy servers must have for a server to be ejected.
	FloorSlots int
	// BaseEjectionTime is the duration of a first ejection. It doubles with each recent ejection of the server, up to
	// MaxEjectionTime.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// ColdTime is the duration of the Cold phase.
	ColdTime time.Duration
	// ProbationTimeout is the duration of the Probation phase if the evidence does not end it earlier.
	ProbationTimeout time.Duration
	// DrainingTimeout is how long a server stays Draining after the last report that it drains.
	DrainingTimeout time.Duration
}

// Defaults of the durations in Config.
const (
	DefaultBaseEjectionTime = 10 * time.Second
	DefaultMaxEjectionTime  = 5 * time.Minute
	DefaultColdTime         = 15 * time.Second
	DefaultProbationTimeout = 30 * time.Second
	DefaultDrainingTimeout  = 5 * time.Minute
)

// withDefaults returns the settings with the default of each duration that is zero.
func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.BaseEjectionTime, DefaultBaseEjectionTime)
	set(&c.MaxEjectionTime, DefaultMaxEjectionTime)
	set(&c.ColdTime, DefaultColdTime)
	set(&c.ProbationTimeout, DefaultProbationTimeout)
	set(&c.DrainingTimeout, DefaultDrainingTimeout)
	return c
}
