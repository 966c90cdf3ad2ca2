package clock

import (
	"golang.org/x/sys/unix"
)

// Boot is a clock that also counts the time for which the VM was suspended. Leases are measured with it, since a
// process that was suspended must find its leases expired.
type Boot struct{}

// NewBoot returns a clock that counts from the start of the VM.
func NewBoot() *Boot { return &Boot{} }

// Now returns the ms since the VM started, and one second more, so that a zero Millis is always in the past.
func (*Boot) Now() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease can be measured.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return Second + Millis(ts.Sec)*Second + Millis(ts.Nsec)/1_000_000
}
