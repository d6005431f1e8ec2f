package jysettings

import "time"

// Source is where an instance reads services, routes and backend servers.
type Source string

// The sources.
const (
	// SourceNotes means release notes of the configuration service.
	SourceNotes Source = "Notes"
	// SourceStore means the store of the platform: whole configurations, and backend servers that register themselves.
	SourceStore Source = "Store"
)

// PlacementStrategy is how a backend server is chosen for a request.
type PlacementStrategy string

// The placement strategies.
const (
	// PlacementSlots prefers free slots among the servers that the fleet has not ejected.
	PlacementSlots PlacementStrategy = "Slots"
	// PlacementLoss prefers the least expected loss, from the outcomes of the last seconds.
	PlacementLoss PlacementStrategy = "Loss"
)

// Settings are the settings of one instance. Keys describes the meaning, unit and range of each. A field has the name of its key,
// except those for section RequestIds: RequestIDLifetime (Lifetime), RequestIDRetention (Retention) and RequestIDs (Records).
type Settings struct {
	Name            string
	DataCentre      string
	Region          string
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// MetricsAddress is empty if only OperatorAddress serves the metrics.
	MetricsAddress string
	// AdvertisedAddress is empty if other instances reach this one at PeerAddress.
	AdvertisedAddress string
	MemoryLimit       int64

	Source               Source
	ConfigurationAddress string
	WatchWait            time.Duration
	PollInterval         time.Duration
	ListInterval         time.Duration
	WatchersPerCentre    int

	Seeds             []string
	SharedKey         string
	CertificateFile   string
	PrivateKeyFile    string
	AuthorityFile     string
	PlaintextLoopback bool
	PrivateNetwork    bool
	SignalPort        int
	HeartbeatInterval time.Duration
	PeerTimeout       time.Duration

	CallerHeader      string
	CallerRate        float64
	CallerBurst       int
	CallerConcurrency int
	MaxConcurrent     int
	// RevocationBound is 0 if keys may be served for any time after they were taken away.
	RevocationBound     time.Duration
	TransferPrice       float64
	MaxAnswerBytes      int64
	MaxReplayBytes      int64
	MaxKeptBytes        int64
	RetryBudgetShare    float64
	RetryBudgetSlack    float64
	Placing             PlacementStrategy
	LeastUsedShare      float64
	MaxIdle             time.Duration
	HeapGrowthPercent   int
	ConnectTimeout      time.Duration
	SourceAddress       string // IP address, or empty
	IdleProofOfLife     time.Duration
	ReportInterval      time.Duration
	RequestIDLifetime   time.Duration
	RequestIDRetention  time.Duration
	RequestIDs          int
	BalancerNotice      time.Duration
	SilentConnectionLag time.Duration
}
