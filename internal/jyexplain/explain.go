package jyexplain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// memory is how far back beliefs are shown.
const memory = 10 * time.Second

// reasons says in plain words what a reason means.
var reasons = map[string]string{
	string(jyoutcome.ServerError):       "the backend server answered with an error; such a request may have run",
	string(jyoutcome.AnswerLost):        "the connection ended, or brought no whole answer, after the request was sent; it may have run",
	string(jyoutcome.DeadlinePassed):    "the time of the route or of the caller was over",
	string(jyoutcome.Overloaded):        "no backend server had room; the request did not run",
	string(jyoutcome.NoBackendServer):   "no backend server of the service was in use; the request did not run",
	string(jyoutcome.DeclaredNotRun):    "each backend server that was tried said that it did not run the request",
	string(jyoutcome.ConnectFailed):     "no connection could be opened; the request did not run",
	string(jyoutcome.NoRoute):           "no route of the configuration in force fits",
	string(jyoutcome.NoReleaseNote):     "the instance had no configuration yet",
	string(jyoutcome.CancelledByCaller): "the caller left",
	string(jyoutcome.RequestBlocked):    "the request ended backend servers before, and is blocked",
}

// Write writes what the lines tell of the request, in order of time, with the reason in plain words at the end.
func Write(out io.Writer, id string, lines []Line) error {
	own := of(id, lines)
	if len(own) == 0 {
		_, err := fmt.Fprintf(out, "No line names request %s. Served requests are sampled; failures are not, up to the bound that event %d tells of.\n",
			id, jylog.LinesSuppressed.Number)
		return err
	}
	shown := append(own, beliefs(own, lines)...)
	slices.SortStableFunc(shown, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range shown {
		if _, err := fmt.Fprintf(out, "%s  %s  %s %s\n", l.Time.Format("15:04:05.000000"), l.Source, l.Text, fields(l)); err != nil {
			return err
		}
	}
	return writeReason(out, own[len(own)-1])
}

func of(id string, lines []Line) []Line {
	var out []Line
	for _, l := range lines {
		if l.Fields["Request"] == id {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// beliefs returns what the same instances came to believe, shortly before, of the servers that the request was sent to.
func beliefs(own, lines []Line) []Line {
	first, last := own[0].Time.Add(-memory), own[len(own)-1].Time
	servers, sources := map[string]bool{}, map[string]bool{}
	for _, l := range own {
		servers[l.Fields["Server"]] = true
		sources[l.Source] = true
	}
	var out []Line
	for _, l := range lines {
		if !sources[l.Source] || l.Time.Before(first) || l.Time.After(last) || l.Fields["Request"] != "" {
			continue
		}
		isState := l.Event == jylog.StateApplied.Number || l.Event == jylog.PlatformUnreachable.Number || l.Event == jylog.PlatformReachable.Number
		if isState || (l.Fields["Server"] != "" && servers[l.Fields["Server"]]) {
			out = append(out, l)
		}
	}
	return out
}

func fields(l Line) string {
	var parts []string
	for name, value := range l.Fields {
		if name != "Event" && name != "Request" {
			parts = append(parts, name+"="+value)
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

func writeReason(out io.Writer, end Line) error {
	reason := end.Fields["Reason"]
	if reason == "" {
		_, err := fmt.Fprintf(out, "Outcome: %s.\n", end.Text)
		return err
	}
	words, known := reasons[reason]
	if !known {
		words = "see docs/INTERFACES.md"
	}
	_, err := fmt.Fprintf(out, "Outcome: %s, %s: %s.\n", end.Text, reason, words)
	return err
}
