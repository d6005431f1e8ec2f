package jysignal

import "time"

// maxDelay is how long a datagram may have waited unread: after that, what it says of servers' load and health is outdated.
const maxDelay = time.Second

// delay estimates how long datagrams of one process run of a sender waited before they were read.
type delay struct {
	boot uint64
	// shortest is the least difference seen between the receiver's clock and the sender's statement of the time.
	shortest time.Duration
	known    bool
}

// of returns how much longer than the fastest one a datagram took that was sent at sent by the sender's clock and read at read by
// the receiver's. The clocks need not agree, but must run on while a machine is suspended.
func (d *delay) of(boot uint64, sent, read time.Duration) time.Duration {
	difference := read - sent
	if !d.known || boot != d.boot || difference < d.shortest {
		*d = delay{boot: boot, shortest: difference, known: true}
	}
	return difference - d.shortest
}
