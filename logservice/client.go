// Package logservice is the client of the platform's log service.
package logservice

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	platformv1 "github.com/lavendercourse/lavendercourse/schema/platform/v1"
	"github.com/lavendercourse/lavendercourse/schema/platform/v1/platformv1connect"
)

// Errors of this package.
var (
	// ErrRejected is returned when the log said that it did not append the record.
	ErrRejected = eris.New("log did not append the record")
	// ErrLost is returned when it is not known whether the record was appended.
	ErrLost = eris.New("answer of the log was lost")
	// ErrRead is returned when a stream could not be read.
	ErrRead = eris.New("log could not be read")
)

// Config holds the settings of a client.
type Config struct {
	// Address is the host and port of the log service.
	Address string
	// Timeout bounds each request, in ms.
	Timeout clock.Millis
	// Transport may be set by tests.
	Transport http.RoundTripper
}

// DefaultTimeout is used if Config has none.
const DefaultTimeout = 1500 * clock.Millis(1)

// Client implements lavendercourse.Log.
type Client struct {
	cfg Config
	log platformv1connect.LogServiceClient
}

// New returns a client. It connects when it is used.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	hc := &http.Client{Transport: cfg.Transport}
	return &Client{cfg: cfg, log: platformv1connect.NewLogServiceClient(hc, "http://"+cfg.Address)}
}

// Append adds a record to a stream and returns its offset. After ErrLost the record may or may not be in the stream.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout.Duration())
	defer cancel()
	resp, err := c.log.Append(ctx, connect.NewRequest(&platformv1.AppendRequest{Stream: stream, Data: data}))
	if err != nil {
		return 0, translate(err)
	}
	return resp.Msg.GetOffset(), nil
}

// Read returns records of a stream from the given offset on.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int) (lavendercourse.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout.Duration())
	defer cancel()
	req := &platformv1.ReadRequest{Stream: stream, From: from, Max: uint32(limit)}
	resp, err := c.log.Read(ctx, connect.NewRequest(req))
	if err != nil {
		return lavendercourse.Page{}, eris.Wrapf(ErrRead, "stream %s from %d: %v", stream, from, err)
	}
	page := lavendercourse.Page{First: resp.Msg.GetFirst(), Next: resp.Msg.GetNext()}
	for _, r := range resp.Msg.GetRecords() {
		page.Records = append(page.Records, lavendercourse.Record{
			Offset: r.GetOffset(), Time: clock.Millis(r.GetTimeMs()), Data: r.GetData(),
		})
	}
	return page, nil
}

// translate tells a rejected append from one whose answer was lost. Only codes that the log service sends itself
// before it appends are certain; a broken connection is not.
func translate(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeFailedPrecondition, connect.CodeResourceExhausted, connect.CodeInvalidArgument:
		return eris.Wrapf(ErrRejected, "%v", err)
	default:
		return eris.Wrapf(ErrLost, "%v", err)
	}
}
