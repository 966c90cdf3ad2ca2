package intake

import (
	"context"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
)

// ErrListen is returned if a listener cannot be opened.
var ErrListen = eris.New("cannot listen")

// Listen opens the TCP listener of a gate at an address. The receive buffers of its connections and the number of
// connections that wait to be accepted have the bounds of limits, so that bytes that the process has not read yet stay
// within them even while it does not run.
func Listen(limits Limits, gate Gate, address string) (net.Listener, error) {
	// Connections inherit the buffer of the listener, and take bytes before they are accepted.
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return setReceiveBuffer(c, limits.ReceiveBuffer)
	}}
	l, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%v", err)
	}
	if err := limitBacklog(l, limits.Backlog[gate]); err != nil {
		_ = l.Close()
		return nil, eris.Wrapf(ErrListen, "%s: backlog: %v", address, err)
	}
	return l, nil
}

// setReceiveBuffer sets the size in bytes of the receive buffer of a socket. 0 leaves it to the kernel.
func setReceiveBuffer(c syscall.RawConn, size int) error {
	if size == 0 {
		return nil
	}
	return control(c, func(fd int) error {
		// The kernel doubles the value that it is given.
		return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, size/2)
	})
}

// limitBacklog bounds the connections that wait to be accepted on a listener. 0 leaves their number to the kernel. Package
// net always asks for the largest number.
func limitBacklog(l net.Listener, n int) error {
	s, ok := l.(syscall.Conn)
	if !ok || n == 0 {
		return nil
	}
	c, err := s.SyscallConn()
	if err != nil {
		return err
	}
	return control(c, func(fd int) error { return syscall.Listen(fd, n) })
}

// control calls f with the descriptor of a socket.
func control(c syscall.RawConn, f func(fd int) error) error {
	var failed error
	if err := c.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}
