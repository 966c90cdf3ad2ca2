package clock

import (
	"golang.org/x/sys/unix"
)

// Boot is a clock that also counts the time during which the VM was suspended. Leases are measured with it, so that a
// process finds its leases expired after a suspension that outlasted them.
type Boot struct{}

// NewBoot returns a clock that counts from the boot of the VM.
func NewBoot() *Boot { return &Boot{} }

// Now returns the time since the boot of the VM in ms plus 1,000, so that a zero Millis is always in the past.
func (*Boot) Now() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it, leases cannot be measured.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return Second + Millis(ts.Sec)*Second + Millis(ts.Nsec)/1_000_000
}
