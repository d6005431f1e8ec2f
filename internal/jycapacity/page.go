package jycapacity

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// requiredFits are the keys of the fits without which WritePage fails. The benchmarks are in this folder, those of centre-lost and
// regions-apart in pkg/jymember.
var requiredFits = []string{
	"heartbeat ns/op", "heartbeat B-wire", "heartbeat B-heap", "new-connection B-wire", "everything B-wire", "ranked ns/op", "release-apply ns/op",
	"release-apply B-heap", "release-state B-file", "report B-wire", "report ns/op", "pool ns/op", "pool B-heap", "totals ns/op", "ledger B-heap",
	"hand-over B-wire", "limiter B-heap", "burn B-heap", "metrics B-heap", "announce B-wire", "connections B-heap", "routes ns/op", "spread s-virtual", "watch B-wire", "centre-lost s-virtual", "regions-apart s-virtual",
}

// WritePage writes the tables of docs/CAPACITY.md. It returns an error of kind Missing if a fit is missing.
func WritePage(w io.Writer, fits Fits) error {
	for _, name := range requiredFits {
		if _, ok := fits[name]; !ok {
			return jyfault.New("write capacity page", Missing, "no measurement of %q", name)
		}
	}
	var b strings.Builder
	size := TargetSize()
	writeRoles(&b, size, fits)
	writeSystemBounds(&b, SystemBounds(size, fits))
	writeFailureScenarios(&b, FailureScenarios(size, fits))
	writeRequestCosts(&b, size, fits)
	writeFits(&b, fits)
	_, err := io.WriteString(w, b.String())
	return err
}

func writeRoles(b *strings.Builder, size SystemSize, fits Fits) {
	fmt.Fprintf(b, "## Control at one instance, at the target size\n\n")
	fmt.Fprintf(b, "%.0f nodes, %.0f targets, %.0f services, %.0f routes, %.0f accounts, %.0f requests/s.\n",
		size.Instances, size.BackendServers, size.Services,
		size.Routes, size.ClientAccounts, size.RequestsPerSecond)
	fmt.Fprintf(b, "Roles marked * fall to few instances; their row shows the instance with the most of them.\n\n")
	fmt.Fprintf(b, "| Role | Mechanism | State | Messages/s | Bytes/s | Core | Memory | Formula |\n|---|---|---|---|---|---|---|---|\n")
	var total Cost
	for _, r := range Roles() {
		c := r.Cost(size, fits)
		total = total.plus(c)
		mark := ""
		if r.IsConcentrated {
			mark = " *"
		}
		fmt.Fprintf(b, "| %s%s | %s | %s | %.3f | %.0f | %.4f%% | %.2f MB | %s |\n",
			r.Name, mark, r.Mechanism, r.State, c.MessagesPerSecond, c.BytesPerSecond, 100*c.CoreShare, c.MemoryBytes/1e6, r.Formula)
	}
	fmt.Fprintf(b, "| **the instance with all of it** | | | %.2f | %.0f | %.3f%% | %.1f MB | sum |\n",
		total.MessagesPerSecond, total.BytesPerSecond, 100*total.CoreShare, total.MemoryBytes/1e6)
	fmt.Fprintf(b, "| **budget** | | | | %.0f | %.1f%% | %.0f MB | |\n", budgetBytesPerSecond, 100*budgetCoreShare, budgetMemoryBytes/1e6)
	fmt.Fprintf(b, "| **margin** | | | | %s | %s | %s | |\n\n",
		margin(total.BytesPerSecond, budgetBytesPerSecond),
		margin(total.CoreShare, budgetCoreShare),
		margin(total.MemoryBytes, budgetMemoryBytes))
}

// margin describes the unused part of a budget in percent, or the factor by which the value exceeds the budget.
func margin(value, budget float64) string {
	if value > budget {
		return fmt.Sprintf("RED, %.1f times over", value/budget)
	}
	return fmt.Sprintf("%.0f%% left", 100*(1-value/budget))
}

func writeSystemBounds(b *strings.Builder, bounds []SystemBound) {
	fmt.Fprintf(b, "## Bounds of the whole system\n\n| Bound | Value | Allowed | Margin | Formula |\n|---|---|---|---|---|\n")
	for _, v := range bounds {
		fmt.Fprintf(b, "| %s | %.4g %s | %.4g %s | %s | %s |\n", v.Name, v.Value, v.Unit, v.Limit, v.Unit, margin(v.Value, v.Limit), v.Formula)
	}
	fmt.Fprintln(b)
}

// writeRequestCosts writes the cost of forwarding requests, which is not part of the control budget.
func writeRequestCosts(b *strings.Builder, size SystemSize, fits Fits) {
	requestsPerInstance := size.RequestsPerSecond / size.Instances
	openConnections := size.Services * subsetSize * connectionsPerServer
	fmt.Fprintf(b, "## Requests at one instance, which are no control\n\n| What | At the target size | Formula |\n|---|---|---|\n")
	fmt.Fprintf(b, "| requests | %.0f/s | requests/s / nodes |\n", requestsPerInstance)
	fmt.Fprintf(b, "| connections to targets, if all are open | %.0f, %.1f MB | services x 3 x 2 x measured bytes |\n",
		openConnections, fits["connections B-heap"].At(openConnections)/1e6)
	fmt.Fprintf(b, "| look-up of a route | %.0f ns | fit at %.0f routes |\n", fits["routes ns/op"].At(size.Routes), size.Routes)
	fmt.Fprintf(b, "| request ids relayed to their issuer, at most | %.0f/s | requests/s / nodes x 0.3, if no caller keeps its connection |\n\n",
		requestsPerInstance*writeShare)
}

// writeFits writes the lines and the sizes at which they were measured.
func writeFits(b *strings.Builder, fits Fits) {
	fmt.Fprintf(b, "## The slopes\n\nThe error is the root mean square of the residuals as a share of the largest value. Times are of whole calls, both ends and the loopback included.\n\n")
	fmt.Fprintf(b, "| Slope | Sizes | Base | For each unit of size | Error | Plot |\n|---|---|---|---|---|---|\n")
	for _, key := range slices.Sorted(maps.Keys(fits)) {
		v := fits[key]
		var sizes []string
		for _, p := range v.Points {
			if text := fmt.Sprint(p.X); !slices.Contains(sizes, text) {
				sizes = append(sizes, text)
			}
		}
		fmt.Fprintf(b, "| %s | %s | %.4g | %.4g | %.1f%% | [plot](capacity/%s) |\n",
			key, strings.Join(sizes, ", "), v.Intercept, v.Slope, 100*v.RelativeRMSE, PlotName(v))
	}
}
