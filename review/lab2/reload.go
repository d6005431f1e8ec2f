//go:build review2

package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["reload"] = playReload }

const (
	reloadRounds  = 3
	reloadedCount = 2 // machines: a tenth of those in use, two at least
	// reloadLead is the time from the start of a process to its SIGHUP.
	reloadLead   = time.Millisecond
	restartDelay = 500 * time.Millisecond
)

// playReload restarts two of three machines three times, as planned, and sends each SIGHUP for a change of the settings file: right after
// the start or, without the trouble, once it is ready. No process may end by itself.
func playReload(l *lab, trouble bool) (broken bool, err error) {
	if _, err := l.startServer("server-1", "lookup", 10*time.Millisecond); err != nil {
		return false, err
	}
	l.publish(3, route{name: "lookup", prefix: "/lookup/", kind: "safe", service: "lookup", timeout: "1000ms", maxAttempts: 2})
	if err := l.startInstances(3); err != nil {
		return false, err
	}
	ends := make([]int, reloadedCount)
	errs := make([]error, reloadedCount)
	var machines sync.WaitGroup
	for i, in := range l.instances[:reloadedCount] {
		machines.Go(func() {
			for range reloadRounds {
				hasEnded, err := l.restartAndReload(in, trouble)
				if err != nil {
					errs[i] = err
					return
				}
				if hasEnded {
					ends[i]++
				}
			}
		})
	}
	machines.Wait()
	broken = true
	for i, n := range ends {
		if errs[i] != nil {
			return false, errs[i]
		}
		l.note("the process of %s ended by itself %d times", l.instances[i].name, n)
		broken = broken && n >= reloadRounds
	}
	return broken, nil
}

// restartAndReload stops and starts an instance, changes its settings file and sends it SIGHUP. It reports whether the process ended by
// itself; then it is started again.
func (l *lab) restartAndReload(in *instance, trouble bool) (hasEnded bool, err error) {
	l.note("%s gets SIGTERM", in.name)
	in.stop()
	if err := in.start(); err != nil {
		return false, err
	}
	l.note("%s starts", in.name)
	if trouble {
		time.Sleep(reloadLead)
	} else if !in.waitReady(readyTimeout) {
		return false, errNotReady
	}
	if err := l.changeSettings(in); err != nil {
		return false, err
	}
	in.signal(syscall.SIGHUP)
	l.note("%s gets SIGHUP", in.name)
	if in.waitReady(readyTimeout) {
		r := request{id: fmt.Sprintf("%s-%d", in.name, time.Now().UnixNano()), method: "GET", target: "/lookup/1"}
		l.note("%s is ready; %s: %v", in.name, r.id, in.send(r))
		return false, nil
	}
	if !in.hasEnded() {
		return false, errNotReady
	}
	l.note("the process of %s ended by itself: %v", in.name, in.process.ProcessState)
	time.Sleep(restartDelay)
	if err := in.start(); err != nil {
		return false, err
	}
	if !in.waitReady(readyTimeout) {
		return false, errNotReady
	}
	l.note("%s is ready again", in.name)
	return true, nil
}

// changeSettings writes the settings file again.
func (l *lab) changeSettings(in *instance) error {
	raw, err := os.ReadFile(in.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(in.settings, raw, 0o600)
}
