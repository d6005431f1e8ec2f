package jybackend

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jydistance"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

const (
	// linkSmoothing is the weight of one connection in the means of a link, as for the round-trip time in TCP (RFC 6298).
	linkSmoothing = 1.0 / 8
	// lostMessageTime is the time to open a connection from which a message must have been lost: the first retransmission comes
	// after one second (RFC 6298).
	lostMessageTime = time.Second
)

// links holds what connections to backend servers show about the path to each data centre. It is safe for concurrent use.
type links struct {
	mu       sync.Mutex
	byCentre map[jynote.DataCentreName]jydistance.Link
}

func newLinks() *links { return &links{byCentre: map[jynote.DataCentreName]jydistance.Link{}} }

// recordConnect records an attempt to open a connection to a server in the data centre. A refused connection is as good as an
// opened one. Errors without an answer count as a loss only if they are time-outs.
func (l *links) recordConnect(centre jynote.DataCentreName, elapsed time.Duration, err error) {
	var e net.Error
	isTimeout := errors.As(err, &e) && e.Timeout()
	isLost := isTimeout || elapsed >= lostMessageTime
	if err != nil && !isTimeout && !isRefused(err) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	link, known := l.byCentre[centre]
	switch {
	case isLost:
		link.Loss += linkSmoothing * (1 - link.Loss)
	case !known:
		link.RoundTrip = elapsed
	default:
		link.Loss -= linkSmoothing * link.Loss
		link.RoundTrip += time.Duration(linkSmoothing * float64(elapsed-link.RoundTrip))
	}
	l.byCentre[centre] = link
}

// link returns what is known of the path to the data centre, or false if no connection was tried yet.
func (l *links) link(centre jynote.DataCentreName) (jydistance.Link, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	link, known := l.byCentre[centre]
	return link, known
}
