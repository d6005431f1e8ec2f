package jydetector

import "time"

// Config sets up a Detector; zero durations take the defaults of this package.
type Config struct {
	// ServerDaysPerFalseEjection is the mean time between false ejections, in server-days.
	ServerDaysPerFalseEjection float64
	// FloorSlots is the capacity that ejections must leave.
	FloorSlots   int
	BaseEjection time.Duration
	MaxEjection  time.Duration
	ColdTime     time.Duration
	// ProbationWait is how long probation lasts if no evidence comes.
	ProbationWait time.Duration
	DrainMemory   time.Duration
}

// Defaults of Config.
const (
	DefaultBaseEjection  = 10 * time.Second
	DefaultMaxEjection   = 5 * time.Minute
	DefaultColdTime      = 15 * time.Second
	DefaultProbationWait = 30 * time.Second
	DefaultDrainMemory   = 5 * time.Minute
)

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.BaseEjection, DefaultBaseEjection)
	set(&c.MaxEjection, DefaultMaxEjection)
	set(&c.ColdTime, DefaultColdTime)
	set(&c.ProbationWait, DefaultProbationWait)
	set(&c.DrainMemory, DefaultDrainMemory)
	return c
}
