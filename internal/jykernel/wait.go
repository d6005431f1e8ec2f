package jykernel

import (
	"context"
	"time"
)

// Wait returns after d, at once if d is not positive, or when ctx ends if that is sooner.
func Wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
