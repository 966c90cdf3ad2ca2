// Package logservice implements the client of the platform's log service.
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
	// ErrRejected is returned when the log service rejected the record, which was certainly not appended.
	ErrRejected = eris.New("log did not append the record")
	// ErrLost is returned when the answer was lost, so that it is not known whether the record was appended.
	ErrLost = eris.New("answer of the log was lost")
	// ErrRead is returned when reading a stream failed.
	ErrRead = eris.New("log could not be read")
)

// Config holds the settings of a client.
type Config struct {
	// Address is the host and port of the log service.
	Address string
	// Timeout is the time limit of each request in ms. 0 selects DefaultTimeout.
	Timeout clock.Millis
	// Transport, if set, replaces the default HTTP transport, for instance in tests.
	Transport http.RoundTripper
}

// DefaultTimeout is the default of Config.Timeout, in ms.
const DefaultTimeout = 1500 * clock.Millis(1)

// Client implements lavendercourse.Log.
type Client struct {
	cfg Config
	log platformv1connect.LogServiceClient
}

// New returns a client. It connects on first use.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	httpClient := &http.Client{Transport: cfg.Transport}
	return &Client{cfg: cfg, log: platformv1connect.NewLogServiceClient(httpClient, "http://"+cfg.Address)}
}

// Append adds a record to a stream and returns its offset. After ErrLost the record may or may not be in the stream.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout.Duration())
	defer cancel()
	resp, err := c.log.Append(ctx, connect.NewRequest(&platformv1.AppendRequest{Stream: stream, Data: data}))
	if err != nil {
		return 0, appendError(err)
	}
	return resp.Msg.GetOffset(), nil
}

// Read returns up to limit records of a stream, starting at the offset from.
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

// appendError converts an error of an append to ErrRejected or ErrLost. Only the status codes that the log service
// itself sends before it appends prove that the record was not appended. A broken connection proves nothing, and neither
// does an answer that cannot be decoded, for which the client library makes up such a code.
func appendError(err error) error {
	if !connect.IsWireError(err) {
		return eris.Wrapf(ErrLost, "%v", err)
	}
	switch connect.CodeOf(err) {
	case connect.CodeFailedPrecondition, connect.CodeResourceExhausted, connect.CodeInvalidArgument:
		return eris.Wrapf(ErrRejected, "%v", err)
	default:
		return eris.Wrapf(ErrLost, "%v", err)
	}
}
