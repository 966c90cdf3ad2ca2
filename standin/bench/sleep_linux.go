package bench

import (
	"syscall"
	"time"
)

// pause blocks the calling thread. time.Sleep is not used, since an idle Go program rounds short sleeps up to 1 ms,
// which is more than some of the injected latencies.
func pause(duration time.Duration) {
	if duration <= 0 {
		return
	}
	ts := syscall.NsecToTimespec(duration.Nanoseconds())
	// An interrupted sleep only shortens one delay.
	_ = syscall.Nanosleep(&ts, nil)
}
