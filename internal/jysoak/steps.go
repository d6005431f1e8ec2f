package jysoak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	jyhoststandin "github.com/jackdawyard/jackdawyard/platform/standin"
)

// carryOut does a step at its time, and undoes it at its end.
func (s *soak) carryOut(ctx context.Context, step Step) {
	if !sleepUntil(ctx, s.started.Add(step.At)) {
		return
	}
	undo := s.do(step)
	sleepUntil(ctx, s.started.Add(step.End()))
	undo()
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

func (s *soak) do(step Step) (undo func()) {
	if step.Kind.touchesInstance() {
		return s.doToInstance(step.Kind, s.instances[step.Target])
	}
	switch step.Kind {
	case LinkDelay, LinkReset, LinkOneWay, LinkSilent:
		return s.setLink(s.links[step.Target], map[StepKind]mode{LinkDelay: delayed, LinkReset: reset, LinkOneWay: oneWay, LinkSilent: silent}[step.Kind])
	case StoreSilent:
		return s.setLink(s.storeLink, silent)
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
	case RouteMoves:
		s.moveRoutes()
	case OldVersionPut:
		s.showOldVersion()
	}
	return func() {}
}

func (s *soak) setLink(l *link, m mode) (undo func()) {
	l.set(m)
	return func() { l.set(open) }
}

// versionStep is by how much the numbers of versions differ.
const versionStep = 2

// publish puts a version into the store.
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
	s.publish(configuration{version: last.version + versionStep, service: services[1]})
}

// showOldVersion puts the version before the newest into the store again, if there is one.
func (s *soak) showOldVersion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.published); n > 1 {
		old := s.published[n-2]
		s.store.PublishConfiguration(old.version, old.service)
	}
}

func (s *soak) doToInstance(k StepKind, in *instance) (undo func()) {
	switch k {
	case Kill:
		<-in.signal(syscall.SIGKILL)
		return func() { s.restart(in) }
	case Terminate:
		ended := in.signal(syscall.SIGTERM)
		return func() {
			select {
			case <-ended:
			case <-time.After(graceTime):
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
	ended := in.ended
	in.mu.Unlock()
	select {
	case <-ended:
	default:
		return
	}
	if err := in.start(); err != nil {
		fmt.Fprintln(in.log, err)
	}
}
