package jysignal

import (
	"net/netip"
	"sync"

	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jyrendezvous"
)

// peers caches the signal addresses of the other instances.
type peers struct {
	fleet Fleet
	port  uint16

	mu sync.Mutex
	// loaded is set by the first refresh; the fields below reflect the membership at version.
	loaded  bool
	version uint64
	local   []netip.AddrPort // the other instances in this data centre
	// remote lists the instances of each other data centre, in the order in which this instance uses them as relays.
	remote map[string][]netip.AddrPort
	// representative is set if this instance sends its data centre's views to the other data centres.
	representative bool
}

// localPeers returns the addresses of the other instances in this data centre.
func (p *peers) localPeers() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	return p.local
}

// relays returns the addresses of up to count instances of each other data centre, by data centre name.
func (p *peers) relays(count int) map[string][]netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	out := make(map[string][]netip.AddrPort, len(p.remote))
	for centre, list := range p.remote {
		out[centre] = list[:min(count, len(list))]
	}
	return out
}

// nearestPeers returns the addresses of the other instances in this data centre or, if there are none, of one instance of each
// other data centre.
func (p *peers) nearestPeers() []netip.AddrPort {
	if local := p.localPeers(); len(local) > 0 {
		return local
	}
	var out []netip.AddrPort
	for _, list := range p.relays(1) {
		out = append(out, list...)
	}
	return out
}

// isRepresentative reports whether this instance sends its data centre's views to the other data centres.
func (p *peers) isRepresentative() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	return p.representative
}

// refresh rebuilds the addresses if the membership has changed. The caller has locked mu.
func (p *peers) refresh() {
	version := p.fleet.MembershipVersion()
	if p.loaded && version == p.version {
		return
	}
	p.loaded, p.version = true, version
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
	p.local, p.remote = nil, map[string][]netip.AddrPort{}
	for centre, names := range byCentre {
		if centre == self.DataCentre {
			p.representative = jyrendezvous.Top("speaker", names, 1)[0] == self.Name
		}
		// The ranking depends on this instance's name, so that the instances of a data centre use different relays.
		for _, name := range jyrendezvous.Top(string(self.Name), names, len(names)) {
			switch {
			case name == self.Name:
			case centre == self.DataCentre:
				p.local = append(p.local, address[name])
			default:
				p.remote[centre] = append(p.remote[centre], address[name])
			}
		}
	}
}
