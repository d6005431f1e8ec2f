package jysoak

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	jyhoststandin "github.com/jackdawyard/jackdawyard/platform/standin"
)

// Config holds the settings of a soak.
type Config struct {
	// Program is the path of the executable. Folder receives its settings and logs.
	Program           string
	Folder            string
	Seed              uint64
	FaultDuration     time.Duration // period in which steps run
	Instances         int
	ServersPerService int     // servers of each of the two services
	RequestRate       float64 // mean requests per second of all callers
	// Revocations makes requests carry keys, which are taken away at times.
	Revocations bool
}

// The faults that a ServerFault step chooses from.
var serverFaults = []jyhoststandin.Fault{
	jyhoststandin.Errors, jyhoststandin.Shed, jyhoststandin.Hang, jyhoststandin.Reset, jyhoststandin.Unsigned,
	jyhoststandin.Truncated, jyhoststandin.Stray, jyhoststandin.Extra, jyhoststandin.Encoded,
}

const (
	firstVersion = 3                // of the configuration
	startTimeout = 20 * time.Second // for each instance to become ready
	// tailTime is how long requests are sent and checked after recoveryTime.
	tailTime    = 3 * time.Second
	serviceTime = 40 * time.Millisecond // of a request at a server
)

var serviceNames = []string{"s1", "s2"}

// soak is one run of a plan.
type soak struct {
	config     Config
	started    time.Time // offsets count from here
	store      *jyhoststandin.Store
	storeLinks []*link // between the instances and the store, by instance
	instances  []*instance
	servers    []*jyhoststandin.Server // of both services alternately
	links      []*link                 // between the instances and the servers, by server
	wg         sync.WaitGroup          // of the running steps

	mu        sync.Mutex
	published []configuration
	added     []time.Duration // when each added route was published
	removed   []time.Duration // when each key was taken away
	copies    []storeCopy     // in order of their age, the oldest first
	requests  []Request
}

// configuration is a version of the configuration, whose routes all use one service.
type configuration struct {
	version int
	service string
	added   int // number of added routes
	removed int // number of keys that were taken away
}

// Run runs the plan of c.Seed against instances started as processes, and returns what was observed. Its errors are of kind
// NotStarted.
func Run(ctx context.Context, c Config) (Record, error) {
	s := &soak{config: c, store: jyhoststandin.NewStore()}
	storeServer := httptest.NewServer(s.store)
	defer storeServer.CloseClientConnections()
	defer s.stop()
	if err := s.start(strings.TrimPrefix(storeServer.URL, "http://")); err != nil {
		return Record{}, err
	}
	s.started = time.Now()
	record := Record{
		Plan:        GeneratePlan(c.Seed, c.FaultDuration, c.Instances, 2*c.ServersPerService, len(serverFaults)),
		FaultsEnded: c.FaultDuration,
	}
	if c.Revocations {
		record.Plan = addRevocations(record.Plan, c.Seed, c.FaultDuration, c.Instances)
	}
	record.End = record.FaultsEnded + recoveryTime + tailTime
	callersDone := make(chan struct{})
	go func() {
		defer close(callersDone)
		s.sendRequests(ctx, record.End)
	}()
	s.wg.Go(func() { s.copyStore(ctx, record.FaultsEnded) })
	for _, step := range record.Plan {
		s.wg.Go(func() { s.runStep(ctx, step) })
	}
	<-callersDone
	s.wg.Wait()
	record.Requests, record.Executions, record.Arrivals = s.requests, s.executions(), s.arrivals()
	record.RoutesAdded, record.KeysRemoved = s.added, s.removed
	return record, nil
}

// start starts the link to the store, the servers with their links, and the instances.
func (s *soak) start(store string) error {
	for i := range 2 * s.config.ServersPerService {
		server := jyhoststandin.NewServer(fmt.Sprintf("i-%d", i), serviceNames[i%2])
		server.SetDelay(serviceTime)
		l, err := newLink(server.Address())
		if err != nil {
			return err
		}
		server.AdvertisedAddress = l.address()
		s.servers, s.links = append(s.servers, server), append(s.links, l)
		server.Register(s.store)
	}
	s.publish(configuration{version: firstVersion, service: serviceNames[0]})
	return s.startInstances(store)
}

// startInstances starts the instances, each with its link to the store, and waits until all are ready.
func (s *soak) startInstances(store string) error {
	var list []addresses
	var seeds []string
	signals, err := freeSignalPort()
	if err != nil {
		return err
	}
	for i := range s.config.Instances {
		a, err := freeAddresses(i)
		if err != nil {
			return err
		}
		list, seeds = append(list, a), append(seeds, a.peer)
	}
	for i, a := range list {
		l, err := newLink(store)
		if err != nil {
			return err
		}
		s.storeLinks = append(s.storeLinks, l)
		in, err := newInstance(instanceConfig{
			program: s.config.Program, folder: s.config.Folder, name: fmt.Sprintf("entry-%d", i), addresses: a,
			store: l.address(), seeds: seeds, signalPort: signals, revocations: s.config.Revocations,
		})
		if err != nil {
			return err
		}
		s.instances = append(s.instances, in)
		if err := in.start(); err != nil {
			return err
		}
	}
	for _, in := range s.instances {
		if !in.waitReady(startTimeout) {
			return jyfault.New("start instances", NotStarted, "instance %s did not become ready in time", in.name)
		}
	}
	return nil
}

// stop shuts down the instances, links, servers and the link to the store.
func (s *soak) stop() {
	var wg sync.WaitGroup
	for _, in := range s.instances {
		if in.process != nil {
			wg.Go(in.stop)
		}
	}
	wg.Wait()
	for i, server := range s.servers {
		s.links[i].close()
		server.SetFault(jyhoststandin.None)
		server.Close()
	}
	for _, l := range s.storeLinks {
		l.close()
	}
}
