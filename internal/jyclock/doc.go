// Package jyclock reads a clock that runs on while the machine is suspended, which the monotonic clock of package time does not.
package jyclock
