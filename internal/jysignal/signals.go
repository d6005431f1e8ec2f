package jysignal

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// Fleet is what is asked of the membership.
type Fleet interface {
	Self() jymember.Member
	Working() []jymember.Member
	// MembershipVersion returns a number that differs once Working does.
	MembershipVersion() uint64
}

// Config sets up Signals.
type Config struct {
	// Listen is the address of this instance's socket; peers have theirs at the same port.
	Listen    string
	Fleet     Fleet
	Directory *jybackend.Directory
}

const (
	// batchTime is how long news without failures waits for more.
	batchTime = 10 * time.Millisecond
	// maxServers bounds the servers in one datagram, so that it is not fragmented.
	maxServers = 50
	maxBytes   = 1400
)

// Signals sends and receives signals.
type Signals struct {
	config   Config
	self     jymember.Member
	conn     *net.UDPConn
	pending  *pending
	peers    *peers
	seen     map[string]*window // by sender; used by the receiving goroutine alone
	sequence atomic.Uint64
	told     map[uint64]view // used by the sending goroutine alone
}

// New opens the socket; its errors are of kind NoAddress.
func New(c Config) (*Signals, error) {
	const op = "listen for signals"
	address, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return nil, jyfault.New(op, NoAddress, "%w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, jyfault.New(op, NoAddress, "%w", err)
	}
	return &Signals{
		config: c, self: c.Fleet.Self(), conn: conn, pending: newPending(),
		peers: &peers{fleet: c.Fleet, port: address.Port()}, seen: map[string]*window{}, told: map[uint64]view{},
	}, nil
}

// Started records that a request was sent to the server.
func (s *Signals) Started(server *jybackend.Server) { s.pending.add(server, jybelief.Counts{}) }

// Ended records how a request ended.
func (s *Signals) Ended(server *jybackend.Server, o jybelief.Outcome, tells bool) {
	var c jybelief.Counts
	if tells {
		c[o] = 1
	}
	s.pending.add(server, c)
}

// Unserved records that a request ended without being served.
func (s *Signals) Unserved(server *jybackend.Server) { s.pending.addUnserved(server) }

// Run sends and receives until ctx ends.
func (s *Signals) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	go s.send(ctx)
	go s.catchUp(ctx)
	buffer := make([]byte, maxBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			jylog.SignalUnreadable.Log(err)
			jykernel.Wait(ctx, batchTime)
			continue
		}
		s.receive(buffer[:n], from)
	}
}

func (s *Signals) receive(raw []byte, from netip.AddrPort) {
	var m jywire.Signal
	if err := proto.Unmarshal(raw, &m); err != nil {
		jylog.SignalUnreadable.Log(err)
		return
	}
	if m.GetSender() == string(s.self.Name) || !s.isNew(&m) {
		return
	}
	if m.GetForward() {
		m.Forward = false
		s.post(&m, s.peers.nearby())
	}
	if m.GetWantsViews() {
		s.tellEverything(time.Now(), from)
	}
	s.take(&m)
}

// isNew reports whether the signal came for the first time; two relays may pass it on.
func (s *Signals) isNew(m *jywire.Signal) bool {
	w := s.seen[m.GetSender()]
	if w == nil {
		w = &window{}
		s.seen[m.GetSender()] = w
	}
	return w.add(m.GetBoot(), m.GetSequence())
}

func (s *Signals) take(m *jywire.Signal) {
	now := time.Now()
	from := jybackend.Reporter{Name: m.GetSender(), Boot: m.GetBoot(), Sequence: m.GetSequence()}
	isNear := m.GetDataCentre() == s.self.DataCentre
	if !isNear {
		s.config.Directory.RecordContact(now, jynote.DataCentreName(m.GetDataCentre()))
	}
	snapshot := s.config.Directory.Snapshot()
	for _, v := range m.GetServers() {
		snapshot.ApplyPeerReport(now, v.GetServer(), from, jybackend.PeerReport{
			InFlight: int(v.GetInFlight()), Outcomes: outcomesOf(v), Unserved: v.GetUnserved(), IsLocal: isNear,
		})
	}
	for _, v := range m.GetServices() {
		if !isNear {
			snapshot.ApplyRemoteCounts(now, v.GetService(), jybackend.RequestCounts{Served: v.GetServed(), Unserved: v.GetUnserved()})
		}
	}
	for _, v := range m.GetViews() {
		snapshot.ApplyRemoteView(now, v.GetServer(), int(v.GetLoad()), float64(v.GetGrayPerMille())/perMille)
	}
}

const perMille = 1000

func outcomesOf(v *jywire.ServerSignal) jybelief.Counts {
	return jybelief.Counts{
		jybelief.Answered: v.GetAnswered(), jybelief.FailedEarly: v.GetFailedEarly(),
		jybelief.FailedLate: v.GetFailedLate(), jybelief.Silent: v.GetSilent(),
	}
}

// post sends a signal as one datagram to each address.
func (s *Signals) post(m *jywire.Signal, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		jylog.SignalUnreadable.Log(err)
		return
	}
	for _, address := range to {
		// A full socket or a peer that is gone loses the datagram, as the network may; the next one makes up for it.
		_, _ = s.conn.WriteToUDPAddrPort(raw, address)
	}
}
