package jystandin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// The range of the ports that FreeAddress returns. It is below the usual ephemeral range, so that outgoing connections don't use
// these ports.
const (
	firstPort = 20_000
	portCount = 12_000
)

var portCounter atomic.Uint32

// FreeAddress returns an address on 127.0.0.1 whose TCP port was free when it was checked. Its errors are of kind Unreachable.
func FreeAddress() (string, error) {
	for range portCount {
		n := portCounter.Add(1)
		// Concurrent processes start at different ports.
		port := firstPort + (uint32(os.Getpid())*97+n)%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return "", jyfault.New("find address", Unreachable, "%w", err)
		}
		return l.Addr().String(), nil
	}
	return "", jyfault.New("find address", Unreachable, "no free port")
}
