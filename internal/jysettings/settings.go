package jysettings

import "time"

// Source is where services, routes and backend servers come from.
type Source string

// The sources.
const (
	// SourceNotes stands for the release notes of the configuration service.
	SourceNotes Source = "Notes"
	// SourceStore stands for the store of the platform, where backend servers register themselves.
	SourceStore Source = "Store"
)

// PlacementStrategy is how a backend server is chosen for a request.
type PlacementStrategy string

// The ways of choosing.
const (
	// PlacementSlots prefers free slots among the servers that the fleet has not ejected.
	PlacementSlots PlacementStrategy = "Slots"
	// PlacementLoss prefers the least expected loss, from the outcomes of the last seconds.
	PlacementLoss PlacementStrategy = "Loss"
)

// Settings are the checked settings of one instance.
type Settings struct {
	Name            string
	DataCentre      string
	Region          string
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// MetricsAddress is empty where OperatorAddress serves.
	MetricsAddress string
	// AdvertisedAddress is empty where PeerAddress serves.
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

	CallerHeader        string
	CallerRate          float64
	CallerBurst         int
	CallerConcurrency   int
	MaxConcurrent       int
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
	IdleProofOfLife     time.Duration
	ReportInterval      time.Duration
	RequestIDLifetime   time.Duration
	RequestIDRetention  time.Duration
	RequestIDs          int
	BalancerNotice      time.Duration
	SilentConnectionLag time.Duration
}
