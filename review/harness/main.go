//go:build review

// The program of the review's scripts: each case starts a small deployment, disturbs it as the pages allow, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// environment is what a case needs of its surroundings.
type environment struct {
	root    string // of the repository
	trouble bool   // false leaves the disruption out
	rec     *recorder
}

// cases returns true if the rule was broken.
var cases = map[string]func(environment) bool{
	"gone-kept":         goneKept,
	"stop-busy":         stopBusy,
	"blocked-caller":    blockedCaller,
	"double-slash":      doubleSlash,
	"healthy-forgotten": healthyForgotten,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: harness CASE FOLDER")
	}
	root, err := os.Getwd()
	if err != nil {
		fail("%v", err)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		fail("interrupted")
	}()
	e := environment{root: root, trouble: os.Getenv("TROUBLE") != "0", rec: newRecorder(filepath.Join(os.Args[2], "record.txt"))}
	broken := cases[os.Args[1]](e)
	cleanUp()
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
