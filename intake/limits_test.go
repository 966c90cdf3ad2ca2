package intake_test

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/intake"
)

// maxUnreadPart is the part of the memory of a process that unread bytes may take, as documented.
const maxUnreadPart = 5

// Guards against receive buffers of accepted and waiting connections that together exceed the memory of the
// machine, and against ones that are too small for an ordinary request.
func TestReceiveBuffersFitIntoMemory(t *testing.T) {
	for _, c := range []struct{ memory, files int }{
		{144, 3075}, {184, 4100}, {284, 4100}, {424, 10250}, {536, 8192}, {152, 4096}, {96, 600}, {96, 3075}, {32, 1 << 20},
	} {
		t.Run(fmt.Sprintf("%d MB, %d descriptors", c.memory, c.files), func(t *testing.T) {
			l := intake.NewLimits(c.memory, c.files)
			sum := 0
			for _, gate := range []intake.Gate{intake.Callers, intake.Links, intake.Ready, intake.Metrics} {
				assert.Assert(t, l.Connections[gate] > 0 && l.Backlog[gate] > 0)
				sum += l.Connections[gate] + l.Backlog[gate]
			}
			assert.Assert(t, sum*l.ReceiveBuffer <= c.memory<<20/maxUnreadPart, "%d connections of %d bytes", sum, l.ReceiveBuffer)
			assert.Assert(t, l.ReceiveBuffer >= 8<<10)
		})
	}
}

// Guards against accepted connections whose receive buffers the kernel enlarges as bytes arrive.
func TestListenBoundsReceiveBuffers(t *testing.T) {
	for _, size := range []int{8 << 10, 12 << 10} {
		l, err := intake.Listen(intake.Limits{ReceiveBuffer: size}, intake.Callers, "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = l.Close() }()
		client, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = client.Close() }()
		accepted, err := l.Accept()
		assert.NilError(t, err)
		defer func() { _ = accepted.Close() }()
		raw, err := accepted.(*net.TCPConn).SyscallConn()
		assert.NilError(t, err)
		assert.NilError(t, raw.Control(func(fd uintptr) {
			got, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
			assert.Check(t, err)
			assert.Check(t, got == size, "%d", got)
		}))
	}
}

// Guards against connections without bound that wait to be accepted, each with unread bytes, and against a bound that is
// lower than it should be.
func TestListenBoundsWaitingConnections(t *testing.T) {
	limits := intake.Limits{}
	limits.Backlog[intake.Links] = 4
	l, err := intake.Listen(limits, intake.Links, "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	dial := func(timeout time.Duration) bool {
		c, err := net.DialTimeout("tcp", l.Addr().String(), timeout)
		if err != nil {
			return false
		}
		t.Cleanup(func() { _ = c.Close() })
		return true
	}
	for range limits.Backlog[intake.Links] {
		assert.Assert(t, dial(time.Minute))
	}
	more := 0
	for range 8 {
		// The kernel does not answer when the queue is full.
		if dial(100 * time.Millisecond) {
			more++
		}
	}
	// The kernel lets one more wait than it is told.
	assert.Assert(t, more <= 1, "%d more connections wait", more)
}

// Guards against an address in use that is reported as anything else than an error.
func TestListenFails(t *testing.T) {
	l, err := intake.Listen(intake.Limits{}, intake.Callers, "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	_, err = intake.Listen(intake.Limits{}, intake.Callers, l.Addr().String())
	assert.ErrorIs(t, err, intake.ErrListen)
}
