package jytest

import (
	"flag"
	"fmt"
	"os"
	"testing"

	// Registers the flags that RunWithFixedSeed sets.
	_ "pgregory.net/rapid"
)

// RapidOptions sets how much of the input space rapid tries; 0 keeps rapid's default.
type RapidOptions struct {
	Checks int // inputs per property
	Steps  int // mean number of actions of a state machine test
}

// RunWithFixedSeed runs a package's tests with a fixed seed and exits the process. Flags such as -rapid.seed on the command line
// take precedence.
func RunWithFixedSeed(m *testing.M, o RapidOptions) {
	setFlag("rapid.seed", "1")
	if o.Checks > 0 {
		setFlag("rapid.checks", fmt.Sprint(o.Checks))
	}
	if o.Steps > 0 {
		setFlag("rapid.steps", fmt.Sprint(o.Steps))
	}
	os.Exit(m.Run())
}

// setFlag sets a flag before m.Run parses the command line, which overrides it.
func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
