package jynode

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jyevidence"
	"github.com/jackdawyard/jackdawyard/internal/jyfleet"
	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/internal/jyledger"
	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/internal/jymetric"
	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/internal/jyplatform"
	"github.com/jackdawyard/jackdawyard/internal/jyproxy"
	"github.com/jackdawyard/jackdawyard/internal/jyrelay"
	"github.com/jackdawyard/jackdawyard/internal/jyrelease"
	"github.com/jackdawyard/jackdawyard/internal/jyreport"
	"github.com/jackdawyard/jackdawyard/internal/jysettings"
	"github.com/jackdawyard/jackdawyard/internal/jysignal"
	"github.com/jackdawyard/jackdawyard/pkg/jydedup"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jylimit"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// The names of the services of an instance.
const (
	ServicePeers     jykernel.Name = "Peers"
	ServiceFleet     jykernel.Name = "Fleet"
	ServiceSource    jykernel.Name = "Source"
	ServiceInstances jykernel.Name = "InstanceList"
	ServiceEvidence  jykernel.Name = "Evidence"
	ServiceSignals   jykernel.Name = "Signals"
	ServiceSettings  jykernel.Name = "Settings"
	ServiceMetrics   jykernel.Name = "Metrics"
	ServiceOperators jykernel.Name = "Operators"
	ServiceGauges    jykernel.Name = "Gauges"
	ServiceCallers   jykernel.Name = "Callers"
)

const (
	secretBytes = 32
	// maxCallers bounds the callers whose rate is remembered: all accounts of the largest fleet, twice over.
	maxCallers = 54_000
)

// Node is one entry instance.
type Node struct {
	settings  jysettings.Settings
	boot      jymember.Boot
	started   time.Time
	kernel    *jykernel.Kernel
	directory *jybackend.Directory
	source    source
	fleet     *jyfleet.Fleet
	block     *jyrelay.BlockList
	proxy     *jyproxy.Proxy
	metrics   *jymetric.Metrics
	burn      *jyreport.Burn
	callers   *callerServer
	draining  chan struct{}     // closed when the instance begins to leave
	signals   *jysignal.Signals // nil without a port for signals

	// These are nil where the instance follows the platform's store.
	release  *jyrelease.Distributor
	ledger   *jyledger.Ledger
	relay    *jyrelay.Relay
	evidence *jyevidence.Evidence
}

// New puts an instance together and opens its addresses.
func New(s jysettings.Settings) (*Node, error) {
	n := &Node{
		settings: s,
		boot:     jymember.Boot(time.Now().UnixMilli()),
		started:  time.Now(),
		kernel:   jykernel.New(),
		metrics:  jymetric.New(),
		draining: make(chan struct{}),
	}
	credentials, err := jypeer.LoadCredentials(s)
	if err != nil {
		return nil, err
	}
	n.directory = jybackend.NewDirectory(jybackend.Config{
		ConnectTimeout: s.ConnectTimeout, MaxIdle: s.MaxIdle,
		RetryBudgetShare: s.RetryBudgetShare, RetryBudgetSlack: n.retrySlack,
		ByExpectedLoss: s.Placing == jysettings.PlacingLoss, LeastUsedShare: s.LeastUsedShare, DataCentre: s.DataCentre,
		Instance: s.Name, CountInstances: n.countInstances, IsSameRegion: n.isNear,
	})
	n.burn = jyreport.NewBurn(n.directory, n.metrics)
	clients := jypeer.NewClients(credentials)
	if n.followsStore() {
		n.makeDiscovery(clients)
		n.makeFleet(clients, func(string, jypeer.NoteRef) {})
		n.makeStoreProxy(clients)
		if err := n.makeSignals(); err != nil {
			return nil, err
		}
		return n, n.register(credentials)
	}
	if err := n.makeLedger(); err != nil {
		return nil, err
	}
	n.makeRelease(clients)
	n.makeFleet(clients, n.release.OnPeerNote)
	n.makeProxy(clients)
	return n, n.register(credentials)
}

func (n *Node) makeLedger() error {
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return jyfault.New("make instance", NoRandomness, "%w", err)
	}
	n.ledger = jyledger.New(jydedup.Config{
		Self:           jydedup.Issuer{Instance: jydedup.InstanceName(n.settings.Name), Boot: jydedup.Boot(n.boot)},
		Secret:         secret,
		Boot:           time.Now(),
		Lifetime:       n.settings.RequestIDLifetime,
		Retention:      n.settings.RequestIDRetention,
		MaxRecords:     n.settings.RequestIDs,
		MaxReplayBytes: int(n.settings.MaxReplayBytes),
		MaxKeptBytes:   int(n.settings.MaxKeptBytes),
	})
	return nil
}

func (n *Node) makeRelease(clients *jypeer.Clients) {
	s := n.settings
	n.release = jyrelease.New(jyrelease.Config{
		Platform: jyplatform.NewClient(s.ConfigurationAddress), Clients: clients,
		WatchWait: s.WatchWait, PollInterval: s.PollInterval, ListInterval: s.ListInterval, PeerTimeout: s.PeerTimeout, WatchersPerCentre: s.WatchersPerCentre, Seeds: s.Seeds, FleetService: ServiceFleet,
		OnState: n.apply,
	})
	n.source = n.release
}

func (n *Node) makeFleet(clients *jypeer.Clients, onMark func(string, jypeer.NoteRef)) {
	s := n.settings
	n.fleet = jyfleet.New(jyfleet.Config{
		Self: jymember.Member{
			Name: jymember.Name(s.Name), Boot: n.boot, Address: cmp.Or(s.AdvertisedAddress, s.PeerAddress), DataCentre: s.DataCentre, Region: s.Region,
		},
		Interval: s.HeartbeatInterval, Timeout: s.PeerTimeout, SuccessionRetention: s.RequestIDLifetime + s.RequestIDRetention,
		Clients: clients, NoteInForce: n.source.CurrentNote, OnPeerNote: onMark, Seeds: s.Seeds,
	})
}

func (n *Node) makeProxy(clients *jypeer.Clients) {
	s := n.settings
	n.evidence = jyevidence.New(jyevidence.Config{
		Directory: n.directory, Clients: clients, Fleet: n.fleet, Interval: s.ReportInterval, Timeout: s.PeerTimeout,
	})
	n.relay = jyrelay.New(jyrelay.Config{Clients: clients, Fleet: n.fleet, Ledger: n.ledger, Timeout: s.PeerTimeout})
	n.block = n.newBlock(clients)
	n.proxy = jyproxy.New(jyproxy.Config{
		Directory: n.directory,
		Forwarder: jyproxy.NewForwarder(jyproxy.ForwarderConfig{
			IdleProofOfLife: s.IdleProofOfLife, SilentConnectionLag: s.SilentConnectionLag,
			OnEvidence: n.evidence.ReportSoon, BlockList: n.block,
		}),
		Ledger:         n.ledger,
		Relayer:        n.relay,
		Recorder:       n.burn,
		CallerLimiter:  n.limits(),
		CallerHeader:   s.CallerHeader,
		MaxConcurrent:  s.MaxConcurrent,
		MaxAnswerBytes: s.MaxAnswerBytes,
	})
	n.relay.SetDecider(n.proxy)
}

func (n *Node) makeSignals() error {
	if n.settings.SignalPort == 0 {
		return nil
	}
	host, _, err := net.SplitHostPort(n.settings.PeerAddress)
	if err != nil {
		return jyfault.New("make signals", NoAddress, "%w", err)
	}
	n.signals, err = jysignal.New(jysignal.Config{
		Listen: net.JoinHostPort(host, strconv.Itoa(n.settings.SignalPort)), Fleet: n.fleet, Directory: n.directory,
	})
	if err != nil {
		return err
	}
	n.directory.SetObserver(n.signals)
	return nil
}

func (n *Node) limits() *jyproxy.CallerLimiter {
	s := n.settings
	return jyproxy.NewCallerLimiter(jylimit.Config{Rate: s.CallerRate, Burst: s.CallerBurst, Concurrency: s.CallerConcurrency, MaxCallers: maxCallers})
}

// newBlock returns the list of blocked requests, which all instances share.
func (n *Node) newBlock(clients *jypeer.Clients) *jyrelay.BlockList {
	others := func() []jymember.Member { return n.fleet.RandomPeers(maxFleet) }
	return jyrelay.NewBlockList(clients, others, n.settings.PeerTimeout)
}

// maxFleet bounds the instances that are told of a blocked request.
const maxFleet = 1024

type namedService struct {
	name    jykernel.Name
	service jykernel.Service
}

func (n *Node) register(credentials jypeer.Credentials) error {
	s := n.settings
	peers, err := jypeer.Listen(s.PeerAddress, credentials, n.peerHandler())
	if err != nil {
		return err
	}
	operators, err := newOperatorServer(n)
	if err != nil {
		return err
	}
	if n.callers, err = newCallerServer(s.CallerAddress, n.proxy); err != nil {
		return err
	}
	services := []namedService{
		{ServicePeers, peers},
		{ServiceFleet, n.fleet},
		{ServiceSource, n.source},
		{ServiceOperators, operators},
		{ServiceGauges, gauges{n}},
		{ServiceCallers, n.callers},
	}
	if !n.followsStore() {
		services = append(services,
			namedService{ServiceInstances, jyrelease.InstanceListPoller{Distributor: n.release}},
			namedService{ServiceEvidence, n.evidence})
	}
	if s.MetricsAddress != "" {
		metrics, err := newMetricsServer(n)
		if err != nil {
			return err
		}
		services = append(services, namedService{ServiceMetrics, metrics})
	}
	if n.signals != nil {
		services = append(services, namedService{ServiceSignals, n.signals})
	}
	for _, v := range services {
		if err := n.kernel.Register(v.name, v.service); err != nil {
			return err
		}
	}
	return nil
}

// countInstances returns the instances that share the backend servers.
func (n *Node) countInstances() int { return n.fleet.WorkingCount() }

// settleTime is how long an instance that knows no other takes none of the fleet's slack: it has not met them yet.
const settleTime = 5 * time.Second

// retrySlack is this instance's part of the retries that the fleet may make beyond their share. Those that died count: in
// a partition each side would take the others for dead.
func (n *Node) retrySlack() float64 {
	others := n.fleet.KnownCount()
	if others == 0 && time.Since(n.started) < settleTime {
		return 0
	}
	return n.settings.RetryBudgetSlack / float64(others+1)
}

// isNear reports whether a data centre is in this instance's region; one of which no instance is known counts as near.
func (n *Node) isNear(centre jynote.DataCentreName) bool {
	for _, m := range n.fleet.Working() {
		if m.DataCentre == string(centre) {
			return m.Region == n.settings.Region
		}
	}
	return true
}

func (n *Node) apply(s jynote.State) { n.directory.Apply(s) }

// Run serves until ctx ends, and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	jylog.InstanceStarted.Log(n.settings.Name, n.boot, n.settings.CallerAddress, n.settings.PeerAddress)
	running, stop := context.WithCancel(context.Background())
	defer stop()
	context.AfterFunc(ctx, func() {
		n.shutDown()
		stop()
	})
	err := n.kernel.Run(running)
	if err != nil {
		jylog.ServiceFailed.Log(err)
	}
	_ = n.metrics.Close()
	return err
}

// Name returns the instance's name and boot for the operator.
func (n *Node) Name() string { return fmt.Sprintf("%s/%d", n.settings.Name, n.boot) }
