package jydemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jyload"
	"github.com/jackdawyard/jackdawyard/internal/jynode"
	"github.com/jackdawyard/jackdawyard/internal/jyplatform"
	"github.com/jackdawyard/jackdawyard/internal/jysettings"
	"github.com/jackdawyard/jackdawyard/internal/jystandin"
	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

const (
	serverCount     = 6
	instanceCount   = 3
	serverSlots     = 4 // of each backend server
	grayServerIndex = 2
	loadRate        = 150.0 // requests per second
	loadWriteShare  = 0.3   // share of non-idempotent requests
	loadDuration    = 4 * time.Second
	waitTimeout     = 20 * time.Second      // of each wait for a state of all instances
	pollInterval    = 20 * time.Millisecond // between two checks of that state
	serviceName     = jynote.ServiceName("payment-ledger")
)

// demo is a run of the demonstration.
type demo struct {
	out       io.Writer
	platform  *jystandin.Platform
	servers   []*jystandin.BackendServer
	addresses []string // of the servers
	nodes     []*jynode.Node
	entries   []string // base URLs at which the nodes accept callers' requests
	wg        sync.WaitGroup
}

// Run starts the instances and stand-ins, publishes a release note, sends load, makes one backend server gray, waits until all
// instances have ejected it, and withdraws it by a second note. It writes each step to w. It returns an error of kind TimedOut if a
// step takes too long.
func Run(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	d := &demo{out: w}
	defer d.wg.Wait()
	defer cancel()
	if err := d.start(ctx); err != nil {
		return err
	}
	steps := []func(context.Context) error{d.publishFirstNote, d.runSteadyLoad, d.runGrayFailure, d.withdrawGrayServer}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.printf("Done. The instances now shut down gracefully.")
	return nil
}

func (d *demo) printf(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

func (d *demo) runInBackground(ctx context.Context, run func(context.Context) error) {
	d.wg.Go(func() {
		if err := run(ctx); err != nil {
			d.printf("A component of the demonstration failed: %v", err)
		}
	})
}

// start starts the platform, the backend servers and the instances, all in the background until ctx is done.
func (d *demo) start(ctx context.Context) error {
	platformAddress, err := jystandin.FreeAddress()
	if err != nil {
		return err
	}
	d.platform = jystandin.NewPlatform(platformAddress)
	for i := range serverCount {
		address, err := jystandin.FreeAddress()
		if err != nil {
			return err
		}
		d.addresses = append(d.addresses, address)
		d.servers = append(d.servers, jystandin.NewBackendServer(jystandin.ServerConfig{
			Name: serverName(i), Address: address,
			Slots: serverSlots, QueueLimit: 2 * serverSlots,
			Latency: 10 * time.Millisecond, LatencySigma: 0.3,
		}))
	}
	settings, err := d.newSettings(platformAddress)
	if err != nil {
		return err
	}
	d.runInBackground(ctx, d.platform.Run)
	for _, s := range d.servers {
		d.runInBackground(ctx, s.Run)
	}
	for _, s := range settings {
		n, err := jynode.New(s)
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
		d.entries = append(d.entries, "http://"+s.CallerAddress)
		d.runInBackground(ctx, n.Run)
	}
	d.printf("Started a configuration service, %d backend servers and %d entry instances.", serverCount, instanceCount)
	return nil
}

func serverName(i int) string { return fmt.Sprintf("ledger-%d", i+1) }

// newSettings returns the settings of all instances, with free addresses, and sets the platform's list of instances.
func (d *demo) newSettings(platformAddress string) ([]jysettings.Settings, error) {
	var list jyplatform.InstanceList
	var settings []jysettings.Settings
	for i := range instanceCount {
		var addresses [3]string
		for k := range addresses {
			address, err := jystandin.FreeAddress()
			if err != nil {
				return nil, err
			}
			addresses[k] = address
		}
		settingsText := fmt.Sprintf("[Instance]\nName = entry-%d\nDataCentre = dc-%d\nCallerAddress = %s\nPeerAddress = %s\nOperatorAddress = %s\nBalancerNotice = 100ms\n"+
			"[Platform]\nConfigurationAddress = http://%s\n[Peers]\nSharedKey = demonstration-key\nHeartbeatInterval = 200ms\n[Callers]\nCallerRate = 10000\nCallerBurst = 10000\n",
			i+1, i+1, addresses[0], addresses[1], addresses[2], platformAddress)
		s, faults, err := jysettings.Parse([]byte(settingsText))
		if err != nil {
			return nil, err
		}
		if len(faults) > 0 {
			return nil, jyfault.New("create settings", BadSettings, "%s", faults[0])
		}
		settings = append(settings, s)
		list.Instances = append(list.Instances, jyplatform.Instance{Name: s.Name, PeerAddress: s.PeerAddress, DataCentre: s.DataCentre, State: jyplatform.Live})
	}
	d.platform.SetInstances(list)
	return settings, nil
}

// publishNote publishes the note that build fills in, and waits until all instances have applied it and are ready.
func (d *demo) publishNote(n jynote.Number, build func(*jynote.Note)) error {
	note := jynote.Note{Number: n, Title: fmt.Sprintf("demonstration %d", n)}
	build(&note)
	document, err := json.Marshal(note)
	if err != nil {
		return err
	}
	publishedAt := time.Now()
	d.platform.Publish(n, document)
	isCurrent := d.waitFor(func() bool {
		for _, v := range d.nodes {
			if v.Status().Release.Number < n || !v.Status().Ready {
				return false
			}
		}
		return true
	})
	if !isCurrent {
		return jyfault.New("publish note", TimedOut, "note %d is not current on all instances", n)
	}
	d.printf("Release note %d is current on all instances after %d ms.", n, time.Since(publishedAt).Milliseconds())
	return nil
}

// waitFor polls done and reports whether it returned true within waitTimeout.
func (d *demo) waitFor(done func() bool) bool {
	end := time.Now().Add(waitTimeout)
	for time.Now().Before(end) {
		if done() {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

func (d *demo) publishFirstNote(context.Context) error {
	return d.publishNote(1, func(n *jynote.Note) {
		n.Base = true
		n.Added.Services = []jynote.Service{{
			Name: serviceName, Floor: 12, DeadlineMilliseconds: 2000, ServerDaysPerFalseEjection: 1000, MaxBodyBytes: 1 << 20,
			Objective:   jynote.Objective{SuccessShare: 0.999, LatencyMilliseconds: 200},
			NotRunMarks: []jynote.Mark{{Header: jystandin.NotRunHeader, Value: jystandin.FlagHeaderValue}},
			ShedMark:    jynote.Mark{Header: jystandin.ShedHeader, Value: jystandin.FlagHeaderValue},
			DrainMark:   jynote.Mark{Header: jystandin.DrainHeader, Value: jystandin.FlagHeaderValue},
		}}
		n.Added.Routes = []jynote.Route{{Name: "charges", PathPrefix: "/charges", Service: serviceName}}
		for i := range serverCount {
			n.Added.BackendServers = append(n.Added.BackendServers, jynote.BackendServer{
				Name: jynote.ServerName(serverName(i)), Service: serviceName, Address: d.addresses[i], DataCentre: "dc-1", Slots: serverSlots, Connections: 300,
			})
		}
	})
}

func (d *demo) runLoad(ctx context.Context) (jyload.Result, error) {
	return jyload.Run(ctx, jyload.Config{
		Entries: d.entries, Paths: []string{"/charges"}, Rate: loadRate, Duration: loadDuration, WriteShare: loadWriteShare,
		Resends: 2, Servers: d.addresses, Callers: 50, BodySize: 100, MaxInFlight: 500, Timeout: 10 * time.Second,
	})
}

func (d *demo) runSteadyLoad(ctx context.Context) error {
	d.printf("Sending %.0f requests per second, 30 percent of them non-idempotent with request ids ...", loadRate)
	r, err := d.runLoad(ctx)
	if err != nil {
		return err
	}
	r.WriteText(d.out)
	return nil
}

// runGrayFailure makes a backend server gray, sends load, and waits until all instances have ejected the server.
func (d *demo) runGrayFailure(ctx context.Context) error {
	d.printf("Backend server %s now fails half of its requests but still answers health checks ...", serverName(grayServerIndex))
	d.servers[grayServerIndex].SetFault(jystandin.Fault{FailShare: 0.5})
	faultStart := time.Now()
	detectionTime := make(chan time.Duration, 1)
	go func() {
		if d.waitFor(d.isEjectedEverywhere) {
			detectionTime <- time.Since(faultStart)
		}
		close(detectionTime)
	}()
	r, err := d.runLoad(ctx)
	if err != nil {
		return err
	}
	r.WriteText(d.out)
	elapsed, ok := <-detectionTime
	if !ok {
		return jyfault.New("eject server", TimedOut, "%s is not ejected on all instances", serverName(grayServerIndex))
	}
	d.printf("All instances ejected it after %d ms.", elapsed.Milliseconds())
	return nil
}

func (d *demo) isEjectedEverywhere() bool {
	for _, n := range d.nodes {
		if !isEjected(n.Status()) {
			return false
		}
	}
	return true
}

// isEjected reports whether an instance with this status has ejected the gray server.
func isEjected(s jynode.Status) bool {
	for _, v := range s.Services {
		for _, b := range v.Servers {
			if b.Server == jynote.ServerName(serverName(grayServerIndex)) && b.Phase == jydetector.Ejected {
				return true
			}
		}
	}
	return false
}

func (d *demo) withdrawGrayServer(context.Context) error {
	return d.publishNote(2, func(n *jynote.Note) {
		n.Withdrawn.BackendServers = []jynote.ServerName{jynote.ServerName(serverName(grayServerIndex))}
	})
}
