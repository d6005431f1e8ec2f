package jysignal

import (
	"context"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
)

// Fleet is what is asked of the membership.
type Fleet interface {
	Self() jymember.Member
	Working() []jymember.Member
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
	// peerInterval is how often the list of peers is read.
	peerInterval = 500 * time.Millisecond
	// maxServers bounds the servers in one datagram, so that it is not fragmented.
	maxServers = 50
	maxBytes   = 1400
)

// Signals sends and receives signals.
type Signals struct {
	config   Config
	conn     *net.UDPConn
	port     uint16
	pending  *pending
	sequence uint64
	near     []netip.AddrPort
	far      []peer
	read     time.Time
}

// peer is an instance in another data centre.
type peer struct {
	address    netip.AddrPort
	dataCentre string
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
	return &Signals{config: c, conn: conn, port: address.Port(), pending: newPending()}, nil
}

// Started records that a request was sent to the server.
func (s *Signals) Started(server *jybackend.Server) { s.pending.add(server, news{}) }

// Ended records the result of a request.
func (s *Signals) Ended(server *jybackend.Server, r jybackend.Result) {
	switch r {
	case jybackend.Failed:
		s.pending.add(server, news{failed: 1})
	case jybackend.Answered:
		s.pending.add(server, news{answered: 1})
	default:
		s.pending.add(server, news{})
	}
}

// Run sends and receives until ctx ends.
func (s *Signals) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	go s.send(ctx)
	buffer := make([]byte, maxBytes)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			jylog.SignalUnreadable.Log(err)
			jykernel.Wait(ctx, batchTime)
			continue
		}
		s.take(buffer[:n])
	}
}

func (s *Signals) take(raw []byte) {
	var m jywire.Signal
	if err := proto.Unmarshal(raw, &m); err != nil {
		jylog.SignalUnreadable.Log(err)
		return
	}
	now := time.Now()
	from := jybackend.Reporter{Name: m.GetSender(), Boot: m.GetBoot(), Sequence: m.GetSequence()}
	snapshot := s.config.Directory.Snapshot()
	for _, v := range m.GetServers() {
		if server := snapshot.ByHash(v.GetServer()); server != nil {
			server.Hear(now, from, jybackend.Heard{InFlight: int(v.GetInFlight()), Answered: int(v.GetAnswered()), Failed: int(v.GetFailed())})
		}
	}
}

func (s *Signals) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pending.ready:
		}
		select {
		case <-s.pending.urgent:
		case <-time.After(batchTime):
		}
		s.tell(time.Now(), s.pending.take())
	}
}

// tell sends all news to the instances nearby; others hear of failures, and of load at servers in their data centre.
func (s *Signals) tell(now time.Time, all map[*jybackend.Server]news) {
	s.readPeers(now)
	var list []*jywire.ServerSignal
	var failed []*jywire.ServerSignal
	away := map[string][]*jywire.ServerSignal{}
	for server, n := range all {
		v := &jywire.ServerSignal{Server: server.Hash(), InFlight: uint32(max(0, server.InFlight())), Answered: n.answered, Failed: n.failed}
		list = append(list, v)
		centre := string(server.Info.DataCentre)
		switch {
		case n.failed > 0:
			failed = append(failed, v)
		case centre != s.config.Fleet.Self().DataCentre:
			away[centre] = append(away[centre], v)
		}
	}
	for _, to := range s.near {
		s.post(to, list)
	}
	for _, p := range s.far {
		s.post(p.address, append(away[p.dataCentre], failed...))
	}
}

// post sends a signal in as many datagrams as it needs; one that is lost is made up for by the next about the same server.
func (s *Signals) post(to netip.AddrPort, list []*jywire.ServerSignal) {
	self := s.config.Fleet.Self()
	for len(list) > 0 {
		part := list[:min(len(list), maxServers)]
		list = list[len(part):]
		s.sequence++
		raw, err := proto.Marshal(&jywire.Signal{Sender: string(self.Name), Boot: uint64(self.Boot), Sequence: s.sequence, Servers: part})
		if err != nil {
			jylog.SignalUnreadable.Log(err)
			return
		}
		// A full socket or a peer that is gone loses the datagram, as the network may.
		_, _ = s.conn.WriteToUDPAddrPort(raw, to)
	}
}

func (s *Signals) readPeers(now time.Time) {
	if now.Sub(s.read) < peerInterval {
		return
	}
	s.read = now
	s.near, s.far = s.near[:0], s.far[:0]
	self := s.config.Fleet.Self()
	for _, m := range s.config.Fleet.Working() {
		address, err := netip.ParseAddrPort(m.Address)
		if m.Name == self.Name || err != nil {
			continue
		}
		to := netip.AddrPortFrom(address.Addr(), s.port)
		if m.DataCentre == self.DataCentre {
			s.near = append(s.near, to)
			continue
		}
		s.far = append(s.far, peer{address: to, dataCentre: m.DataCentre})
	}
}
