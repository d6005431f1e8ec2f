package jytest

import (
	"flag"
	"fmt"
	"os"
	"testing"

	// The flags that Explore sets are rapid's.
	_ "pgregory.net/rapid"
)

// RapidOptions is how far rapid explores.
type RapidOptions struct {
	Checks int
	Steps  int
}

// RunWithFixedSeed runs a package's tests with a fixed seed; the flags -rapid.seed and -rapid.checks given on the command line go before.
func RunWithFixedSeed(m *testing.M, e RapidOptions) {
	set("rapid.seed", "1")
	if e.Checks > 0 {
		set("rapid.checks", fmt.Sprint(e.Checks))
	}
	if e.Steps > 0 {
		set("rapid.steps", fmt.Sprint(e.Steps))
	}
	os.Exit(m.Run())
}

// set changes the default of a flag: m.Run parses the command line after it.
func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
