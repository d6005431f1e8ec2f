//go:build review2

package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name.
var cases = map[string]func(l *lab, trouble bool) (broken bool, err error){}

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder of record.txt")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "lab2: no such case:", *name)
		os.Exit(exitNotRun)
	}
	os.Exit(playCase(play, *folder))
}

// playCase plays a case and returns the exit code.
func playCase(play func(*lab, bool) (bool, error), folder string) int {
	l, err := newLab(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab2:", err)
		return exitNotRun
	}
	defer l.close()
	broken, err := play(l, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		l.note("RULE BROKEN")
		return exitBroken
	}
	l.note("rule held")
	return exitHeld
}
