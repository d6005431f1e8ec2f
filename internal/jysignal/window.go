package jysignal

// window records which of the latest sequence numbers of one sender were received, to drop duplicates; datagrams may arrive
// out of order.
type window struct {
	boot    uint64
	highest uint64
	seen    uint64 // bit i is set if highest-i was received
}

const windowSize = 64 // bits of window.seen

// add records a sequence number and reports whether it is new. Numbers older than the window, and numbers of an earlier boot,
// count as received; a later boot starts an empty window.
func (w *window) add(boot, sequence uint64) bool {
	if boot < w.boot {
		return false
	}
	if boot > w.boot {
		*w = window{boot: boot}
	}
	if sequence > w.highest {
		w.seen = w.seen<<min(windowSize, sequence-w.highest) | 1
		w.highest = sequence
		return true
	}
	behind := w.highest - sequence
	if behind >= windowSize || w.seen&(1<<behind) != 0 {
		return false
	}
	w.seen |= 1 << behind
	return true
}
