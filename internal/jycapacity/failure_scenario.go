package jycapacity

import (
	"fmt"
	"strings"
)

// FailureScenario is the cost of an event that changes much state at once.
type FailureScenario struct {
	Name  string
	State string // the state that changes
	// ExtraBytesPerSecond is what one instance sends and receives during the scenario, in addition to the cost of its roles.
	ExtraBytesPerSecond float64
	// RecoverySeconds is the time until the fleet has recovered.
	RecoverySeconds float64
	Formula         string // how both follow from the fits
}

// Assumptions about the failure scenarios.
const (
	rackInstances        = 20
	restartSeconds       = 3600
	gossipBytesPerSecond = 2 * 2 * 40 * updateBytes // two exchanges per second with 40 updates in each direction
)

// FailureScenarios returns the failure scenarios that the users specified, with their costs at the given size.
func FailureScenarios(size SystemSize, fits Fits) []FailureScenario {
	records := size.RequestsPerSecond / size.Instances * writeShare * idRetentionSeconds
	startBytes := 3*fits["everything B-wire"].At(size.Instances) + fits["release-state B-wire"].At(size.BackendServers)
	handOverBytes := fits["hand-over B-wire"].At(records)
	centreLossSeconds := fits["centre-lost s-virtual"].At(size.Instances)
	return []FailureScenario{
		{
			"a rack is lost", fmt.Sprintf("%d members", rackInstances),
			gossipBytesPerSecond,
			centreLossSeconds * rackInstances / (size.Instances / size.DataCentres),
			"news in 40 pieces a call; time as for a data centre, by members",
		},
		{
			"a data centre is lost at the peak",
			fmt.Sprintf("%.0f members, %.0f targets", size.Instances/size.DataCentres, size.BackendServers/size.DataCentres),
			gossipBytesPerSecond + 2*3*fits["heartbeat B-wire"].At(size.Instances)/size.DataCentres,
			centreLossSeconds,
			"news and helpers of each sixth heartbeat; measured in virtual time",
		},
		{
			"regions out of sight for two minutes", fmt.Sprintf("%.0f members on each side", size.Instances/size.Regions), gossipBytesPerSecond,
			fits["regions-apart s-virtual"].At(size.Instances), "measured in virtual time, from the moment at which they see each other again",
		},
		{
			"all nodes restart in an hour, the configuration service away", fmt.Sprintf("%.1f MB of ids handed over by each", handOverBytes/1e6),
			2 * (startBytes + handOverBytes) / restartSeconds,
			fits["release-state ns/op"].At(size.BackendServers)*secondsPerNanosecond + 4*callSeconds,
			"2 x (3 x everything + state + hand-over) / 3600 s; time of one start",
		},
	}
}

func writeFailureScenarios(b *strings.Builder, scenarios []FailureScenario) {
	fmt.Fprintf(b, "## Bad days, by the slopes\n\nBytes come on top of the sum above while the day lasts; the budget of %.0f is for ordinary days.\n\n",
		budgetBytesPerSecond)
	fmt.Fprintf(b, "| Day | State that changes | More bytes/s at one instance | Until recovered | Formula |\n|---|---|---|---|---|\n")
	for _, s := range scenarios {
		fmt.Fprintf(b, "| %s | %s | %.0f | %.3g s | %s |\n", s.Name, s.State, s.ExtraBytesPerSecond, s.RecoverySeconds, s.Formula)
	}
	fmt.Fprintln(b)
}
