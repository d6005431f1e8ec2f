package jydetector

import "time"

// Config sets up a Detector; zero durations take the defaults of this package.
type Config struct {
	// ServerDaysPerFalseEjection is the mean time between false ejections, in server-days.
	ServerDaysPerFalseEjection float64
	// FloorSlots is the capacity that ejections must leave.
	FloorSlots       int
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	ColdTime         time.Duration
	// ProbationTimeout is how long probation lasts if no evidence comes.
	ProbationTimeout time.Duration
	DrainingTimeout  time.Duration
}

// Defaults of Config.
const (
	DefaultBaseEjectionTime = 10 * time.Second
	DefaultMaxEjectionTime  = 5 * time.Minute
	DefaultColdTime         = 15 * time.Second
	DefaultProbationTimeout = 30 * time.Second
	DefaultDrainingTimeout  = 5 * time.Minute
)

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
