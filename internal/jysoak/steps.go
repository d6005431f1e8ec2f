package jysoak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	jyhoststandin "github.com/jackdawyard/jackdawyard/platform/standin"
)

// runStep applies a step at its start, and undoes it at its end.
func (s *soak) runStep(ctx context.Context, step Step) {
	if !sleepUntil(ctx, s.started.Add(step.At)) {
		return
	}
	undo := s.apply(step)
	sleepUntil(ctx, s.started.Add(step.End()))
	undo()
}

// sleepUntil waits until t, and returns false if ctx is done first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

// apply applies a step and returns the function that undoes it.
func (s *soak) apply(step Step) (undo func()) {
	if step.Kind.targetsInstance() {
		return s.applyToInstance(step.Kind, s.instances[step.Target])
	}
	switch step.Kind {
	case LinkDelay, LinkReset, LinkOneWay, LinkSilent:
		return s.setLink(s.links[step.Target], map[StepKind]linkMode{
			LinkDelay: modeDelayed, LinkReset: modeReset,
			LinkOneWay: modeOneWay, LinkSilent: modeSilent,
		}[step.Kind])
	case StoreSilent:
		return s.setLink(s.storeLink, modeSilent)
	case StoreAway:
		s.store.SetUnavailable(true)
		return func() { s.store.SetUnavailable(false) }
	case StoreForgets:
		s.store.Compact()
	case ServerFault:
		s.servers[step.Target].SetFault(serverFaults[step.FaultIndex])
		return func() { s.servers[step.Target].SetFault(jyhoststandin.None) }
	case ServerDrain:
		s.servers[step.Target].Drain(s.store)
		return func() { s.servers[step.Target].Register(s.store) }
	case ServerLimit:
		s.servers[step.Target].SetLimit(fmt.Sprint(step.PerSecond))
		return func() { s.servers[step.Target].SetLimit("") }
	case RouteMoves:
		s.moveRoutes()
	case OldVersionPut:
		s.republishOldVersion()
	}
	return func() {}
}

// setLink sets the mode of a link. The returned function opens it again.
func (s *soak) setLink(l *link, m linkMode) (undo func()) {
	l.setMode(m)
	return func() { l.setMode(modeOpen) }
}

// versionIncrement is the difference between the numbers of successive versions.
const versionIncrement = 2

// publish puts a version into the store and appends it to published.
func (s *soak) publish(c configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published = append(s.published, c)
	s.store.PublishConfiguration(c.version, c.service)
}

// moveRoutes publishes the next version, with the routes at the second service.
func (s *soak) moveRoutes() {
	s.mu.Lock()
	last := s.published[len(s.published)-1]
	s.mu.Unlock()
	s.publish(configuration{version: last.version + versionIncrement, service: serviceNames[1]})
}

// republishOldVersion puts the version before the newest one into the store again, if there is one.
func (s *soak) republishOldVersion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.published); n > 1 {
		old := s.published[n-2]
		s.store.PublishConfiguration(old.version, old.service)
	}
}

// applyToInstance sends the step's signal and returns the function that restarts or resumes the process.
func (s *soak) applyToInstance(k StepKind, in *instance) (undo func()) {
	switch k {
	case Kill:
		<-in.signal(syscall.SIGKILL)
		return func() { s.restart(in) }
	case Terminate:
		exited := in.signal(syscall.SIGTERM)
		return func() {
			select {
			case <-exited:
			case <-time.After(shutdownTimeout):
				<-in.signal(syscall.SIGKILL)
			}
			s.restart(in)
		}
	case Pause:
		in.signal(syscall.SIGSTOP)
		return func() { in.signal(syscall.SIGCONT) }
	}
	in.signal(syscall.SIGHUP)
	return func() {}
}

// restart starts the process again, unless an overlapping step already did.
func (s *soak) restart(in *instance) {
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	select {
	case <-exited:
	default:
		return
	}
	if err := in.start(); err != nil {
		fmt.Fprintln(in.logFile, err)
	}
}
