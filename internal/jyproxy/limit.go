package jyproxy

import (
	"net/http"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jyquota"
)

// maxMalformedLogLines is the maximum number of log lines per second about malformed limits.
const maxMalformedLogLines = 5

// recordLimit records the limit that the server states in an answer, or that it states none. An answer with status 421 comes from
// another server at the same address. Only a signed success ends a limit: another answer without one need not come from the server.
func (a *attempt) recordLimit(resp *http.Response) {
	service := a.request.match.Service
	if service.LimitHeader == "" || resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	values := resp.Header.Values(service.LimitHeader)
	if len(values) == 0 {
		if a.request.dialect.isSignedSuccess(resp) {
			a.request.service.RecordNoLimit(a.server(), a.started)
		}
		return
	}
	rate, err := parseLimit(values)
	if err != nil {
		jylog.ServerLimitMalformed.LogAtMost(maxMalformedLogLines, service.Name, a.server().Info.Name, err)
		return
	}
	a.request.service.RecordLimit(a.server(), time.Now(), rate)
}

// parseLimit returns the limit that the values of a header state. Its errors are of kind jyquota.Malformed.
func parseLimit(values []string) (jyquota.Rate, error) {
	if len(values) > 1 {
		return 0, jyfault.New("read limit", jyquota.Malformed, "%d limits in one answer", len(values))
	}
	return jyquota.ParseRate(values[0])
}

// sendKind returns why the attempt is made.
func (a *attempt) sendKind() jybackend.SendKind {
	switch {
	case a.placement.IsTrial:
		return jybackend.TrialSend
	case len(a.request.tried) > 1:
		return jybackend.RetrySend
	}
	return jybackend.FirstSend
}
