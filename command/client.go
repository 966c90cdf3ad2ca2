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

// client sends requests to an entry and records whether a connection was ever established. If none was, no request can
// have had an effect.
type client struct {
	httpClient *http.Client
	address    string
	connected  atomic.Bool
}

func newClient(address string) *client {
	c := &client{address: address}
	dialer := &net.Dialer{}
	c.httpClient = &http.Client{Transport: &http.Transport{
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

// callerClient returns a client for jobs and calls. It calls onIssued, which may be nil, with the id of a job before it
// submits the job.
func (c *client) callerClient(onIssued func(id string)) *caller.Client {
	// One command submits one job, so a block of one id is enough.
	return caller.New(caller.Config{Address: c.address, BlockSize: 1, HTTP: c.httpClient, OnIDReserved: onIssued})
}

func (c *client) operatorClient() dispatchv1connect.OperatorServiceClient {
	return dispatchv1connect.NewOperatorServiceClient(c.httpClient, "http://"+c.address)
}

// wrapError turns the error of a request into one with an exit code, see requestError.
func (c *client) wrapError(err error, noResponseCode int, effect string) error {
	var e *connect.Error
	if errors.As(err, &e) && e.Code() == connect.CodeInvalidArgument {
		err = eris.Wrap(caller.ErrInvalid, e.Message())
	}
	return requestError(err, c.connected.Load(), noResponseCode, effect)
}
