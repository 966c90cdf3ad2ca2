package bench

import (
	"syscall"
	"time"
)

// pause blocks the calling thread. time.Sleep is not used, since an idle Go program rounds short sleeps up to 1 ms,
// which is more than the latencies to be injected.
func pause(span time.Duration) {
	if span <= 0 {
		return
	}
	ts := syscall.NsecToTimespec(span.Nanoseconds())
	// An interrupted sleep only shortens one delay.
	_ = syscall.Nanosleep(&ts, nil)
}
