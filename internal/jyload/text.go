package jyload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// WriteText writes the result as human-readable lines.
func (r Result) WriteText(w io.Writer) {
	fmt.Fprintf(w, "Sent            %d in %.1f s, %d unsent, %d resent, %d broken\n", r.Sent, r.Seconds, r.Unsent, r.Resent, r.Broken)
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(w, "  %-13s %d\n", outcome, r.Outcomes[outcome])
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(w, "    %-20s %d\n", reason, r.Reasons[reason])
	}
	fmt.Fprintf(w, "Server errors   %d\n", r.ServerErr)
	fmt.Fprintf(w, "Latency         p50 %s  p99 %s  p99.9 %s  max %s\n",
		r.P50.Round(time.Microsecond), r.P99.Round(time.Microsecond), r.P999.Round(time.Microsecond), r.Max.Round(time.Microsecond))
	fmt.Fprintf(w, "Foreign         %d\nTruncated       %d\n", r.Foreign, r.Truncated)
	fmt.Fprintf(w, "Twice           %d\nRanAfterNotRun  %d\nLostWork        %d\nUnknownNotRun   %d\n", r.Twice, r.RanAfterNotRun, r.LostWork, r.UnknownNotRun)
}
