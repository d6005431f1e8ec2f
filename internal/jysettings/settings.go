package jysettings

import "time"

// Settings are the checked settings of one instance.
type Settings struct {
	Name            string
	DataCentre      string
	Region          string
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// AdvertisedAddress is empty where PeerAddress serves.
	AdvertisedAddress string
	MemoryLimit       int64

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
	ConnectTimeout      time.Duration
	IdleProofOfLife     time.Duration
	ReportInterval      time.Duration
	RequestIDLifetime   time.Duration
	RequestIDRetention  time.Duration
	RequestIDs          int
	BalancerNotice      time.Duration
	SilentConnectionLag time.Duration
}
