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
	if step.Kind == ServersCut {
		return s.cutOffServers(s.instances[step.Target], cutModes[step.FaultIndex])
	}
	if step.Kind == StoreCut {
		return s.setLinks(s.storeLinks[step.Target:step.Target+1], modeSilent)
	}
	if step.Kind.targetsInstance() {
		return s.applyToInstance(step.Kind, s.instances[step.Target])
	}
	switch step.Kind {
	case LinkDelay, LinkReset, LinkOneWay, LinkSilent:
		return s.setLinks(s.links[step.Target:step.Target+1], map[StepKind]linkMode{
			LinkDelay: modeDelayed, LinkReset: modeReset,
			LinkOneWay: modeOneWay, LinkSilent: modeSilent,
		}[step.Kind])
	case StoreSilent:
		return s.setLinks(s.storeLinks, modeSilent)
	case StoreAway:
		s.store.SetUnavailable(true)
		return func() { s.store.SetUnavailable(false) }
	case StoreForgets:
		s.store.Compact()
	case StoreRestored:
		return s.restoreStore(step)
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
	case KeyRemoved:
		s.removeKey()
	case OldVersionPut:
		s.republish(1)
		return func() { s.republish(0) }
	}
	return func() {}
}

// cutOffServers cuts an instance off from all servers. The returned function ends that.
func (s *soak) cutOffServers(in *instance, m cutMode) (undo func()) {
	for _, l := range s.links {
		l.cutOff(in.host, m)
	}
	return func() {
		for _, l := range s.links {
			l.cutOff(in.host, cutNone)
		}
	}
}

// setLinks sets the mode of links. The returned function opens them again.
func (s *soak) setLinks(links []*link, m linkMode) (undo func()) {
	for _, l := range links {
		l.setMode(m)
	}
	return func() {
		for _, l := range links {
			l.setMode(modeOpen)
		}
	}
}

// versionIncrement is the difference between the numbers of successive versions.
const versionIncrement = 2

// publish puts a version into the store and appends it to published.
func (s *soak) publish(c configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published = append(s.published, c)
	s.put(c)
}

// put puts a version into the store.
func (s *soak) put(c configuration) {
	s.store.PublishConfiguration(c.version, c.service, c.added, s.accounts(c)...)
}

// moveRoutes publishes the next version, with the routes at the second service and one more added route.
func (s *soak) moveRoutes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.published[len(s.published)-1]
	next := last
	next.version += versionIncrement
	next.service = serviceNames[1]
	next.added++
	s.published = append(s.published, next)
	s.put(next)
	s.added = append(s.added, time.Since(s.started))
}

// lastAddedRoute returns the number of the route that was added last, or 0 if there is none.
func (s *soak) lastAddedRoute() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.added)
}

// republish puts the version that is the given number of versions before the newest into the store again, if there is one.
func (s *soak) republish(before int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.published) - 1 - before; n >= 0 {
		s.put(s.published[n])
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
