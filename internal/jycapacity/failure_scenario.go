package jycapacity

import (
	"fmt"
	"strings"
)

// FailureScenario is a day on which much changes at once.
type FailureScenario struct {
	Name  string
	State string
	// ExtraBytesPerSecond is what one instance sends and receives more a second while it lasts.
	ExtraBytesPerSecond float64
	// RecoverySeconds is the time until the fleet has recovered.
	RecoverySeconds float64
	Formula         string
}

// Shares and times of bad days.
const (
	rackNodes       = 20
	restartHour     = 3600
	newsBytesPerSec = 2 * 2 * 40 * memberBytes // two exchanges a second, 40 pieces of news each way
)

// FailureScenarios returns what the days that the letter names cost.
func FailureScenarios(z SystemSize, s Fits) []FailureScenario {
	records := z.RequestsPerSecond / z.Instances * writeShare * idSeconds
	start := 3*s["everything B-wire"].At(z.Instances) + s["release-state B-wire"].At(z.BackendServers)
	handOver := s["hand-over B-wire"].At(records)
	centre := s["centre-lost s-virtual"].At(z.Instances)
	return []FailureScenario{
		{
			"a rack is lost", fmt.Sprintf("%d members", rackNodes), newsBytesPerSec, centre * rackNodes / (z.Instances / z.DataCentres),
			"news in 40 pieces a call; time as for a data centre, by members",
		},
		{
			"a data centre is lost at the peak", fmt.Sprintf("%.0f members, %.0f targets", z.Instances/z.DataCentres, z.BackendServers/z.DataCentres),
			newsBytesPerSec + 2*3*s["heartbeat B-wire"].At(z.Instances)/z.DataCentres, centre, "news and helpers of each sixth heartbeat; measured in virtual time",
		},
		{
			"regions out of sight for two minutes", fmt.Sprintf("%.0f members on each side", z.Instances/z.Regions), newsBytesPerSec,
			s["regions-apart s-virtual"].At(z.Instances), "measured in virtual time, from the moment at which they see each other again",
		},
		{
			"all nodes restart in an hour, the configuration service away", fmt.Sprintf("%.1f MB of ids handed over by each", handOver/1e6),
			2 * (start + handOver) / restartHour, s["release-state ns/op"].At(z.BackendServers)*nano + 4*hopSeconds,
			"2 x (3 x everything + state + hand-over) / 3600 s; time of one start",
		},
	}
}

func writeBadDays(b *strings.Builder, days []FailureScenario) {
	fmt.Fprintf(b, "## Bad days, by the slopes\n\nBytes come on top of the sum above while the day lasts; the budget of %.0f is for ordinary days.\n\n", budgetBytes)
	fmt.Fprintf(b, "| Day | State that changes | More bytes/s at one instance | Until recovered | Formula |\n|---|---|---|---|---|\n")
	for _, d := range days {
		fmt.Fprintf(b, "| %s | %s | %.0f | %.3g s | %s |\n", d.Name, d.State, d.ExtraBytesPerSecond, d.RecoverySeconds, d.Formula)
	}
	fmt.Fprintln(b)
}
