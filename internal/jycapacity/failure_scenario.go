package jycapacity

import (
	"fmt"
	"strings"
)

// BadDay is a day on which much changes at once.
type BadDay struct {
	Name  string
	State string
	// Bytes is what one instance sends and receives more a second while it lasts.
	Bytes float64
	// Seconds is the time until the fleet has recovered.
	Seconds float64
	Formula string
}

// Shares and times of bad days.
const (
	rackNodes       = 20
	restartHour     = 3600
	newsBytesPerSec = 2 * 2 * 40 * memberBytes // two exchanges a second, 40 pieces of news each way
)

// BadDays returns what the days that the letter names cost.
func BadDays(z Size, s Slopes) []BadDay {
	records := z.Requests / z.Nodes * writeShare * idSeconds
	start := 3*s["everything B-wire"].At(z.Nodes) + s["release-state B-wire"].At(z.Targets)
	handOver := s["hand-over B-wire"].At(records)
	centre := s["centre-lost s-virtual"].At(z.Nodes)
	return []BadDay{
		{
			"a rack is lost", fmt.Sprintf("%d members", rackNodes), newsBytesPerSec, centre * rackNodes / (z.Nodes / z.Centres),
			"news in 40 pieces a call; time as for a data centre, by members",
		},
		{
			"a data centre is lost at the peak", fmt.Sprintf("%.0f members, %.0f targets", z.Nodes/z.Centres, z.Targets/z.Centres),
			newsBytesPerSec + 2*3*s["heartbeat B-wire"].At(z.Nodes)/z.Centres, centre, "news and helpers of each sixth heartbeat; measured in virtual time",
		},
		{
			"regions out of sight for two minutes", fmt.Sprintf("%.0f members on each side", z.Nodes/z.Regions), newsBytesPerSec,
			s["regions-apart s-virtual"].At(z.Nodes), "measured in virtual time, from the moment at which they see each other again",
		},
		{
			"all nodes restart in an hour, the configuration service away", fmt.Sprintf("%.1f MB of ids handed over by each", handOver/1e6),
			2 * (start + handOver) / restartHour, s["release-state ns/op"].At(z.Targets)*nano + 4*hopSeconds,
			"2 x (3 x everything + state + hand-over) / 3600 s; time of one start",
		},
	}
}

func writeBadDays(b *strings.Builder, days []BadDay) {
	fmt.Fprintf(b, "## Bad days, by the slopes\n\nBytes come on top of the sum above while the day lasts; the budget of %.0f is for ordinary days.\n\n", budgetBytes)
	fmt.Fprintf(b, "| Day | State that changes | More bytes/s at one instance | Until recovered | Formula |\n|---|---|---|---|---|\n")
	for _, d := range days {
		fmt.Fprintf(b, "| %s | %s | %.0f | %.3g s | %s |\n", d.Name, d.State, d.Bytes, d.Seconds, d.Formula)
	}
	fmt.Fprintln(b)
}
