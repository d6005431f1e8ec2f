//go:build review2

package main

import (
	"context"
	"encoding/binary"
	"math"
	"net"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Instructions of the kernel's packet filter: see socket(7), SO_ATTACH_FILTER.
const (
	loadWord     = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
	jumpEqual    = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K
	returnValue  = unix.BPF_RET | unix.BPF_K
	sourceOffset = 12 // of the source address in an IPv4 header
	// networkHeader marks an offset that counts from the start of the IP header.
	networkHeader = uint32(math.MaxUint32 - 0x100000 + 1)
)

// listen opens a listener at a free port; see listenAt.
func listen() (*net.TCPListener, error) { return listenAt("127.0.0.1:0") }

// listenAt opens a listener that can ignore clients; one for multipath TCP, the default, takes no filter.
func listenAt(address string) (*net.TCPListener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// ignore makes this listener, and no other, drop the packets by which a client opens connections.
func ignore(l *net.TCPListener, client netip.Addr) error {
	address := client.As4()
	return filter(l, []unix.SockFilter{
		{Code: loadWord, K: networkHeader + sourceOffset},
		{Code: jumpEqual, K: binary.BigEndian.Uint32(address[:]), Jt: 1},
		{Code: returnValue, K: math.MaxUint32},
		{Code: returnValue, K: 0},
	})
}

// ignoreNobody ends what ignore did.
func ignoreNobody(l *net.TCPListener) error {
	return filter(l, []unix.SockFilter{{Code: returnValue, K: math.MaxUint32}})
}

// filter sets the packet filter of this listener.
func filter(l *net.TCPListener, program []unix.SockFilter) error {
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
