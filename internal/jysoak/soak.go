package jysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	jyhoststandin "github.com/jackdawyard/jackdawyard/platform/standin"
)

// Config sets up a soak.
type Config struct {
	// Program is the file of the program, and Folder takes its settings and logs.
	Program   string
	Folder    string
	Seed      uint64
	Faults    time.Duration // how long steps come
	Instances int
	Servers   int // of each of the two services
	Rate      float64
}

// The faults that servers are given.
var serverFaults = []jyhoststandin.Fault{
	jyhoststandin.Errors, jyhoststandin.Shed, jyhoststandin.Hang, jyhoststandin.Reset, jyhoststandin.Unsigned,
	jyhoststandin.Truncated, jyhoststandin.Stray, jyhoststandin.Extra, jyhoststandin.Encoded,
}

const (
	firstVersion = 3
	startTime    = 20 * time.Second
	// tailTime is how long requests are sent after the time of recovery.
	tailTime = 3 * time.Second
	workTime = 40 * time.Millisecond
	// safeShare is the share of requests that may be repeated.
	safeShare = 0.5
)

var services = []string{"s1", "s2"}

// soak is one run.
type soak struct {
	config    Config
	started   time.Time
	store     *jyhoststandin.Store
	storeLink *link
	instances []*instance
	servers   []*jyhoststandin.Server // of both services, by turns
	links     []*link                 // of the servers
	wg        sync.WaitGroup

	mu        sync.Mutex
	published []configuration
	asked     []Asked
}

// configuration is a version that was published, and the service that its routes go to.
type configuration struct {
	version int
	service string
}

// Run carries a plan out and returns what was seen; its errors are of kind NotStarted.
func Run(ctx context.Context, c Config) (Record, error) {
	s := &soak{config: c, store: jyhoststandin.NewStore()}
	front := httptest.NewServer(s.store)
	defer front.CloseClientConnections()
	defer s.stop()
	if err := s.start(strings.TrimPrefix(front.URL, "http://")); err != nil {
		return Record{}, err
	}
	s.started = time.Now()
	record := Record{Plan: Plan(c.Seed, c.Faults, c.Instances, 2*c.Servers, len(serverFaults)), Calm: c.Faults}
	record.Time = record.Calm + recovery + tailTime
	callers := make(chan struct{})
	go func() {
		defer close(callers)
		s.call(ctx, record.Time)
	}()
	for _, step := range record.Plan {
		s.wg.Go(func() { s.carryOut(ctx, step) })
	}
	<-callers
	s.wg.Wait()
	record.Asked, record.Ran = s.asked, s.ran()
	return record, nil
}

func (s *soak) start(store string) error {
	var err error
	if s.storeLink, err = newLink(store); err != nil {
		return err
	}
	for i := range 2 * s.config.Servers {
		server := jyhoststandin.NewServer(fmt.Sprintf("i-%d", i), services[i%2])
		server.SetDelay(workTime)
		l, err := newLink(server.Address())
		if err != nil {
			return err
		}
		server.Advertised = l.address()
		s.servers, s.links = append(s.servers, server), append(s.links, l)
		server.Register(s.store)
	}
	s.publish(configuration{version: firstVersion, service: services[0]})
	return s.startInstances()
}

func (s *soak) startInstances() error {
	var list []addresses
	var seeds []string
	for range s.config.Instances {
		a, err := freeAddresses()
		if err != nil {
			return err
		}
		list, seeds = append(list, a), append(seeds, a.peer)
	}
	for i, a := range list {
		in, err := newInstance(s.config.Program, s.config.Folder, fmt.Sprintf("entry-%d", i), a, s.storeLink.address(), seeds)
		if err != nil {
			return err
		}
		s.instances = append(s.instances, in)
		if err := in.start(); err != nil {
			return err
		}
	}
	for _, in := range s.instances {
		if !in.waitReady(startTime) {
			return jyfault.New("start instances", NotStarted, "%s is not ready", in.name)
		}
	}
	return nil
}

// stop ends all that was started.
func (s *soak) stop() {
	var wg sync.WaitGroup
	for _, in := range s.instances {
		if in.process != nil {
			wg.Go(in.end)
		}
	}
	wg.Wait()
	for i, server := range s.servers {
		s.links[i].close()
		server.SetFault(jyhoststandin.None)
		server.Close()
	}
	s.storeLink.close()
}

// call sends requests at the rate until the time is over, and waits for all answers.
func (s *soak) call(ctx context.Context, t time.Duration) {
	random := rand.New(rand.NewPCG(s.config.Seed, 13))
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil && time.Since(s.started) < t; n++ {
		id, isSafe, to := fmt.Sprintf("request-%d", n), random.Float64() < safeShare, random.IntN(len(s.instances))
		wg.Go(func() { s.ask(id, isSafe, to) })
		time.Sleep(time.Duration(random.ExpFloat64() / s.config.Rate * float64(time.Second)))
	}
	wg.Wait()
}

func (s *soak) ask(id string, isSafe bool, to int) {
	in := s.instances[to]
	a := Asked{ID: id, IsSafe: isSafe, Instance: to, Life: in.life(), Sent: time.Since(s.started)}
	method, path := http.MethodPost, jyhoststandin.UnsafePath
	if isSafe {
		method, path = http.MethodGet, jyhoststandin.SafePath
	}
	answer := in.caller.Ask(id, method, path+id)
	a.Ended = time.Since(s.started)
	if answer.Err == nil {
		a.Status, a.Body, a.Signed = answer.Status, answer.Body, answer.Signature != ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, a)
}

func (s *soak) ran() []Ran {
	var out []Ran
	for i, server := range s.servers {
		for _, r := range server.Requests() {
			out = append(out, Ran{ID: r.ID, Server: i, Service: i % 2, At: r.At.Sub(s.started)})
		}
	}
	return out
}

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
		return s.setLink(s.links[step.Target], map[Kind]mode{LinkDelay: delayed, LinkReset: reset, LinkOneWay: oneWay, LinkSilent: silent}[step.Kind])
	case StoreSilent:
		return s.setLink(s.storeLink, silent)
	case StoreAway:
		s.store.SetAway(true)
		return func() { s.store.SetAway(false) }
	case StoreForgets:
		s.store.Compact()
	case ServerFault:
		s.servers[step.Target].SetFault(serverFaults[step.Fault])
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

func (s *soak) doToInstance(k Kind, in *instance) (undo func()) {
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
