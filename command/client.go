package command

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/lavendercourse/lavendercourse/caller"
	"github.com/lavendercourse/lavendercourse/schema/dispatch/v1/dispatchv1connect"
)

// client reaches an entry and notes whether a connection was ever made: without one, no request can have had an effect.
type client struct {
	http      *http.Client
	address   string
	connected atomic.Bool
}

func newClient(address string) *client {
	c := &client{address: address}
	dialer := &net.Dialer{}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err == nil {
				c.connected.Store(true)
			}
			return conn, err
		},
	}}
	return c
}

// caller returns a client that calls issued with the id of a job before the job is submitted. Issued may be nil.
func (c *client) caller(issued func(id string)) *caller.Client {
	// One command needs one id.
	return caller.New(caller.Config{Address: c.address, BlockSize: 1, HTTP: c.http, OnIDReserved: issued})
}

func (c *client) operator() dispatchv1connect.OperatorServiceClient {
	return dispatchv1connect.NewOperatorServiceClient(c.http, "http://"+c.address)
}

// fail turns an error of a request into one with an exit code.
func (c *client) fail(err error, lost int, effect string) error {
	var e *connect.Error
	if errors.As(err, &e) && e.Code() == connect.CodeInvalidArgument {
		err = eris.Wrap(caller.ErrInvalid, e.Message())
	}
	return requestError(err, c.connected.Load(), lost, effect)
}
