package link

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/websocket"
	"github.com/rotisserie/eris"
)

// Path is the HTTP path at which entries and gateways accept links.
const Path = "/link"

const (
	// handshakeTimeout is the timeout of Dial, and of the handshake in Accept.
	handshakeTimeout = 3 * time.Second
	// bufferSize is the size of the read buffer and of the write buffer of a connection, in bytes.
	bufferSize = 4096
)

// DialFunc opens a TCP connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens links to entries and gateways.
type Dialer struct {
	ws websocket.Dialer
}

// NewDialer returns a dialer that opens connections with the given function, or with net.Dialer if it is nil.
func NewDialer(dial DialFunc) *Dialer {
	return &Dialer{ws: websocket.Dialer{
		NetDialContext:   dial,
		HandshakeTimeout: handshakeTimeout,
		ReadBufferSize:   bufferSize,
		WriteBufferSize:  bufferSize,
	}}
}

// Dial opens a link to the entry or gateway at the given address, host:port.
func (d *Dialer) Dial(ctx context.Context, address string, cfg Config) (*Link, error) {
	conn, resp, err := d.ws.DialContext(ctx, "ws://"+address+Path, nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, eris.Wrapf(ErrDial, "%s: %v", address, err)
	}
	return New(conn, cfg), nil
}

var upgrader = websocket.Upgrader{
	HandshakeTimeout: handshakeTimeout,
	ReadBufferSize:   bufferSize,
	WriteBufferSize:  bufferSize,
}

// Accept upgrades an HTTP request to a link.
func Accept(w http.ResponseWriter, r *http.Request, cfg Config) (*Link, error) {
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return nil, eris.Wrapf(ErrDial, "accept: %v", err)
	}
	return New(conn, cfg), nil
}
