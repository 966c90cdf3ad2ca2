//go:build !linux

package bench

import "time"

// pause blocks the calling goroutine. Short sleeps may be rounded up.
func pause(duration time.Duration) { time.Sleep(duration) }
