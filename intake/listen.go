package intake

import (
	"context"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
)

// ErrListen is returned if a listener cannot be opened.
var ErrListen = eris.New("cannot listen")

// Listen opens the TCP listener of a gate at an address. The receive buffers of its connections have the size in limits from
// the first packet on, so that bytes that the process has not read yet are bounded even while it does not run.
func Listen(limits Limits, address string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return setReceiveBuffer(c, limits.ReceiveBuffer)
	}}
	l, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%v", err)
	}
	return l, nil
}

// setReceiveBuffer sets the size in bytes of the receive buffer of a socket, and of the connections that are accepted on it.
// 0 leaves it to the kernel.
func setReceiveBuffer(c syscall.RawConn, size int) error {
	if size == 0 {
		return nil
	}
	var failed error
	err := c.Control(func(fd uintptr) {
		// The kernel doubles the value that it is given.
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size/2)
	})
	if err != nil {
		return err
	}
	return failed
}
