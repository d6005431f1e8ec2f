package jysignal

// window remembers the sequence numbers seen of one sender, as far back as datagrams overtake each other.
type window struct {
	boot    uint64
	highest uint64
	seen    uint64 // bit i stands for highest-i
}

const windowSize = 64

// add records a number and reports whether it is new; numbers from before the window count as seen.
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
