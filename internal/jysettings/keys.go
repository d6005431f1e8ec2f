package jysettings

import "time"

const (
	sectionInstance = "Instance"
	sectionPlatform = "Platform"
	sectionPeers    = "Peers"
	sectionCallers  = "Callers"
	sectionServers  = "BackendServers"
	sectionRequests = "RequestIds"
	sectionAccounts = "Accounts"
)

// Keys returns the table of all settings keys with their defaults and ranges.
func Keys() []Key {
	return []Key{
		{Section: sectionInstance, Name: "Name", Allowed: "a name unique in the fleet", Meaning: "Identifies the instance to its peers.", set: text(func(s *Settings) *string { return &s.Name })},
		{Section: sectionInstance, Name: "DataCentre", Allowed: "a name", Meaning: "The data centre in which the instance runs.", set: text(func(s *Settings) *string { return &s.DataCentre })},
		{Section: sectionInstance, Name: "Region", Default: "Default", Allowed: "a name", Meaning: "The region of the data centre.", set: text(func(s *Settings) *string { return &s.Region })},
		{Section: sectionInstance, Name: "CallerAddress", Allowed: "an IP number and a port", Meaning: "Where callers, through the balancer, reach the instance.", set: address(func(s *Settings) *string { return &s.CallerAddress })},
		{Section: sectionInstance, Name: "PeerAddress", Allowed: "an IP number and a port", Meaning: "Where other instances reach this one.", set: address(func(s *Settings) *string { return &s.PeerAddress })},
		{Section: sectionInstance, Name: "AdvertisedAddress", Optional: true, Allowed: "an IP number and a port", Meaning: "Where other instances reach this one if not at PeerAddress itself, as behind a translation of addresses.", set: address(func(s *Settings) *string { return &s.AdvertisedAddress })},
		{Section: sectionInstance, Name: "OperatorAddress", Allowed: "an IP number and a port", Meaning: "Where operators and the balancer's checks reach the instance.", set: address(func(s *Settings) *string { return &s.OperatorAddress })},
		{Section: sectionInstance, Name: "MetricsAddress", Optional: true, Allowed: "an IP number and a port", Meaning: "Where the metrics are shown beside OperatorAddress.", set: address(func(s *Settings) *string { return &s.MetricsAddress })},
		{Section: sectionInstance, Name: "BalancerNotice", Unit: "time", Default: "2s", Allowed: "0s to 1m", Meaning: "How long a leaving instance still takes new requests, so that the balancer can notice.", set: duration(0, time.Minute, func(s *Settings) *time.Duration { return &s.BalancerNotice })},

		{Section: sectionInstance, Name: "MemoryLimit", Unit: "bytes", Default: "134217728", Allowed: "33554432 to 1099511627776", Meaning: "Heap above which the collector works harder; no hard bound.", set: integer(int64(1<<25), 1<<40, func(s *Settings) *int64 { return &s.MemoryLimit })},

		{Section: sectionInstance, Name: "HeapGrowthPercent", Default: "400", Allowed: "10 to 1000", Meaning: "How far the heap grows between collections; less spares memory at the price of processor time.", set: integer(10, 1000, func(s *Settings) *int { return &s.HeapGrowthPercent })},

		{Section: sectionPlatform, Name: "Source", Default: string(SourceNotes), Allowed: "Notes or Store", Meaning: "Notes reads release notes; Store reads whole configurations, and the backend servers that register themselves.", set: oneOf(func(s *Settings) *Source { return &s.Source }, SourceNotes, SourceStore)},
		{Section: sectionPlatform, Name: "ConfigurationAddress", Allowed: "an http or https address", Meaning: "The platform's configuration service and instance list.", set: httpAddress(func(s *Settings) *string { return &s.ConfigurationAddress })},
		{Section: sectionPlatform, Name: "WatchWait", Unit: "time", Default: "1s", Allowed: "100ms to 5m", Meaning: "How long one watch call waits for a change.", set: duration(100*time.Millisecond, 5*time.Minute, func(s *Settings) *time.Duration { return &s.WatchWait })},
		{Section: sectionPlatform, Name: "PollInterval", Unit: "time", Default: "5s", Allowed: "1s to 5m", Meaning: "How long the service is left alone at most after failures.", set: duration(time.Second, 5*time.Minute, func(s *Settings) *time.Duration { return &s.PollInterval })},
		{Section: sectionPlatform, Name: "ListInterval", Unit: "time", Default: "5m", Allowed: "1s to 1h", Meaning: "How often a watcher reads the list of instances; an instance that sees no other reads it every PollInterval.", set: duration(time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.ListInterval })},
		{Section: sectionPlatform, Name: "WatchersPerCentre", Default: "2", Allowed: "1 to 10", Meaning: "How many instances of each data centre watch the service for the others.", set: integer(1, 10, func(s *Settings) *int { return &s.WatchersPerCentre })},

		{Section: sectionPeers, Name: "Seeds", Optional: true, Allowed: "addresses, separated by commas", Meaning: "Instances to ask at the start beside those of the platform's list, for when the list is away.", set: addresses(func(s *Settings) *[]string { return &s.Seeds })},
		{Section: sectionPeers, Name: "SharedKey", Optional: true, Allowed: "at least 16 characters", Meaning: "Key by which instances accept each other.", set: text(func(s *Settings) *string { return &s.SharedKey })},
		{Section: sectionPeers, Name: "CertificateFile", Optional: true, Allowed: "a PEM file", Meaning: "Certificate for mutual TLS between instances.", set: text(func(s *Settings) *string { return &s.CertificateFile })},
		{Section: sectionPeers, Name: "PrivateKeyFile", Optional: true, Allowed: "a PEM file", Meaning: "Private key of the certificate.", set: text(func(s *Settings) *string { return &s.PrivateKeyFile })},
		{Section: sectionPeers, Name: "AuthorityFile", Optional: true, Allowed: "a PEM file", Meaning: "Authority that must have signed a peer's certificate.", set: text(func(s *Settings) *string { return &s.AuthorityFile })},
		{Section: sectionPeers, Name: "PlaintextLoopback", Default: "false", Allowed: "true or false", Meaning: "Allows peers without key or TLS, on loopback addresses only.", set: boolean(func(s *Settings) *bool { return &s.PlaintextLoopback })},
		{Section: sectionPeers, Name: "PrivateNetwork", Default: "false", Allowed: "true or false", Meaning: "Allows peers without key or TLS, on a network that the fleet has to itself.", set: boolean(func(s *Settings) *bool { return &s.PrivateNetwork })},
		{Section: sectionPeers, Name: "SignalPort", Default: "0", Allowed: "0 to 65535", Meaning: "UDP port, the same at all instances, for signals about backend servers; 0 sends none.", set: integer(0, 65535, func(s *Settings) *int { return &s.SignalPort })},
		{Section: sectionPeers, Name: "HeartbeatInterval", Unit: "time", Default: "1s", Allowed: "50ms to 1m", Meaning: "How often an instance sends a heartbeat to one of its peers.", set: duration(50*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.HeartbeatInterval })},
		{Section: sectionPeers, Name: "PeerTimeout", Unit: "time", Default: "300ms", Allowed: "5ms to 10s", Meaning: "How long a peer may take to answer a control call.", set: duration(5*time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.PeerTimeout })},
		{Section: sectionPeers, Name: "ReportInterval", Unit: "time", Default: "1s", Allowed: "50ms to 1m", Meaning: "How often evidence without failures is sent to the pooling instances; failures are sent within a fiftieth of it.", set: duration(50*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.ReportInterval })},

		{Section: sectionCallers, Name: "CallerHeader", Default: "Authorization", Allowed: "a header name", Meaning: "Header that tells callers apart; the address serves where it is absent.", set: text(func(s *Settings) *string { return &s.CallerHeader })},
		{Section: sectionCallers, Name: "CallerRate", Unit: "requests/s", Default: "200", Allowed: "0.1 to 1000000", Meaning: "Rate at which one caller may send requests to this instance.", set: decimal(0.1, 1e6, func(s *Settings) *float64 { return &s.CallerRate })},
		{Section: sectionCallers, Name: "CallerBurst", Unit: "requests", Default: "400", Allowed: "1 to 1000000", Meaning: "Requests that a caller may send at once.", set: integer(1, 1_000_000, func(s *Settings) *int { return &s.CallerBurst })},
		{Section: sectionCallers, Name: "CallerConcurrency", Unit: "requests", Default: "100", Allowed: "1 to 1000000", Meaning: "Requests of one caller in progress at this instance.", set: integer(1, 1_000_000, func(s *Settings) *int { return &s.CallerConcurrency })},
		{Section: sectionCallers, Name: "MaxConcurrent", Unit: "requests", Default: "4096", Allowed: "1 to 1000000", Meaning: "Requests in progress at this instance.", set: integer(1, 1_000_000, func(s *Settings) *int { return &s.MaxConcurrent })},

		{Section: sectionAccounts, Name: "RevocationBound", Unit: "time", Default: "0s", Allowed: "0s, or 500ms to 1h", Meaning: "How long after it was taken away a key may still be served; an instance that does not know for so long whether keys were taken away refuses requests with keys. 0s sets no bound.", set: durationOrZero(500*time.Millisecond, time.Hour, func(s *Settings) *time.Duration { return &s.RevocationBound })},

		{Section: sectionServers, Name: "TransferPrice", Unit: "request values/GB", Default: "0", Allowed: "0 to 1000000000", Meaning: "Price of traffic to backend servers in other data centres, as a multiple of the value of one request; 0 counts only their distance.", set: decimal(0, 1e9, func(s *Settings) *float64 { return &s.TransferPrice })},
		{Section: sectionServers, Name: "MaxAnswerBytes", Unit: "bytes", Default: "67108864", Allowed: "1024 to 1099511627776", Meaning: "Largest answer that is passed on.", set: integer(int64(1024), 1<<40, func(s *Settings) *int64 { return &s.MaxAnswerBytes })},
		{Section: sectionServers, Name: "RetryBudgetShare", Default: "0.2", Allowed: "0 to 1", Meaning: "Retries allowed, as a share of the answered requests.", set: decimal(0, 1, func(s *Settings) *float64 { return &s.RetryBudgetShare })},
		{Section: sectionServers, Name: "RetryBudgetSlack", Unit: "retries", Default: "0", Allowed: "0 to 100000", Meaning: "Retries that the whole fleet may make beyond the share, in quick succession; instances divide them.", set: decimal(0, 100_000, func(s *Settings) *float64 { return &s.RetryBudgetSlack })},
		{Section: sectionServers, Name: "Placing", Default: string(PlacementSlots), Allowed: "Slots or Loss", Meaning: "Slots prefers free slots among the servers that are not ejected; Loss prefers the least expected loss, from the outcomes of the last seconds.", set: oneOf(func(s *Settings) *PlacementStrategy { return &s.Placing }, PlacementSlots, PlacementLoss)},
		{Section: sectionServers, Name: "LeastUsedShare", Default: "0.7", Allowed: "0 to 1", Meaning: "Share of a service's servers that must get requests within two seconds, also doubted ones, where Placing is Loss.", set: decimal(0, 1, func(s *Settings) *float64 { return &s.LeastUsedShare })},
		{Section: sectionServers, Name: "MaxIdle", Unit: "time", Default: "30s", Allowed: "100ms to 1h", Meaning: "How long a connection is kept without use, unless the server states less.", set: duration(100*time.Millisecond, time.Hour, func(s *Settings) *time.Duration { return &s.MaxIdle })},
		{Section: sectionServers, Name: "ConnectTimeout", Unit: "time", Default: "250ms", Allowed: "1ms to 30s", Meaning: "How long a new connection may take.", set: duration(time.Millisecond, 30*time.Second, func(s *Settings) *time.Duration { return &s.ConnectTimeout })},
		{Section: sectionServers, Name: "SourceAddress", Optional: true, Allowed: "an IP number", Meaning: "Address of this machine from which connections to backend servers are opened; without it, the system chooses one.", set: ip(func(s *Settings) *string { return &s.SourceAddress })},
		{Section: sectionServers, Name: "IdleProofOfLife", Unit: "time", Default: "200ms", Allowed: "1ms to 10m", Meaning: "How long after its last answer a connection may carry a non-idempotent request.", set: duration(time.Millisecond, 10*time.Minute, func(s *Settings) *time.Duration { return &s.IdleProofOfLife })},
		{Section: sectionServers, Name: "SilentConnectionLag", Unit: "time", Default: "25ms", Allowed: "1ms to 10s", Meaning: "How long beyond the service's usual latency an idempotent request waits before it is tried on a new connection too.", set: duration(time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.SilentConnectionLag })},

		{Section: sectionRequests, Name: "Lifetime", Unit: "time", Default: "5m", Allowed: "1s to 24h", Meaning: "How long after its issue a request id may be used first.", set: duration(time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.RequestIDLifetime })},
		{Section: sectionRequests, Name: "Retention", Unit: "time", Default: "5m", Allowed: "1s to 24h", Meaning: "How long beyond its lifetime the outcome of a request id is kept.", set: duration(time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.RequestIDRetention })},
		{Section: sectionRequests, Name: "Records", Unit: "request ids", Default: "100000", Allowed: "1 to 100000000", Meaning: "Used request ids that are remembered; beyond it new ones are refused.", set: integer(1, 100_000_000, func(s *Settings) *int { return &s.RequestIDs })},
		{Section: sectionRequests, Name: "MaxReplayBytes", Unit: "bytes", Default: "65536", Allowed: "0 to 65536", Meaning: "Largest answer that is kept for a resend.", set: integer(int64(0), 1<<16, func(s *Settings) *int64 { return &s.MaxReplayBytes })},
		{Section: sectionRequests, Name: "MaxKeptBytes", Unit: "bytes", Default: "16777216", Allowed: "0 to 1073741824", Meaning: "Bound on all answers that are kept for resends; the oldest make room.", set: integer(int64(0), 1<<30, func(s *Settings) *int64 { return &s.MaxKeptBytes })},
	}
}
