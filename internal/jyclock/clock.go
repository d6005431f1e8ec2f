package jyclock

import (
	"golang.org/x/sys/unix"

	"github.com/jackdawyard/jackdawyard/pkg/jylease"
)

// Instant is a reading of the clock.
type Instant = jylease.Instant

// Now returns the current reading. If the kernel has no such clock, it panics: every supported one does.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}
