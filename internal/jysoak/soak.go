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

// Config sets up a soak.
type Config struct {
	// Program is the file of the program, and Folder takes its settings and logs.
	Program           string
	Folder            string
	Seed              uint64
	FaultDuration     time.Duration // how long steps come
	Instances         int
	ServersPerService int // of each of the two services
	RequestRate       float64
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
	asked     []Request
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
	record := Record{Plan: GeneratePlan(c.Seed, c.FaultDuration, c.Instances, 2*c.ServersPerService, len(serverFaults)), FaultsEnded: c.FaultDuration}
	record.End = record.FaultsEnded + recoveryTime + tailTime
	callers := make(chan struct{})
	go func() {
		defer close(callers)
		s.call(ctx, record.End)
	}()
	for _, step := range record.Plan {
		s.wg.Go(func() { s.carryOut(ctx, step) })
	}
	<-callers
	s.wg.Wait()
	record.Requests, record.Executions = s.asked, s.ran()
	return record, nil
}

func (s *soak) start(store string) error {
	var err error
	if s.storeLink, err = newLink(store); err != nil {
		return err
	}
	for i := range 2 * s.config.ServersPerService {
		server := jyhoststandin.NewServer(fmt.Sprintf("i-%d", i), services[i%2])
		server.SetDelay(workTime)
		l, err := newLink(server.Address())
		if err != nil {
			return err
		}
		server.AdvertisedAddress = l.address()
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
		in, err := newInstance(instanceConfig{
			program: s.config.Program, folder: s.config.Folder, name: fmt.Sprintf("entry-%d", i), addresses: a,
			store: s.storeLink.address(), seeds: seeds,
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
