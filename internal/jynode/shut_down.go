package jynode

import (
	"context"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
)

// patience is how long beyond the longest deadline in force a request may take to end.
const patience = 5 * time.Second

// drainPoll is how often a leaving instance looks whether its requests have ended.
const drainPoll = 10 * time.Millisecond

// shutDown leaves the balancer, lets all requests end, hands the request ids over, and tells the fleet.
func (n *Node) shutDown() {
	close(n.draining)
	jylog.InstanceDraining.Log(n.proxy.InProgress())
	n.callers.http.SetKeepAlivesEnabled(false)
	time.Sleep(n.settings.BalancerNotice)
	ctx, cancel := context.WithTimeout(context.Background(), n.longestDeadline()+patience)
	defer cancel()
	// An error means that the time is over; what is left is counted below.
	_ = n.callers.http.Shutdown(ctx)
	if n.ledger != nil {
		n.ledger.Seal()
	}
	n.waitIdle(ctx)
	cutOff := n.proxy.InProgress()
	n.fleet.Leave(ctx, n.handOver(ctx))
	jylog.InstanceStopped.Log(cutOff)
}

// handOver returns who takes the request ids over, or nil.
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

func (n *Node) longestDeadline() time.Duration {
	longest := 0
	for _, s := range n.directory.Snapshot().State.Services {
		longest = max(longest, s.DeadlineMilliseconds)
	}
	return time.Duration(longest) * time.Millisecond
}

func (n *Node) waitIdle(ctx context.Context) {
	for n.proxy.InProgress() > 0 || n.requestIDs().Running > 0 {
		if ctx.Err() != nil {
			return
		}
		jykernel.Wait(ctx, drainPoll)
	}
}
