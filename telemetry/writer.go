package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedBytes is the maximum size of the lines that wait to be written, enough for a few thousand lines.
	maxBufferedBytes = 1 << 20
	// flushPeriod is the time between two writes. One write for many lines costs less than one write per line.
	flushPeriod = 100 * time.Millisecond
)

// Writer buffers log lines and writes them to another writer in the background, so that Write never blocks. Lines that
// do not fit into the buffer are dropped and counted.
type Writer struct {
	out     io.Writer
	dropped atomic.Uint64
	// wake starts a flush. It is closed by Close.
	wake chan struct{}
	// done is closed when the last flush has ended.
	done chan struct{}

	mu     sync.Mutex
	buffer []byte
	// spare is the buffer of the last flush, kept for reuse. It is nil while a flush writes.
	spare   []byte
	closing bool
}

// NewWriter returns a Writer to out and starts its background goroutine, which Close stops.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for range w.wake {
			time.Sleep(flushPeriod)
			w.flush()
		}
		w.flush()
	}()
	return w
}

// Write buffers one line. It never returns an error, since a process cannot report the loss of its own log. A line that
// does not fit or comes after Close is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closing || len(w.buffer)+len(line) > maxBufferedBytes {
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

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close stops the writer, and waits until the buffered lines are written or the timeout has passed.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closing {
		w.closing = true
		close(w.wake)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// flush writes the buffered lines without holding the mutex during the write.
func (w *Writer) flush() {
	w.mu.Lock()
	pending := w.buffer
	w.buffer, w.spare = w.spare[:0], nil
	w.mu.Unlock()
	if len(pending) > 0 {
		// The error is ignored: a failure to write the log cannot be logged.
		_, _ = w.out.Write(pending)
	}
	w.mu.Lock()
	w.spare = pending[:0]
	w.mu.Unlock()
}
