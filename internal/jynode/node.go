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
	"github.com/jackdawyard/jackdawyard/internal/jydetour"
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

// The names under which the services of an instance are registered with the kernel.
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
	ServicePaths     jykernel.Name = "Paths"
	ServiceKeyLease  jykernel.Name = "KeyLease"
	ServiceQuotas    jykernel.Name = "Quotas"
)

const (
	secretBytes = 32 // length of the key of the request ids' tags
	// maxCallers bounds the callers whose rate is tracked: twice the client accounts of the largest fleet.
	maxCallers = 54_000
)

// Node is one instance with its services and the state that they share.
type Node struct {
	settings  jysettings.Settings
	boot      jymember.Boot // Unix time of the start in milliseconds
	started   time.Time
	kernel    *jykernel.Kernel
	directory *jybackend.Directory
	source    source
	fleet     *jyfleet.Fleet
	blockList *jyrelay.BlockList
	proxy     *jyproxy.Proxy
	metrics   *jymetric.Metrics
	burn      *jyreport.BurnRecorder
	callers   *callerServer
	detour    *jydetour.Sender
	draining  chan struct{}     // closed when the shutdown begins
	signals   *jysignal.Signals // nil without a signal port
	keyLease  *keyLease         // nil without a revocation bound
	quotas    *accountQuotas

	// The next four are nil if the instance uses the platform's store instead of release notes.
	distributor *jyrelease.Distributor
	ledger      *jyledger.Ledger
	relay       *jyrelay.Relay
	evidence    *jyevidence.Evidence
}

// New creates an instance and opens its listening addresses; Run then serves them.
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
		ConnectTimeout: s.ConnectTimeout, MaxIdle: s.MaxIdle, SourceAddress: s.SourceAddress,
		RetryBudgetShare: s.RetryBudgetShare, RetryBudgetSlack: n.retrySlack,
		ByExpectedLoss: s.Placing == jysettings.PlacementLoss, LeastUsedShare: s.LeastUsedShare, TransferPrice: s.TransferPrice, DataCentre: s.DataCentre,
		Instance: s.Name, CountInstances: n.instanceCount, InSameRegion: n.isInSameRegion,
		ShareOf: (&limitShares{node: n}).shareOf,
	})
	n.quotas = newAccountQuotas(n)
	n.burn = jyreport.NewBurnRecorder(n.directory, n.metrics)
	clients := jypeer.NewClients(credentials)
	if n.usesStore() {
		n.makeKeyLease()
		n.makeDiscovery(clients)
		n.makeFleet(clients, n.offerFrom(clients))
		n.detour = jydetour.NewSender(n.fleet, jypeer.NewDetourClient(credentials))
		n.makeStoreProxy(clients)
		if err := n.makeSignals(); err != nil {
			return nil, err
		}
		return n, n.registerServices(credentials)
	}
	if err := n.makeLedger(); err != nil {
		return nil, err
	}
	n.makeDistributor(clients)
	n.makeFleet(clients, n.distributor.OnPeerNote)
	n.detour = jydetour.NewSender(n.fleet, jypeer.NewDetourClient(credentials))
	n.makeProxy(clients)
	return n, n.registerServices(credentials)
}

// makeLedger creates the ledger of request ids, with a new random secret.
func (n *Node) makeLedger() error {
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return jyfault.New("create instance", NoRandomness, "%w", err)
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

// makeDistributor creates the source of an instance that uses release notes.
func (n *Node) makeDistributor(clients *jypeer.Clients) {
	s := n.settings
	n.distributor = jyrelease.New(jyrelease.Config{
		Platform: jyplatform.NewClient(s.ConfigurationAddress), Clients: clients,
		WatchWait: s.WatchWait, PollInterval: s.PollInterval, ListInterval: s.ListInterval, PeerTimeout: s.PeerTimeout,
		WatchersPerCentre: s.WatchersPerCentre, Seeds: s.Seeds, FleetService: ServiceFleet,
		OnState: n.applyState,
	})
	n.source = n.distributor
}

// makeFleet creates the membership. It needs the source, whose current note the heartbeats carry.
func (n *Node) makeFleet(clients *jypeer.Clients, onPeerNote func(string, jypeer.NoteRef)) {
	s := n.settings
	n.fleet = jyfleet.New(jyfleet.Config{
		Self: jymember.Member{
			Name: jymember.Name(s.Name), Boot: n.boot, Address: cmp.Or(s.AdvertisedAddress, s.PeerAddress),
			DataCentre: s.DataCentre, Region: s.Region,
		},
		Interval: s.HeartbeatInterval, Timeout: s.PeerTimeout, SuccessionRetention: s.RequestIDLifetime + s.RequestIDRetention,
		Clients: clients, CurrentNote: n.source.CurrentNote, OnPeerNote: onPeerNote, Seeds: s.Seeds,
	})
}

// makeProxy creates the proxy of an instance that uses release notes, with the evidence, the relay and the block list.
func (n *Node) makeProxy(clients *jypeer.Clients) {
	s := n.settings
	n.evidence = jyevidence.New(jyevidence.Config{
		Directory: n.directory, Clients: clients, Fleet: n.fleet, Interval: s.ReportInterval, Timeout: s.PeerTimeout,
	})
	n.relay = jyrelay.New(jyrelay.Config{Clients: clients, Fleet: n.fleet, Ledger: n.ledger})
	n.blockList = n.newBlockList(clients)
	n.proxy = jyproxy.New(jyproxy.Config{
		Directory: n.directory,
		Forwarder: jyproxy.NewForwarder(jyproxy.ForwarderConfig{
			IdleProofOfLife: s.IdleProofOfLife, SilentConnectionLag: s.SilentConnectionLag,
			OnEvidence: n.evidence.ReportSoon, BlockList: n.blockList, Detour: n.detour,
		}),
		Ledger:         n.ledger,
		Relayer:        n.relay,
		Recorder:       n.burn,
		CallerLimiter:  n.newCallerLimiter(),
		Quotas:         n.quotas,
		CallerHeader:   s.CallerHeader,
		MaxConcurrent:  s.MaxConcurrent,
		MaxAnswerBytes: s.MaxAnswerBytes,
	})
	n.relay.SetRunner(n.proxy)
}

// makeSignals opens the signal port, if one is set, and makes the signals observe the requests to the directory's servers.
func (n *Node) makeSignals() error {
	if n.settings.SignalPort == 0 {
		return nil
	}
	host, _, err := net.SplitHostPort(n.settings.PeerAddress)
	if err != nil {
		return jyfault.New("open signal port", NoAddress, "%w", err)
	}
	n.signals, err = jysignal.New(jysignal.Config{
		Listen: net.JoinHostPort(host, strconv.Itoa(n.settings.SignalPort)), Fleet: n.fleet, Directory: n.directory,
		Quotas: n.quotas,
	})
	if err != nil {
		return err
	}
	n.directory.SetObserver(n.signals)
	return nil
}

func (n *Node) newCallerLimiter() *jyproxy.CallerLimiter {
	s := n.settings
	return jyproxy.NewCallerLimiter(jylimit.Config{Rate: s.CallerRate, Burst: s.CallerBurst, Concurrency: s.CallerConcurrency,
		MaxCallers: maxCallers})
}

// newBlockList returns the list of blocked requests, which sends its entries to the other working instances.
func (n *Node) newBlockList(clients *jypeer.Clients) *jyrelay.BlockList {
	peers := func() []jymember.Member { return n.fleet.RandomPeers(maxBlockedRequestPeers) }
	return jyrelay.NewBlockList(clients, peers, n.settings.PeerTimeout)
}

// maxBlockedRequestPeers bounds the instances that are notified of a blocked request.
const maxBlockedRequestPeers = 1024

// namedService is a service with the name to register it under.
type namedService struct {
	name    jykernel.Name
	service jykernel.Service
}

// registerServices opens the listening addresses and registers all services of the instance with the kernel.
func (n *Node) registerServices(credentials jypeer.Credentials) error {
	s := n.settings
	peers, err := jypeer.Listen(s.PeerAddress, credentials, jypeer.Handlers{
		Calls: n.peerHandler(), DetourPath: jydetour.Path, Detours: jydetour.Handler{Proxy: n.proxy, IsDraining: n.isDraining},
	})
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
		{ServicePaths, pathProber{n.directory}},
		{ServiceQuotas, n.quotas},
	}
	if n.keyLease != nil {
		services = append(services, namedService{ServiceKeyLease, n.keyLease})
	}
	if !n.usesStore() {
		services = append(services,
			namedService{ServiceInstances, jyrelease.InstanceListPoller{Distributor: n.distributor}},
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

// instanceCount returns the number of instances that share the backend servers.
func (n *Node) instanceCount() int { return n.fleet.WorkingCount() }

// discoveryGracePeriod is the time after its start in which an instance that knows no other instance makes no use of the fleet's
// retry slack. It may not have discovered the others yet.
const discoveryGracePeriod = 5 * time.Second

// retrySlack returns this instance's part of the retries that the fleet may make beyond RetryBudgetShare. Dead instances
// count too: in a network partition each side considers the other one dead, and both would use the whole slack.
func (n *Node) retrySlack() float64 {
	others := n.fleet.KnownCount()
	if others == 0 && time.Since(n.started) < discoveryGracePeriod {
		return 0
	}
	return n.settings.RetryBudgetSlack / float64(others+1)
}

// isInSameRegion reports whether a data centre is in this instance's region. It returns true for one without working instances.
func (n *Node) isInSameRegion(centre jynote.DataCentreName) bool {
	for _, m := range n.fleet.Working() {
		if m.DataCentre == string(centre) {
			return m.Region == n.settings.Region
		}
	}
	return true
}

func (n *Node) applyState(s jynote.State) {
	n.quotas.apply(s.Accounts)
	n.directory.Apply(s)
}

// Run serves until ctx ends, then shuts down gracefully. It returns early if a service fails.
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
		jylog.InternalServiceFailed.Log(err)
	}
	_ = n.metrics.Close()
	return err
}

// Name returns "name/boot", which identifies this process run to operators.
func (n *Node) Name() string { return fmt.Sprintf("%s/%d", n.settings.Name, n.boot) }
