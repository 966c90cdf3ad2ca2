package hostile

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// usagePeriod is the time between two samples of the memory of a process.
const usagePeriod = 20 * time.Millisecond

// usage samples the memory that the platform charges a process for: its resident memory and the bytes that connections to
// its listeners hold unread, accepted or not.
type usage struct {
	// ports holds the ports of the listeners as /proc/net/tcp prints them.
	ports   map[string]bool
	end     chan struct{}
	stopped sync.WaitGroup

	mu    sync.Mutex
	statm string
	// most is the largest sum of a sample in bytes, and unread the largest number of unread bytes.
	most, unread int64
}

// newUsage returns a usage that samples until it is stopped.
func newUsage(pid int, listeners []string) *usage {
	u := &usage{statm: statm(pid), ports: map[string]bool{}, end: make(chan struct{})}
	for _, address := range listeners {
		if _, port, err := net.SplitHostPort(address); err == nil {
			n, _ := strconv.Atoi(port)
			u.ports[fmt.Sprintf("%04X", n)] = true
		}
	}
	u.stopped.Go(func() {
		t := time.NewTicker(usagePeriod)
		defer t.Stop()
		for {
			select {
			case <-u.end:
				return
			case <-t.C:
				u.sample()
			}
		}
	})
	return u
}

// statm returns the path of the file that gives the memory of a process in pages.
func statm(pid int) string { return fmt.Sprintf("/proc/%d/statm", pid) }

func (u *usage) stop() {
	close(u.end)
	u.stopped.Wait()
}

// follow makes the next samples those of another process on the same listeners.
func (u *usage) follow(pid int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.statm = statm(pid)
}

func (u *usage) sample() {
	u.mu.Lock()
	defer u.mu.Unlock()
	b, err := os.ReadFile(u.statm)
	fields := strings.Fields(string(b))
	if err != nil || len(fields) < 2 {
		return
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	unread := u.countUnread()
	u.unread = max(u.unread, unread)
	u.most = max(u.most, pages*int64(os.Getpagesize())+unread)
}

// countUnread returns the number of unread bytes on the connections to the listeners. The line of a listener itself gives
// the length of its queue in that place.
func (u *usage) countUnread() int64 {
	const address, state, queues, listening = 1, 3, 4, "0A"
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	sum := int64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) <= queues || fields[state] == listening {
			continue
		}
		_, port, _ := strings.Cut(fields[address], ":")
		_, received, found := strings.Cut(fields[queues], ":")
		if !found || !u.ports[port] {
			continue
		}
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += n
	}
	return sum
}

// mostMB returns the most memory that was in use at a sample, in MB.
func (u *usage) mostMB() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.most >> 20
}

// String returns the figures for a log line.
func (u *usage) String() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%d MB with unread bytes, %d MB unread at most", u.most>>20, u.unread>>20)
}
