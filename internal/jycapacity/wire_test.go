package jycapacity_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/internal/jyplatform"
	"github.com/jackdawyard/jackdawyard/internal/jystandin"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/internal/jywire/jywireconnect"
	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
)

// peerServer answers calls as an instance does.
type peerServer struct {
	jywireconnect.UnimplementedPeerServiceHandler
	table *jymember.Table
}

// Heartbeat answers as jyfleet does.
func (p *peerServer) Heartbeat(
	_ context.Context, r *connect.Request[jywire.HeartbeatRequest],
) (*connect.Response[jywire.HeartbeatResponse], error) {
	now := time.Now()
	p.table.Merge(now, jypeer.UpdatesFromWire(r.Msg.GetUpdates()))
	p.table.RecordAnswer(now, jypeer.MemberFromWire(r.Msg.GetSender()))
	return connect.NewResponse(&jywire.HeartbeatResponse{
		Sender: jypeer.MemberToWire(p.table.Self()), Updates: jypeer.UpdatesToWire(p.table.Updates()),
		Note: jypeer.NoteRefToWire(jypeer.NoteRef{Number: 790}),
	}), nil
}

// Report answers a report with one verdict.
func (p *peerServer) Report(context.Context, *connect.Request[jywire.ReportRequest]) (*connect.Response[jywire.ReportResponse], error) {
	verdicts := jypeer.VerdictsToWire(time.Now(), []jydetector.Verdict{{Server: "service-100-server-10", Phase: jydetector.Ejected, Until: time.Now().Add(time.Minute)}})
	return connect.NewResponse(&jywire.ReportResponse{Services: []*jywire.ServiceVerdicts{{Service: "service-100", Verdicts: verdicts}}}), nil
}

// Announce answers an announcement.
func (p *peerServer) Announce(
	context.Context, *connect.Request[jywire.AnnounceRequest],
) (*connect.Response[jywire.AnnounceResponse], error) {
	return connect.NewResponse(&jywire.AnnounceResponse{}), nil
}

// countingListener counts the bytes of all its connections, in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns a connection whose bytes are counted.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes read.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes written.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// measureCalls measures calls to another instance over the real codec and transport, and the bytes of a call and its answer with
// framing. If opensConnections is set, each call opens its connection first.
func measureCalls(
	b *testing.B, instances int, opensConnections bool,
	call func(ctx context.Context, c jywireconnect.PeerServiceClient) error,
) {
	var bytes atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	path, handler := jywireconnect.NewPeerServiceHandler(&peerServer{table: newTable(1, instances)})
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = server.Serve(countingListener{listener, &bytes}) }()
	defer func() { _ = server.Close() }()
	client := jypeer.NewClients(jypeer.Credentials{}).At(listener.Addr().String())
	require.NoError(b, call(b.Context(), client))
	bytes.Store(0)
	calls := 0
	for b.Loop() {
		if opensConnections {
			client = jypeer.NewClients(jypeer.Credentials{}).At(listener.Addr().String())
		}
		if err := call(b.Context(), client); err != nil {
			b.Fatal(err)
		}
		calls++
	}
	b.ReportMetric(float64(bytes.Load())/float64(calls), wireUnit)
}

// heartbeat measures a heartbeat exchange in a fleet in which one member changes before each exchange, and the memory of the
// membership table.
func heartbeat(b *testing.B, instances int) {
	defer b.ReportMetric(heapOf(func() any { return newTable(0, instances) }), heapUnit)
	t := newTable(0, instances)
	updated := newMember(2)
	measureCalls(b, instances, false, func(ctx context.Context, c jywireconnect.PeerServiceClient) error {
		updated.Incarnation++
		m := updated
		t.Merge(time.Now(), []jymember.Update{{Member: &m}})
		t.NextProbe(rand.Shuffle)
		t.Expire(time.Now())
		r, err := c.Heartbeat(ctx, connect.NewRequest(&jywire.HeartbeatRequest{
			Sender: jypeer.MemberToWire(t.Self()), Updates: jypeer.UpdatesToWire(t.Updates()),
			Note: jypeer.NoteRefToWire(jypeer.NoteRef{Number: 790}),
		}))
		if err != nil {
			return err
		}
		t.Merge(time.Now(), jypeer.UpdatesFromWire(r.Msg.GetUpdates()))
		t.RecordAnswer(time.Now(), jypeer.MemberFromWire(r.Msg.GetSender()))
		return nil
	})
}

// report measures an evidence report on a number of servers, with its answer.
func report(b *testing.B, servers int) {
	n := uint64(0)
	measureCalls(b, 15, false, func(ctx context.Context, c jywireconnect.PeerServiceClient) error {
		n += 20
		_, err := c.Report(ctx, connect.NewRequest(newReport(1, servers, n)))
		return err
	})
}

// announce measures the announcement of a note.
func announce(b *testing.B, _ int) {
	measureCalls(b, 15, false, func(ctx context.Context, c jywireconnect.PeerServiceClient) error {
		_, err := c.Announce(ctx, connect.NewRequest(&jywire.AnnounceRequest{
			SenderAddress: "10.1.1.1:9080", Note: jypeer.NoteRefToWire(jypeer.NoteRef{Number: 790}),
		}))
		return err
	})
}

// newConnection measures a call that opens its connection first.
func newConnection(b *testing.B, _ int) {
	measureCalls(b, 15, true, func(ctx context.Context, c jywireconnect.PeerServiceClient) error {
		_, err := c.Announce(ctx, connect.NewRequest(&jywire.AnnounceRequest{
			SenderAddress: "10.1.1.1:9080", Note: jypeer.NoteRefToWire(jypeer.NoteRef{Number: 790}),
		}))
		return err
	})
}

// watch measures a long poll of the configuration that ends without a change.
func watch(b *testing.B, _ int) {
	var bytes atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	platform := jystandin.NewPlatform("")
	platform.Publish(790, []byte(`{"Number":790}`))
	server := &http.Server{Handler: platform}
	go func() { _ = server.Serve(countingListener{listener, &bytes}) }()
	defer func() { _ = server.Close() }()
	client := jyplatform.NewClient("http://" + listener.Addr().String())
	calls := 0
	for b.Loop() {
		if _, err := client.Head(b.Context(), 790, time.Millisecond); err != nil {
			b.Fatal(err)
		}
		calls++
	}
	b.ReportMetric(float64(bytes.Load())/float64(calls), wireUnit)
}
