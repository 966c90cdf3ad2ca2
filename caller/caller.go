// Package caller implements the client that callers use. It reserves job ids in blocks and, if the answer to a job is
// lost, submits the job again with the same id.
package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"

	"github.com/lavendercourse/lavendercourse/clock"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// Errors of this package.
var (
	// ErrInvalid is returned for a request that every entry would reject. Nothing was run.
	ErrInvalid = eris.New("request is invalid")
	// ErrUnreachable is returned when no entry answered. A job may be submitted again with the same id.
	ErrUnreachable = eris.New("no entry answered")
	// ErrRefused is returned when an entry issued no job id. Nothing was run.
	ErrRefused = eris.New("entry issued no job id")
)

// Defaults of Config.
const (
	DefaultBlockSize   = 32
	DefaultConnections = 4
)

// maxReserved is the maximum number of ids in Client.reserved. It bounds the memory for ids that are never submitted.
const maxReserved = 10_000

// Config holds the settings of a client. Zero values select the defaults.
type Config struct {
	// Address is the host and port of an entry or of the load balancer in front of the entries.
	Address string
	// BlockSize is the number of ids reserved at once, 1 to 1,000.
	BlockSize int
	// RetryDelay is the time in ms between two attempts. 0 selects 200 ms.
	RetryDelay clock.Millis
	// Connections is the number of connections. Each leads to one entry behind the load balancer. A job is submitted on
	// the connection on which its id was reserved, so that it need not be forwarded to the entry that owns it.
	Connections int
	// Dial, if set, opens the connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// HTTP, if set, is used for all requests. Connections is then ignored.
	HTTP *http.Client
	// Tracer, if set, traces the requests.
	Tracer *telemetry.Tracer
	// OnIDReserved, if set, is called by Submit with each id that it reserves for a request, before the request is sent.
	OnIDReserved func(id string)
}

// Client submits jobs and calls. It is safe for concurrent use.
type Client struct {
	cfg   Config
	conns []*connection
	// nextConn counts the selections of a connection, which are round-robin.
	nextConn atomic.Uint64

	mu sync.Mutex
	// reserved holds, by id, the connections of the ids that Reserve has returned and that are not submitted yet.
	reserved map[string]*connection
}

// New returns a client. It connects on first use.
func New(cfg Config) *Client {
	if cfg.BlockSize == 0 {
		cfg.BlockSize = DefaultBlockSize
	}
	if cfg.RetryDelay == 0 {
		cfg.RetryDelay = 200
	}
	if cfg.Connections == 0 {
		cfg.Connections = DefaultConnections
	}
	if cfg.HTTP != nil {
		cfg.Connections = 1
	}
	c := &Client{cfg: cfg, reserved: map[string]*connection{}}
	for range cfg.Connections {
		c.conns = append(c.conns, newConnection(cfg))
	}
	return c
}

// Reserve returns an unused job id. It sends a request only when the current block of ids is used up or has expired.
func (c *Client) Reserve(ctx context.Context) (string, error) {
	id, conn, err := c.reserve(ctx, c.selectConnection())
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.reserved) >= maxReserved {
		// Some ids were never submitted. A job whose connection is no longer known is only forwarded once more.
		clear(c.reserved)
	}
	c.reserved[id] = conn
	return id, nil
}

// takeConnection returns the connection on which an id was reserved and removes it from c.reserved. If there is none,
// it returns the next connection.
func (c *Client) takeConnection(id string) *connection {
	c.mu.Lock()
	conn := c.reserved[id]
	delete(c.reserved, id)
	c.mu.Unlock()
	if conn == nil {
		return c.selectConnection()
	}
	return conn
}

// reserve returns an unused id and the connection on which it was reserved. It tries the given connection first, then
// the others.
func (c *Client) reserve(ctx context.Context, conn *connection) (string, *connection, error) {
	id, err := conn.reserve(ctx)
	for range len(c.conns) - 1 {
		if err == nil || ctx.Err() != nil {
			break
		}
		conn = c.selectConnection()
		id, err = conn.reserve(ctx)
	}
	return id, conn, err
}

// Submit runs a job and waits for its answer. If the request has no id, Submit reserves one. If the answer is lost or
// leaves the outcome open, Submit resubmits the job with the same id until ctx ends. There are two cases in which an id
// that Submit reserved itself is replaced by a new one from the next connection: the entry refused the job because it
// accepts none at present, or the first request with the id that reached an entry did not reach the owner and started
// nothing.
func (c *Client) Submit(ctx context.Context, req *dispatchv1.SubmitRequest) (*dispatchv1.SubmitResponse, error) {
	ctx, span := c.cfg.Tracer.Start(ctx, trace.SpanKindInternal, "caller submit")
	defer span.End()
	conn := c.takeConnection(req.GetId())
	reservedHere := req.GetId() == ""
	var refusal *dispatchv1.SubmitResponse
	// sent is set once a request with the id may have reached an entry.
	for sent := false; ; {
		if req.GetId() == "" {
			id, reservedOn, err := c.reserve(ctx, conn)
			if err != nil {
				return nil, err
			}
			req.Id, conn, sent = id, reservedOn, false
			if c.cfg.OnIDReserved != nil {
				c.cfg.OnIDReserved(id)
			}
		}
		firstAttempt := !sent
		resp, err := conn.client.Submit(ctx, connect.NewRequest(req))
		sent = sent || !isDialError(err)
		switch v := verdictOf(resp, err); {
		case isInvalid(err):
			return nil, convertError(err)
		case reservedHere && (isRefusedTemporarily(v) || (firstAttempt && isOwnerUnreached(v))):
			conn.discardIDs()
			req.Id, refusal = "", resp.Msg
		case err == nil && !isUndecided(v):
			return resp.Msg, nil
		}
		conn = c.selectConnection()
		select {
		case <-ctx.Done():
			if req.GetId() == "" && isRefusedTemporarily(refusal.GetVerdict()) {
				return refusal, nil
			}
			return nil, eris.Wrapf(ErrUnreachable, "job %s: %v", req.GetId(), ctx.Err())
		case <-time.After(c.cfg.RetryDelay.Duration()):
		}
	}
}

// Status returns the progress of a job without waiting for its end.
func (c *Client) Status(ctx context.Context, id string) (*dispatchv1.StatusResponse, error) {
	resp, err := c.selectConnection().client.Status(ctx, connect.NewRequest(&dispatchv1.StatusRequest{Id: id}))
	if err != nil {
		return nil, convertError(err)
	}
	return resp.Msg, nil
}

// Cancel cancels a job, which then ends as failed.
func (c *Client) Cancel(ctx context.Context, id string) (*dispatchv1.CancelResponse, error) {
	resp, err := c.selectConnection().client.Cancel(ctx, connect.NewRequest(&dispatchv1.CancelRequest{Id: id}))
	if err != nil {
		return nil, convertError(err)
	}
	return resp.Msg, nil
}

// Call sends a call and waits for its answer. It does not retry the call, which may have run even if its answer was
// lost.
func (c *Client) Call(ctx context.Context, req *dispatchv1.CallRequest) (*dispatchv1.CallResponse, error) {
	ctx, span := c.cfg.Tracer.Start(ctx, trace.SpanKindInternal, "caller call")
	defer span.End()
	resp, err := c.selectConnection().client.Call(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, convertError(err)
	}
	return resp.Msg, nil
}

// selectConnection returns the next connection, round-robin.
func (c *Client) selectConnection() *connection {
	return c.conns[c.nextConn.Add(1)%uint64(len(c.conns))]
}

// verdictOf returns the verdict of a response, or nil if there is none.
func verdictOf(resp *connect.Response[dispatchv1.SubmitResponse], err error) *dispatchv1.Verdict {
	if err != nil {
		return nil
	}
	return resp.Msg.GetVerdict()
}

// isRefusedTemporarily reports whether an entry refused a job for a reason that need not apply to other entries.
func isRefusedTemporarily(v *dispatchv1.Verdict) bool {
	return v.GetOutcome() == dispatchv1.Outcome_OUTCOME_REFUSED &&
		(v.GetReason() == dispatchv1.Reason_REASON_STOPPING || v.GetReason() == dispatchv1.Reason_REASON_AGAIN)
}

// isUndecided reports whether the owner of the job may still give a final answer.
func isUndecided(v *dispatchv1.Verdict) bool {
	return v.GetOutcome() == dispatchv1.Outcome_OUTCOME_UNKNOWN && v.GetReason() == dispatchv1.Reason_REASON_AGAIN
}

// isOwnerUnreached reports whether the owner of the job could not be reached and the request certainly started nothing.
func isOwnerUnreached(v *dispatchv1.Verdict) bool {
	return isUndecided(v) && v.GetRan() == dispatchv1.Ran_RAN_NOTHING
}

// isDialError reports whether a request was not sent since no connection could be opened.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// isInvalid reports whether an entry rejected a request as invalid. The client library uses the same code for an answer
// that it cannot decode, which does not prove that nothing was run.
func isInvalid(err error) bool {
	return err != nil && connect.CodeOf(err) == connect.CodeInvalidArgument && connect.IsWireError(err)
}

// convertError converts an error of the protocol to ErrInvalid or ErrUnreachable.
func convertError(err error) error {
	if isInvalid(err) {
		return eris.Wrap(ErrInvalid, messageOf(err))
	}
	return eris.Wrapf(ErrUnreachable, "%v", err)
}

// messageOf returns the error text of the entry, without the status code that the protocol adds.
func messageOf(err error) string {
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		return connectErr.Message()
	}
	return err.Error()
}
