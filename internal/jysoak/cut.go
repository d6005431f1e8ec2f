package jysoak

import (
	"encoding/binary"
	"math"
	"net"
	"net/netip"

	"golang.org/x/sys/unix"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// cutMode is what happens to the open connections of a client that is cut off. The packets that open new ones are dropped.
type cutMode int

const (
	cutNone   cutMode = iota
	cutReset          // open connections are reset
	cutLiveOn         // open connections live on
	cutSilent         // no bytes pass on open connections
)

// cutModes are the modes that a ServersCut step chooses from.
var cutModes = []cutMode{cutReset, cutLiveOn, cutSilent}

// cutOff cuts off the client with an IP address; cutNone ends that.
func (l *link) cutOff(source netip.Addr, m cutMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[source] = m
	if m == cutNone {
		delete(l.cuts, source)
	}
	if m == cutReset {
		for c, from := range l.connections {
			if from == source {
				resetConnection(c)
			}
		}
	}
	if err := dropOpening(l.listener, l.cuts); err != nil {
		panic(jyfault.New("cut off a client", NotStarted, "%w", err))
	}
}

// Instructions of the kernel's packet filter: see socket(7), SO_ATTACH_FILTER.
const (
	loadWord     = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
	jumpEqual    = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K
	returnValue  = unix.BPF_RET | unix.BPF_K
	sourceOffset = 12 // of the source address in an IPv4 header
	// networkHeader marks an offset that counts from the start of the IP header.
	networkHeader = uint32(math.MaxUint32 - 0x100000 + 1)
)

// dropOpening makes a listener ignore the packets of these IPv4 addresses, so that their attempts to connect get no answer.
func dropOpening(l *net.TCPListener, sources map[netip.Addr]cutMode) error {
	program := []unix.SockFilter{{Code: loadWord, K: networkHeader + sourceOffset}}
	left := len(sources)
	for source := range sources {
		address := source.As4()
		// A match jumps over the remaining comparisons and the first return.
		program = append(program, unix.SockFilter{Code: jumpEqual, K: binary.BigEndian.Uint32(address[:]), Jt: uint8(left)})
		left--
	}
	program = append(program, unix.SockFilter{Code: returnValue, K: math.MaxUint32}, unix.SockFilter{Code: returnValue, K: 0})
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	if err != nil {
		return err
	}
	return setErr
}
