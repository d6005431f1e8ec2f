package jyrelease_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/internal/jyrelease"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

const fleetService = "Fleet"

// alone is a membership of one.
type alone struct{}

func (alone) Run(context.Context) error { return nil }

func (alone) Self() jymember.Member                                                  { return jymember.Member{Name: "entry-1"} }
func (alone) SyncList([]jymember.ListedInstance)                                     {}
func (alone) RandomPeers(int) []jymember.Member                                      { return nil }
func (alone) RankedForKey(string, int, func(jymember.Member) bool) []jymember.Member { return nil }

func TestTheMarkCanBeReadWhileAStateComesIntoForce(t *testing.T) {
	var r *jyrelease.Distributor
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r = jyrelease.New(jyrelease.Config{FleetService: fleetService, OnState: func(jynote.State) {
		// The membership reads the mark under its own lock, for which coming into force may wait.
		read := make(chan struct{})
		go func() {
			r.CurrentNote()
			close(read)
		}()
		select {
		case <-read:
		case <-ctx.Done():
			t.Error("the mark waits for the state, which may wait for its reader")
		}
	}})
	k := jykernel.New()
	require.NoError(t, k.Register(fleetService, alone{}))
	require.NoError(t, r.Link(k))
	r.Offer(1, []byte(`{"Number":1}`))
	require.Equal(t, jynote.Number(1), r.CurrentNote().Number)
}
