package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writerLimit bounds the bytes that wait to be written. It holds a few thousand lines.
	writerLimit = 1 << 20
	// writerPeriod is the time between two writes. One write for many lines costs less than one for each.
	writerPeriod = 100 * time.Millisecond
)

// Writer passes lines on to another writer without ever waiting for it. Lines for which there is no room are dropped
// and counted.
type Writer struct {
	out     io.Writer
	dropped atomic.Uint64
	wake    chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	closing bool
}

// NewWriter returns a writer to out, and starts passing on what it gets.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for range w.wake {
			time.Sleep(writerPeriod)
			w.flush()
		}
		w.flush()
	}()
	return w
}

// Write takes one line. It returns no error, since there is nobody to whom a process could tell that its log is lost.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closing || len(w.buffer)+len(line) > writerLimit {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close waits up to the given time until what was taken is written.
func (w *Writer) Close(wait time.Duration) {
	w.mu.Lock()
	if !w.closing {
		w.closing = true
		close(w.wake)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	full := w.buffer
	w.buffer, w.spare = w.spare[:0], nil
	w.mu.Unlock()
	if len(full) > 0 {
		// A reader that is gone cannot be told anything.
		_, _ = w.out.Write(full)
	}
	w.mu.Lock()
	w.spare = full[:0]
	w.mu.Unlock()
}
