package jysignal

import (
	"net/netip"
	"sync"

	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jyrendezvous"
)

// peers knows where the other instances take signals.
type peers struct {
	fleet Fleet
	port  uint16

	mu sync.Mutex
	// isRead says that the list was read, as of the fleet's changes.
	isRead  bool
	changes uint64
	near    []netip.AddrPort
	// far holds the instances of each other data centre, in the order in which this one uses them as relays.
	far map[string][]netip.AddrPort
	// speaks says that this instance tells other data centres what its own believes.
	speaks bool
}

// nearby returns the instances in the same data centre.
func (p *peers) nearby() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	return p.near
}

// relays returns up to count instances of each other data centre.
func (p *peers) relays(count int) map[string][]netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	out := make(map[string][]netip.AddrPort, len(p.far))
	for centre, list := range p.far {
		out[centre] = list[:min(count, len(list))]
	}
	return out
}

// isSpeaker reports whether this instance speaks for its data centre.
func (p *peers) isSpeaker() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	return p.speaks
}

func (p *peers) refresh() {
	changes := p.fleet.MembershipVersion()
	if p.isRead && changes == p.changes {
		return
	}
	p.isRead, p.changes = true, changes
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
