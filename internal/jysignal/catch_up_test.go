package jysignal_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jysignal"
	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// fleet is a membership that does not change.
type fleet struct {
	self   jymember.Member
	others []jymember.Member
}

func (f fleet) Self() jymember.Member      { return f.self }
func (f fleet) Working() []jymember.Member { return append([]jymember.Member{f.self}, f.others...) }
func (f fleet) MembershipVersion() uint64  { return 1 }

func member(address string) jymember.Member {
	return jymember.Member{Name: jymember.Name("entry-" + address), Boot: 1, Address: address + ":1", DataCentre: "one"}
}

func newDirectory(centre string) *jybackend.Directory {
	d := jybackend.NewDirectory(jybackend.Config{
		ByExpectedLoss: true, DataCentre: centre,
		CountInstances: func() int { return 2 },
		InSameRegion:   func(jynote.DataCentreName) bool { return true },
	})
	return d
}

// applyState applies a state with one server.
func applyState(d *jybackend.Directory) {
	d.Apply(jynote.State{
		Number: 1, Services: []jynote.Service{{Name: "s", DeadlineMilliseconds: 1000}},
		BackendServers: []jynote.BackendServer{{Name: "a", Service: "s", Address: "127.0.0.1:1", DataCentre: "one", Slots: 2, Connections: 300}},
	})
}

// freePort returns the address of a UDP port that was free at 127.0.0.2.
func freePort(t *testing.T) netip.AddrPort {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2)})
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	return netip.MustParseAddrPort(conn.LocalAddr().String())
}

// start runs an instance at address self with peers at the other addresses, and returns its directory.
func start(t *testing.T, port uint16, self string, others ...string) *jybackend.Directory {
	d := newDirectory("one")
	listen := netip.AddrPortFrom(netip.MustParseAddr(self), port)
	members := fleet{self: member(self)}
	for _, other := range others {
		members.others = append(members.others, member(other))
	}
	s, err := jysignal.New(jysignal.Config{Listen: listen.String(), Fleet: members, Directory: d})
	require.NoError(t, err)
	d.SetObserver(s)
	applyState(d)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	return d
}

func grayChance(d *jybackend.Directory) float64 {
	_, gray := d.Snapshot().Server("s", "a").View(time.Now())
	return gray
}

func TestANewInstanceReceivesTheViewsOfItsPeers(t *testing.T) {
	const first, second = "127.0.0.2", "127.0.0.3"
	port := freePort(t).Port()
	running := start(t, port, first, second)
	var failed jybelief.Counts
	failed[jybelief.FailedEarly] = 2
	snapshot := running.Snapshot()
	snapshot.ApplyPeerReport(time.Now(), snapshot.Server("s", "a").Hash(),
		jybackend.Reporter{Name: "entry-3", Boot: 1, Sequence: 1},
		jybackend.PeerReport{Outcomes: failed, IsLocal: true})
	require.Greater(t, grayChance(running), 0.9)

	started := start(t, port, second, first)
	assert.Eventually(t, func() bool { return grayChance(started) > 0.9 }, 10*time.Second, 5*time.Millisecond)
}
