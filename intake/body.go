package intake

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// Errors of ReadBody.
var (
	// ErrTooLarge is returned for a body that is larger than allowed.
	ErrTooLarge = eris.New("body is too large")
	// ErrBusy is returned if the process has no memory left for a body or for what is kept of it. Nothing of the request
	// was done.
	ErrBusy = eris.New("no memory is left for the request")
	// ErrBroken is returned if a body ends early or is malformed.
	ErrBroken = eris.New("body cannot be read")
)

const (
	// firstBuffer is the size in bytes of the buffer that a body is read into first. Ordinary bodies have up to 2,400 bytes.
	firstBuffer = 4 << 10
	// largeBody is the size in bytes from which bodies are decoded one at a time.
	largeBody = 16 << 10
)

// buffers holds buffers of firstBuffer bytes.
var buffers = sync.Pool{New: func() any { return new([firstBuffer]byte) }}

// ReadBody reads the body of a request, which has the given size at most, and calls use with it. use must not keep the
// body; it returns the size in bytes of what it keeps until the request is answered. The memory is charged to the
// connection of the request, if it has passed a Guard.
func ReadBody(req *http.Request, limit int, use func(body []byte) (int, error)) error {
	c := connOf(req.Context())
	first := buffers.Get().(*[firstBuffer]byte)
	defer buffers.Put(first)
	body, err := c.readBody(req.Body, first[:0], limit)
	if err != nil {
		return err
	}
	if c == nil {
		_, err := use(body)
		return err
	}
	if c.entry.Crowded() {
		return ErrBusy
	}
	if c.charged.Load() && !c.guard.complete(c.entry) {
		return ErrBusy
	}
	if !c.charged.Load() && !c.entry.Serve() {
		return eris.Wrap(ErrBroken, errGivenUp.Error())
	}
	kept, err := c.use(body, use)
	if err != nil {
		return err
	}
	if kept <= keptAllowance && len(body) <= firstBuffer {
		return nil
	}
	if !c.guard.keep(c.entry, int64(max(kept-keptAllowance, 0))) {
		return ErrBusy
	}
	c.charged.Store(true)
	return nil
}

// use calls use with a body. Large ones wait for each other, since their decoded forms may be larger still.
func (c *conn) use(body []byte, use func([]byte) (int, error)) (int, error) {
	if len(body) >= largeBody {
		c.guard.large.Lock()
		defer c.guard.large.Unlock()
	}
	return use(body)
}

// readBody reads a body to its end into a buffer that grows with what has arrived.
func (c *conn) readBody(r io.Reader, body []byte, limit int) ([]byte, error) {
	if c != nil {
		c.bodyRead = true
		c.entry.AwaitBody()
	}
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if len(body) > limit {
			return nil, eris.Wrapf(ErrTooLarge, "more than %d bytes", limit)
		}
		if errors.Is(err, io.EOF) {
			if c != nil {
				c.bodySize = max(c.bodySize, int64(len(body)))
				c.entry.EndBody()
			}
			return body, nil
		}
		if err != nil {
			return nil, eris.Wrapf(ErrBroken, "%v", err)
		}
		if len(body) < cap(body) {
			continue
		}
		larger := min(2*cap(body), limit+1)
		// The first buffer is covered by what each connection is charged. Later ones replace each other.
		added := larger - cap(body)
		if cap(body) == firstBuffer {
			added = larger
		}
		if c != nil && !c.charge(int64(added)) {
			return nil, ErrBusy
		}
		body = append(make([]byte, 0, larger), body...)
	}
}
