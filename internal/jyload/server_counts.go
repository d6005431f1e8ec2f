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

// audit compares what callers were told with what the stand-in backend servers counted.
func (r *runner) audit(ctx context.Context) error {
	effects := map[string]int{}
	for _, s := range r.config.Servers {
		c, err := fetchCounts(ctx, s)
		if err != nil {
			return err
		}
		for token, n := range c.Effects {
			if strings.HasPrefix(token, r.run+"-") {
				effects[token] += n
			}
		}
	}
	for token, told := range r.told {
		r.judge(told, effects[token])
	}
	return nil
}

func (r *runner) judge(told jyoutcome.Outcome, effects int) {
	switch {
	case effects > 1:
		r.result.Twice++
	case told == jyoutcome.NotRun && effects > 0:
		r.result.RanAfterNotRun++
	case told == jyoutcome.Complete && effects == 0:
		r.result.LostWork++
	case told == jyoutcome.Unknown && effects == 0:
		r.result.UnknownNotRun++
	}
}

func fetchCounts(ctx context.Context, server string) (jystandin.Counts, error) {
	const op = "read counts"
	var c jystandin.Counts
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server+jystandin.CountsPath, nil)
	if err != nil {
		return c, jyfault.New(op, Unreachable, "%w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return c, jyfault.New(op, Unreachable, "%w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		return c, jyfault.New(op, Unreachable, "%s: %w", server, err)
	}
	return c, nil
}
