package jyload

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/jackdawyard/jackdawyard/internal/jystandin"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// checkServerCounts compares the reported outcomes of the non-idempotent requests with the effects that the stand-in backend
// servers counted for them.
func (r *runner) checkServerCounts(ctx context.Context) error {
	effects := map[string]int{}
	for _, server := range r.config.Servers {
		counts, err := fetchCounts(ctx, server)
		if err != nil {
			return err
		}
		for token, n := range counts.Effects {
			if strings.HasPrefix(token, r.runID+"-") {
				effects[token] += n
			}
		}
	}
	for token, outcome := range r.reportedOutcomes {
		r.checkEffects(outcome, effects[token])
	}
	return nil
}

// checkEffects compares the last outcome of a non-idempotent request with the number of times that the request took effect.
func (r *runner) checkEffects(outcome jyoutcome.Outcome, effects int) {
	switch {
	case effects > 1:
		r.result.Twice++
	case outcome == jyoutcome.NotRun && effects > 0:
		r.result.RanAfterNotRun++
	case outcome == jyoutcome.Complete && effects == 0:
		r.result.LostWork++
	case outcome == jyoutcome.Unknown && effects == 0:
		r.result.UnknownNotRun++
	}
}

// fetchCounts returns the counts of the stand-in backend server at an address.
func fetchCounts(ctx context.Context, server string) (jystandin.Counts, error) {
	const op = "read counts"
	var counts jystandin.Counts
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server+jystandin.CountsPath, nil)
	if err != nil {
		return counts, jyfault.New(op, Unreachable, "%w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return counts, jyfault.New(op, Unreachable, "%w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&counts); err != nil {
		return counts, jyfault.New(op, Unreachable, "%s: %w", server, err)
	}
	return counts, nil
}
