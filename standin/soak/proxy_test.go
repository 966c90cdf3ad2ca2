package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against cuts that drop data, deliver what its sender has reset, or tell the other side of the reset.
func TestHeldDataOfConnections(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(conn *net.TCPConn) error
		want  string
		ended bool
	}{
		{"sender stays", func(*net.TCPConn) error { return nil }, "ab", false},
		{"sender closes", func(conn *net.TCPConn) error { return conn.Close() }, "ab", true},
		{"sender resets", func(conn *net.TCPConn) error {
			if err := conn.SetLinger(0); err != nil {
				return err
			}
			return conn.Close()
		}, "a", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			target, err := net.Listen("tcp", loopback()+":0")
			assert.NilError(t, err)
			defer func() { _ = target.Close() }()
			p, err := NewProxy(target.Addr().String(), 0)
			assert.NilError(t, err)
			defer p.Close()
			conn, err := net.Dial("tcp", p.Address())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			accepted, err := target.Accept()
			assert.NilError(t, err)
			defer func() { _ = accepted.Close() }()
			_, err = io.WriteString(conn, "a")
			assert.NilError(t, err)
			b := make([]byte, 2)
			_, err = io.ReadFull(accepted, b[:1])
			assert.NilError(t, err)
			p.Set(Hold)
			_, err = io.WriteString(conn, "b")
			assert.NilError(t, err)
			time.Sleep(50 * time.Millisecond)
			assert.NilError(t, c.leave(conn.(*net.TCPConn)))
			time.Sleep(50 * time.Millisecond)
			p.Set(Pass)
			assert.NilError(t, accepted.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
			n, err := io.ReadFull(accepted, b[1:])
			assert.Equal(t, string(b[:1+n]), c.want)
			if n > 0 {
				_, err = accepted.Read(b)
			}
			assert.Equal(t, err == io.EOF, c.ended, "%v", err)
		})
	}
}
