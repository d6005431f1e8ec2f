package jysignal

import (
	"net/netip"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jyrendezvous"
)

// peerInterval is how often the list of peers is read.
const peerInterval = 500 * time.Millisecond

// peers knows where the other instances take signals.
type peers struct {
	fleet Fleet
	port  uint16

	mu   sync.Mutex
	read time.Time
	near []netip.AddrPort
	// far holds the instances of each other data centre, in the order in which this one uses them as relays.
	far map[string][]netip.AddrPort
	// speaks says that this instance tells other data centres what its own believes.
	speaks bool
}

// nearby returns the instances in the same data centre.
func (p *peers) nearby(now time.Time) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	return p.near
}

// relays returns up to count instances of each other data centre.
func (p *peers) relays(now time.Time, count int) map[string][]netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	out := make(map[string][]netip.AddrPort, len(p.far))
	for centre, list := range p.far {
		out[centre] = list[:min(count, len(list))]
	}
	return out
}

// isSpeaker reports whether this instance speaks for its data centre.
func (p *peers) isSpeaker(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	return p.speaks
}

func (p *peers) refresh(now time.Time) {
	if now.Sub(p.read) < peerInterval {
		return
	}
	p.read = now
	self := p.fleet.Self()
	byCentre := map[string][]jymember.Name{}
	address := map[jymember.Name]netip.AddrPort{}
	for _, m := range p.fleet.Working() {
		a, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			continue
		}
		address[m.Name] = netip.AddrPortFrom(a.Addr(), p.port)
		byCentre[m.DataCentre] = append(byCentre[m.DataCentre], m.Name)
	}
	p.near, p.far = nil, map[string][]netip.AddrPort{}
	for centre, names := range byCentre {
		if centre == self.DataCentre {
			p.speaks = jyrendezvous.Top("speaker", names, 1)[0] == self.Name
		}
		for _, name := range jyrendezvous.Top(string(self.Name), names, len(names)) {
			switch {
			case name == self.Name:
			case centre == self.DataCentre:
				p.near = append(p.near, address[name])
			default:
				p.far[centre] = append(p.far[centre], address[name])
			}
		}
	}
}
