package jysignal

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jyclock"
	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// Fleet is the part of the membership that Signals uses.
type Fleet interface {
	// Self returns this instance.
	Self() jymember.Member
	// Working returns the instances that are alive or suspected, this one included.
	Working() []jymember.Member
	// MembershipVersion returns a number that changes whenever the result of Working does.
	MembershipVersion() uint64
}

// Config holds the settings and collaborators of Signals.
type Config struct {
	// Listen is the UDP address of this instance, as IPv4 address:port. All instances use the same port.
	Listen string
	Fleet  Fleet
	// Directory provides the servers to report on, and receives what peers report.
	Directory *jybackend.Directory
	// Quotas may be nil: then no usage of client accounts is exchanged.
	Quotas Quotas
}

const (
	// batchDelay is how long updates without a failure wait for others, to be sent together, and the pause after a read error.
	batchDelay = 10 * time.Millisecond
	// maxServersPerSignal bounds the servers in one datagram, so that it is not fragmented.
	maxServersPerSignal = 50
	maxDatagramBytes    = 1400 // size of the receive buffer
)

// Signals sends this instance's observations of backend servers to its peers and applies those of the peers. It is a
// jybackend.Observer.
type Signals struct {
	config   Config
	self     jymember.Member
	conn     *net.UDPConn
	pending  *pendingUpdates
	peers    *peers
	windows  map[string]*window // by sender; used by the receiving goroutine alone
	delays   map[string]*delay  // by sender; used by the receiving goroutine alone
	started  jyclock.Instant
	sequence atomic.Uint64
	lastSent map[uint64]sentView // by server hash; used by the sending goroutine alone
	// limitsSentAt is when all limits were last sent; used by the sending goroutine alone.
	limitsSentAt time.Time
	// capacitiesSentAt is when capacities were last sent; used by the sending goroutine alone.
	capacitiesSentAt time.Time
	usage            *usageState
	// When usage was last sent to the local peers and to the other data centres; used by the sending goroutine alone.
	usageSentAt, sumSentAt time.Time
	heardSetAt             time.Time // when the heard instances were last counted; used by the sending goroutine alone
}

// New opens the UDP socket. It fails with an error of kind NoAddress if c.Listen is malformed or cannot be bound.
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
		config: c, self: c.Fleet.Self(), conn: conn, pending: newPendingUpdates(),
		peers: &peers{fleet: c.Fleet, port: address.Port()}, windows: map[string]*window{}, delays: map[string]*delay{}, started: jyclock.Now(), lastSent: map[uint64]sentView{}, usage: newUsageState(),
	}, nil
}

// Started records that a request was sent to the server, so that the server's new load is sent.
func (s *Signals) Started(server *jybackend.Server) { s.pending.add(server, jybelief.Counts{}) }

// Ended records the end of a request at the server. Its outcome is sent only if it is evidence about the server's health.
func (s *Signals) Ended(server *jybackend.Server, o jybelief.Outcome, isEvidence bool) {
	var c jybelief.Counts
	if isEvidence {
		c[o] = 1
	}
	s.pending.add(server, c)
}

// LimitChanged records that answers changed what is known about the server's limit, which all data centres are told at once.
func (s *Signals) LimitChanged(server *jybackend.Server) { s.pending.addLimitChange(server) }

// Unserved records that a request ended without being served; the server is the last one that it was sent to.
func (s *Signals) Unserved(server *jybackend.Server) { s.pending.addUnserved(server) }

// Run sends and receives signals until ctx ends, and then closes the socket. It always returns nil.
func (s *Signals) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	go s.send(ctx)
	go s.catchUp(ctx)
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			jylog.SignalUnreadable.Log(err)
			jykernel.Wait(ctx, batchDelay)
			continue
		}
		s.receive(buffer[:n], from)
	}
}

// receive applies a datagram from a peer. What one that waited too long says of the load and health of servers is ignored. If the sender asks for it, receive also forwards the datagram in the local data centre,
// and answers with its views of the servers. Duplicates and signals of this instance are dropped.
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
		s.sendTo(&m, s.peers.localPeers())
	}
	waited := s.delayOf(&m)
	s.applyUsage(&m, waited)
	if waited > maxDelay {
		jylog.SignalOutdated.LogAtMost(maxOutdatedLogLines, m.GetSender(), waited.Milliseconds())
		m.Servers, m.Services, m.Views, m.Capacities = nil, nil, nil, nil
	}
	if m.GetWantsViews() {
		s.sendAllViews(time.Now(), from)
	}
	s.apply(&m, from)
}

// isNew records the signal and reports whether it is the first copy: two relays may forward the same signal.
func (s *Signals) isNew(m *jywire.Signal) bool {
	w := s.windows[m.GetSender()]
	if w == nil {
		w = &window{}
		s.windows[m.GetSender()] = w
	}
	return w.add(m.GetBoot(), m.GetSequence())
}

// maxOutdatedLogLines is the maximum number of log lines per second about datagrams that waited too long.
const maxOutdatedLogLines = 2

// delayOf returns how long the signal waited before it was read, as far as known.
func (s *Signals) delayOf(m *jywire.Signal) time.Duration {
	if m.GetSentMicroseconds() == 0 {
		return 0
	}
	d := s.delays[m.GetSender()]
	if d == nil {
		d = &delay{}
		s.delays[m.GetSender()] = d
	}
	return d.of(m.GetBoot(), time.Duration(m.GetSentMicroseconds())*time.Microsecond, jyclock.Now().Sub(s.started))
}

// apply applies the updates, request counts, limits and views of a signal to the servers and services of the directory.
func (s *Signals) apply(m *jywire.Signal, from netip.AddrPort) {
	now := time.Now()
	reporter := jybackend.Reporter{Name: m.GetSender(), Boot: m.GetBoot(), Sequence: m.GetSequence()}
	isLocal := m.GetDataCentre() == s.self.DataCentre
	if !isLocal {
		s.config.Directory.RecordContact(now, jynote.DataCentreName(m.GetDataCentre()))
	}
	snapshot := s.config.Directory.Snapshot()
	for _, v := range m.GetServers() {
		snapshot.ApplyPeerReport(now, v.GetServer(), reporter, jybackend.PeerReport{
			InFlight: int(v.GetInFlight()), Outcomes: outcomesOf(v), Unserved: v.GetUnserved(), IsLocal: isLocal,
		})
	}
	for _, v := range m.GetServices() {
		if !isLocal {
			snapshot.ApplyRemoteCounts(now, v.GetService(), jybackend.RequestCounts{Served: v.GetServed(), Unserved: v.GetUnserved()})
		}
	}
	s.applyLimits(now, snapshot, m, from)
	applyCapacities(now, snapshot, m)
	for _, v := range m.GetViews() {
		snapshot.ApplyRemoteView(now, v.GetServer(), int(v.GetLoad()), float64(v.GetGrayPerMille())/perMille)
	}
}

const perMille = 1000 // a gray chance is sent in thousandths

func outcomesOf(v *jywire.ServerSignal) jybelief.Counts {
	return jybelief.Counts{
		jybelief.Answered: v.GetAnswered(), jybelief.FailedEarly: v.GetFailedEarly(),
		jybelief.FailedLate: v.GetFailedLate(), jybelief.Silent: v.GetSilent(),
	}
}

// sendTo sends a signal to each address, in one datagram each.
func (s *Signals) sendTo(m *jywire.Signal, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		jylog.SignalUnreadable.Log(err)
		return
	}
	for _, address := range to {
		// Errors are ignored: a full send buffer or an unreachable peer loses the datagram, as the network may. The next signal
		// about a server corrects its load.
		_, _ = s.conn.WriteToUDPAddrPort(raw, address)
	}
}
