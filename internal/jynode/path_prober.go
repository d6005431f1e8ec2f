package jynode

import (
	"context"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
)

// pathProbeInterval is how often lost paths are probed when no request does so.
const pathProbeInterval = 250 * time.Millisecond

// pathProber probes lost paths to backend servers, so that the first request after the loss finds them again.
type pathProber struct {
	directory *jybackend.Directory
}

// Run probes until ctx ends. It always returns nil.
func (p pathProber) Run(ctx context.Context) error {
	ticker := time.NewTicker(pathProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for _, v := range p.directory.Snapshot().Services() {
				v.ProbeSoon(now)
			}
		}
	}
}
