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

// lookBack is the time before the first line of the request from which on related lines are shown.
const lookBack = 10 * time.Second

// explanations maps a reason to its meaning in plain words.
var explanations = map[string]string{
	string(jyoutcome.ServerError):       "the backend server answered with an error; the request may have run",
	string(jyoutcome.AnswerLost):        "the request was sent, but the connection ended or returned no complete answer; it may have run",
	string(jyoutcome.DeadlinePassed):    "the deadline of the route or of the caller passed",
	string(jyoutcome.Overloaded):        "the instance was full, or no backend server or connection was free; the request did not run",
	string(jyoutcome.LimitReached):      "each backend server that could run it was at the limit that it stated; the request did not run",
	string(jyoutcome.NoBackendServer):   "no backend server of the service was usable; the request did not run",
	string(jyoutcome.DeclaredNotRun):    "each backend server that was tried declared that it did not run the request",
	string(jyoutcome.NoPath):            "neither this instance nor those that it asked reached a backend server; the request did not run",
	string(jyoutcome.ConnectFailed):     "no connection could be opened; the request did not run",
	string(jyoutcome.NoRoute):           "no route of the current configuration matches",
	string(jyoutcome.NoReleaseNote):     "the instance had no configuration yet",
	string(jyoutcome.KeyMissing):        "the route needs a key, and the request had none; it did not run",
	string(jyoutcome.KeyInvalid):        "the key was malformed, or there were several; the request did not run",
	string(jyoutcome.KeyUnknown):        "the key belonged to no client account of the current configuration; the request did not run",
	string(jyoutcome.AccountsStale):     "the instance did not know whether keys were revoked lately, so that it could not serve or resend the request",
	string(jyoutcome.QuotaReached):      "the client account was over its quota; the request did not run",
	string(jyoutcome.CancelledByCaller): "the caller cancelled the request",
	string(jyoutcome.RequestBlocked):    "the request crashed backend servers before and is blocked",
}

// Write writes the lines about the request with this id and the lines related to it, in order of time, and then the outcome with
// its reason in plain words.
func Write(out io.Writer, id string, lines []Line) error {
	request := requestLines(id, lines)
	if len(request) == 0 {
		_, err := fmt.Fprintf(out, "No line names request %s. Only a sample of the served requests is logged. Failures are logged up to a limit per second, which event %d reports.\n",
			id, jylog.LinesSuppressed.Number)
		return err
	}
	shown := slices.Concat(request, relatedLines(request, lines))
	slices.SortStableFunc(shown, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range shown {
		if _, err := fmt.Fprintf(out, "%s  %s  %s %s\n", l.Time.Format("15:04:05.000000"), l.File, l.Message, formatFields(l)); err != nil {
			return err
		}
	}
	return writeReason(out, request[len(request)-1])
}

// requestLines returns the lines about the request in order of time.
func requestLines(id string, lines []Line) []Line {
	var out []Line
	for _, l := range lines {
		if l.Fields["Request"] == id {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// relatedLines returns the lines about the servers that the request was sent to and about the configuration. They are from the log
// files that name the request, from lookBack before its first line to its last one. Lines about other requests are left out.
func relatedLines(request, lines []Line) []Line {
	first, last := request[0].Time.Add(-lookBack), request[len(request)-1].Time
	servers, files := map[string]bool{}, map[string]bool{}
	for _, l := range request {
		servers[l.Fields["Server"]] = true
		files[l.File] = true
	}
	var out []Line
	for _, l := range lines {
		if !files[l.File] || l.Time.Before(first) || l.Time.After(last) || l.Fields["Request"] != "" {
			continue
		}
		isState := l.Event == jylog.StateApplied.Number || l.Event == jylog.PlatformUnreachable.Number || l.Event == jylog.PlatformReachable.Number
		if isState || (l.Fields["Server"] != "" && servers[l.Fields["Server"]]) {
			out = append(out, l)
		}
	}
	return out
}

// formatFields returns the fields as sorted name=value pairs, except Event and Request.
func formatFields(l Line) string {
	var parts []string
	for name, value := range l.Fields {
		if name != "Event" && name != "Request" {
			parts = append(parts, name+"="+value)
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// writeReason writes the outcome and its reason, which the last line about the request states.
func writeReason(out io.Writer, last Line) error {
	reason := last.Fields["Reason"]
	if reason == "" {
		_, err := fmt.Fprintf(out, "Outcome: %s.\n", last.Message)
		return err
	}
	explanation, known := explanations[reason]
	if !known {
		explanation = "see docs/INTERFACES.md"
	}
	_, err := fmt.Fprintf(out, "Outcome: %s, %s: %s.\n", last.Message, reason, explanation)
	return err
}
