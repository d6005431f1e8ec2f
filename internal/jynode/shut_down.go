package jynode

import (
	"context"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
)

// drainGracePeriod is how long beyond the longest current deadline a request may take to finish.
const drainGracePeriod = 5 * time.Second

// drainPollInterval is how often a draining instance checks whether its requests have finished.
const drainPollInterval = 10 * time.Millisecond

// shutDown fails the load balancer's health checks, lets the requests in progress finish, hands the request ids over, and notifies
// the fleet. It cuts requests off that take longer than the longest current deadline plus drainGracePeriod.
func (n *Node) shutDown() {
	close(n.draining)
	jylog.InstanceDraining.Log(n.proxy.InProgress())
	n.callers.drain()
	time.Sleep(n.settings.BalancerNotice)
	ctx, cancel := context.WithTimeout(context.Background(), n.longestDeadline()+drainGracePeriod)
	defer cancel()
	n.callers.shutDown(ctx)
	if n.ledger != nil {
		n.ledger.Seal()
	}
	n.waitUntilIdle(ctx)
	cutOff := n.proxy.InProgress()
	n.fleet.Leave(ctx, n.handOver(ctx))
	jylog.InstanceStopped.Log(cutOff)
}

// handOver hands the request ids over and returns the process run that owns them now, or nil if there is none. After an error, the
// run owns the ids of some issuers only.
func (n *Node) handOver(ctx context.Context) *jymember.Run {
	if n.relay == nil {
		return nil
	}
	successor, err := n.relay.HandOver(ctx)
	if err != nil {
		jylog.HandOverFailed.Log(err)
	}
	return successor
}

// longestDeadline returns the longest deadline of a current service, or 0 without services.
func (n *Node) longestDeadline() time.Duration {
	longest := 0
	for _, s := range n.directory.Snapshot().State.Services {
		longest = max(longest, s.DeadlineMilliseconds)
	}
	return time.Duration(longest) * time.Millisecond
}

// waitUntilIdle returns when no request is in progress or running under a request id, or when ctx ends.
func (n *Node) waitUntilIdle(ctx context.Context) {
	for n.proxy.InProgress() > 0 || n.requestIDs().Running > 0 {
		if ctx.Err() != nil {
			return
		}
		jykernel.Wait(ctx, drainPollInterval)
	}
}
