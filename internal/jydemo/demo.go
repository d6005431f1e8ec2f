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
	serverCount   = 6
	instanceCount = 3
	serverSlots   = 4
	grayServer    = 2
	loadRate      = 150.0
	loadWrites    = 0.3
	phaseTime     = 4 * time.Second
	patience      = 20 * time.Second
	pollInterval  = 20 * time.Millisecond
	serviceName   = jynote.ServiceName("payment-ledger")
)

// demo is one run.
type demo struct {
	out       io.Writer
	platform  *jystandin.Platform
	servers   []*jystandin.BackendServer
	addresses []string
	nodes     []*jynode.Node
	entries   []string
	wg        sync.WaitGroup
}

// Run shows the whole path and writes what happens to w.
func Run(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	d := &demo{out: w}
	defer d.wg.Wait()
	defer cancel()
	if err := d.start(ctx); err != nil {
		return err
	}
	steps := []func(context.Context) error{d.firstNote, d.steadyLoad, d.grayFailure, d.secondNote}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.say("Done: the instances now shut down gracefully.")
	return nil
}

func (d *demo) say(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

func (d *demo) spawn(ctx context.Context, run func(context.Context) error) {
	d.wg.Go(func() {
		if err := run(ctx); err != nil {
			d.say("stopped: %v", err)
		}
	})
}

func (d *demo) start(ctx context.Context) error {
	platform, err := jystandin.FreeAddress()
	if err != nil {
		return err
	}
	d.platform = jystandin.NewPlatform(platform)
	for i := range serverCount {
		address, err := jystandin.FreeAddress()
		if err != nil {
			return err
		}
		d.addresses = append(d.addresses, address)
		d.servers = append(d.servers, jystandin.NewBackendServer(jystandin.ServerConfig{
			Name: serverName(i), Address: address, Slots: serverSlots, QueueLimit: 2 * serverSlots, Latency: 10 * time.Millisecond, LatencySigma: 0.3,
		}))
	}
	settings, err := d.settings(platform)
	if err != nil {
		return err
	}
	d.spawn(ctx, d.platform.Run)
	for _, s := range d.servers {
		d.spawn(ctx, s.Run)
	}
	for _, s := range settings {
		n, err := jynode.New(s)
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
		d.entries = append(d.entries, "http://"+s.CallerAddress)
		d.spawn(ctx, n.Run)
	}
	d.say("Started a configuration service, %d backend servers and %d entry instances.", serverCount, instanceCount)
	return nil
}

func serverName(i int) string { return fmt.Sprintf("ledger-%d", i+1) }

func (d *demo) settings(platform string) ([]jysettings.Settings, error) {
	var list jyplatform.InstanceList
	var out []jysettings.Settings
	for i := range instanceCount {
		var a [3]string
		for k := range a {
			address, err := jystandin.FreeAddress()
			if err != nil {
				return nil, err
			}
			a[k] = address
		}
		text := fmt.Sprintf("[Instance]\nName = entry-%d\nDataCentre = dc-%d\nCallerAddress = %s\nPeerAddress = %s\nOperatorAddress = %s\nBalancerNotice = 100ms\n"+
			"[Platform]\nConfigurationAddress = http://%s\n[Peers]\nSharedKey = demonstration-key\nHeartbeatInterval = 200ms\n[Callers]\nCallerRate = 10000\nCallerBurst = 10000\n",
			i+1, i+1, a[0], a[1], a[2], platform)
		s, faults, err := jysettings.Parse([]byte(text))
		if err != nil {
			return nil, err
		}
		if len(faults) > 0 {
			return nil, jyfault.New("make settings", BadSettings, "%s", faults[0])
		}
		out = append(out, s)
		list.Instances = append(list.Instances, jyplatform.Instance{Name: s.Name, PeerAddress: s.PeerAddress, DataCentre: s.DataCentre, State: jyplatform.Live})
	}
	d.platform.SetInstances(list)
	return out, nil
}

func (d *demo) note(n jynote.Number, build func(*jynote.Note)) error {
	note := jynote.Note{Number: n, Title: fmt.Sprintf("demonstration %d", n)}
	build(&note)
	raw, err := json.Marshal(note)
	if err != nil {
		return err
	}
	published := time.Now()
	d.platform.Publish(n, raw)
	inForce := d.waitFor(func() bool {
		for _, v := range d.nodes {
			if v.Status().Release.Number < n || !v.Status().Ready {
				return false
			}
		}
		return true
	})
	if !inForce {
		return jyfault.New("publish note", TimedOut, "note %d is not in force everywhere", n)
	}
	d.say("Release note %d is in force at all instances after %d ms.", n, time.Since(published).Milliseconds())
	return nil
}

func (d *demo) waitFor(done func() bool) bool {
	end := time.Now().Add(patience)
	for time.Now().Before(end) {
		if done() {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

func (d *demo) firstNote(context.Context) error {
	return d.note(1, func(n *jynote.Note) {
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

func (d *demo) load(ctx context.Context) (jyload.Result, error) {
	return jyload.Run(ctx, jyload.Config{
		Entries: d.entries, Paths: []string{"/charges"}, Rate: loadRate, Duration: phaseTime, WriteShare: loadWrites,
		Resends: 2, Servers: d.addresses, Callers: 50, BodySize: 100, MaxInFlight: 500, Timeout: 10 * time.Second,
	})
}

func (d *demo) steadyLoad(ctx context.Context) error {
	d.say("Sending %.0f requests a second, three in ten of them charges with request ids ...", loadRate)
	r, err := d.load(ctx)
	if err != nil {
		return err
	}
	r.WriteText(d.out)
	return nil
}

func (d *demo) grayFailure(ctx context.Context) error {
	d.say("Backend server %s now fails half of its work and still answers health checks ...", serverName(grayServer))
	d.servers[grayServer].SetFault(jystandin.Fault{FailShare: 0.5})
	turned := time.Now()
	found := make(chan time.Duration, 1)
	go func() {
		if d.waitFor(d.isEjectedEverywhere) {
			found <- time.Since(turned)
		}
		close(found)
	}()
	r, err := d.load(ctx)
	if err != nil {
		return err
	}
	r.WriteText(d.out)
	after, ok := <-found
	if !ok {
		return jyfault.New("eject server", TimedOut, "%s is not ejected everywhere", serverName(grayServer))
	}
	d.say("It was ejected at all instances after %d ms.", after.Milliseconds())
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

func isEjected(s jynode.Status) bool {
	for _, v := range s.Services {
		for _, b := range v.Servers {
			if b.Server == jynote.ServerName(serverName(grayServer)) && b.Phase == jydetector.Ejected {
				return true
			}
		}
	}
	return false
}

func (d *demo) secondNote(context.Context) error {
	return d.note(2, func(n *jynote.Note) {
		n.Withdrawn.BackendServers = []jynote.ServerName{jynote.ServerName(serverName(grayServer))}
	})
}
