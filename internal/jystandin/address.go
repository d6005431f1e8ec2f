package jystandin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// Range of the ports that FreeAddress hands out; it lies below the ports that systems give to outgoing connections.
const (
	firstPort = 20_000
	portCount = 12_000
)

var nextPort atomic.Uint32

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress() (string, error) {
	for range portCount {
		n := nextPort.Add(1)
		// Processes that run side by side begin at different places.
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
