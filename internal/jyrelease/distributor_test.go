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

// soleMember is a membership whose only member is this instance.
type soleMember struct{}

func (soleMember) Run(context.Context) error { return nil }

func (soleMember) Self() jymember.Member                                                  { return jymember.Member{Name: "entry-1"} }
func (soleMember) SyncList([]jymember.ListedInstance)                                     {}
func (soleMember) RandomPeers(int) []jymember.Member                                      { return nil }
func (soleMember) RankedForKey(string, int, func(jymember.Member) bool) []jymember.Member { return nil }

func TestCurrentNoteIsReadableWhileOnStateRuns(t *testing.T) {
	var d *jyrelease.Distributor
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	d = jyrelease.New(jyrelease.Config{FleetService: fleetService, OnState: func(jynote.State) {
		// The membership calls CurrentNote under its own lock, and OnState may wait for that lock. If CurrentNote waited for
		// OnState, both would deadlock.
		read := make(chan struct{})
		go func() {
			d.CurrentNote()
			close(read)
		}()
		select {
		case <-read:
		case <-ctx.Done():
			t.Error("CurrentNote waits for OnState to return")
		}
	}})
	k := jykernel.New()
	require.NoError(t, k.Register(fleetService, soleMember{}))
	require.NoError(t, d.Link(k))
	d.Offer(1, []byte(`{"Number":1}`))
	require.Equal(t, jynote.Number(1), d.CurrentNote().Number)
}
