// Package caller is the client of callers. It reserves job ids in blocks and submits a job again, with the same id,
// when its answer was lost.
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
	// ErrInvalid is returned for a request that no entry would take. Nothing was run.
	ErrInvalid = eris.New("request is invalid")
	// ErrUnreachable is returned when no entry answered. For a job, ask again with the same id.
	ErrUnreachable = eris.New("no entry answered")
	// ErrRefused is returned when an entry issued no job id. Nothing was run.
	ErrRefused = eris.New("entry issued no job id")
)

// Defaults of Config.
const (
	DefaultBlock = 32
	DefaultLanes = 4
)

// maxHanded bounds the ids that were handed out and not submitted.
const maxHanded = 10_000

// Config holds the settings of a client. Zero values select the defaults.
type Config struct {
	// Address is the host and port of an entry or of the balancer before the entries.
	Address string
	// Block is the number of ids reserved at once, 1 to 1,000.
	Block int
	// Pause is the time in ms between two attempts.
	Pause clock.Millis
	// Lanes is the number of connections. Each goes to one entry behind the balancer, and jobs are submitted on the
	// connection on which their ids were reserved, so that they need not be forwarded to the entry that owns them.
	Lanes int
	// Dial may be set to open the connections in another way.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// HTTP may be set to use an HTTP client in place of lanes.
	HTTP *http.Client
	// Tracer may be set to trace requests.
	Tracer *telemetry.Tracer
	// Issued is called by Submit with the id that it reserved for a request, before the request is sent.
	Issued func(id string)
}

// Client submits jobs and calls. It is safe for use by several goroutines.
type Client struct {
	cfg   Config
	lanes []*lane
	next  atomic.Uint64

	mu sync.Mutex
	// handed holds the lanes of the ids that Reserve has handed out.
	handed map[string]*lane
}

// New returns a client. It connects when it is used.
func New(cfg Config) *Client {
	if cfg.Block == 0 {
		cfg.Block = DefaultBlock
	}
	if cfg.Pause == 0 {
		cfg.Pause = 200
	}
	if cfg.Lanes == 0 {
		cfg.Lanes = DefaultLanes
	}
	if cfg.HTTP != nil {
		cfg.Lanes = 1
	}
	c := &Client{cfg: cfg, handed: map[string]*lane{}}
	for range cfg.Lanes {
		c.lanes = append(c.lanes, newLane(cfg))
	}
	return c
}

// Reserve returns an unused job id. Most calls need no request.
func (c *Client) Reserve(ctx context.Context) (string, error) {
	id, l, err := c.reserve(ctx, c.lane())
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.handed) >= maxHanded {
		// Some were never submitted. Without its lane a job only takes one more hop.
		clear(c.handed)
	}
	c.handed[id] = l
	return id, nil
}

// laneOf returns the lane on which an id was reserved, or the next lane.
func (c *Client) laneOf(id string) *lane {
	c.mu.Lock()
	l := c.handed[id]
	delete(c.handed, id)
	c.mu.Unlock()
	if l == nil {
		return c.lane()
	}
	return l
}

// reserve returns an unused id and the lane on which it was reserved. The given lane is tried first, then the others.
func (c *Client) reserve(ctx context.Context, l *lane) (string, *lane, error) {
	id, err := l.reserve(ctx)
	for range len(c.lanes) - 1 {
		if err == nil || ctx.Err() != nil {
			break
		}
		l = c.lane()
		id, err = l.reserve(ctx)
	}
	return id, l, err
}

// Submit runs a job and waits for its answer. If the request has no id, one is reserved. A lost answer, or one that
// makes no claim yet, leads to a resubmission with the same id until ctx ends. If the id was reserved here and an entry
// has turned the job away because it cannot take any, the job is submitted elsewhere with a new id.
func (c *Client) Submit(ctx context.Context, req *dispatchv1.SubmitRequest) (*dispatchv1.SubmitResponse, error) {
	ctx, span := c.cfg.Tracer.Begin(ctx, trace.SpanKindInternal, "caller submit")
	defer span.End()
	l := c.laneOf(req.GetId())
	reserved := req.GetId() == ""
	var refused *dispatchv1.SubmitResponse
	for first := true; ; first = false {
		if req.GetId() == "" {
			id, by, err := c.reserve(ctx, l)
			if err != nil {
				return nil, err
			}
			req.Id, l, first = id, by, true
			if c.cfg.Issued != nil {
				c.cfg.Issued(id)
			}
		}
		resp, err := l.dispatch.Submit(ctx, connect.NewRequest(req))
		switch v := verdictOf(resp, err); {
		case err != nil && connect.CodeOf(err) == connect.CodeInvalidArgument:
			return nil, translate(err)
		case reserved && (isTurnedAway(v) || (first && isUnused(v))):
			l.drop()
			req.Id, refused = "", resp.Msg
		case err == nil && !isOpen(v):
			return resp.Msg, nil
		}
		l = c.lane()
		select {
		case <-ctx.Done():
			if req.GetId() == "" && isTurnedAway(refused.GetVerdict()) {
				return refused, nil
			}
			return nil, eris.Wrapf(ErrUnreachable, "job %s: %v", req.GetId(), ctx.Err())
		case <-time.After(c.cfg.Pause.Duration()):
		}
	}
}

// Status tells how far a job is.
func (c *Client) Status(ctx context.Context, id string) (*dispatchv1.StatusResponse, error) {
	resp, err := c.lane().dispatch.Status(ctx, connect.NewRequest(&dispatchv1.StatusRequest{Id: id}))
	if err != nil {
		return nil, translate(err)
	}
	return resp.Msg, nil
}

// Cancel ends a job as failed.
func (c *Client) Cancel(ctx context.Context, id string) (*dispatchv1.CancelResponse, error) {
	resp, err := c.lane().dispatch.Cancel(ctx, connect.NewRequest(&dispatchv1.CancelRequest{Id: id}))
	if err != nil {
		return nil, translate(err)
	}
	return resp.Msg, nil
}

// Call sends one call. It is not repeated here, since a lost answer says nothing about whether the call ran.
func (c *Client) Call(ctx context.Context, req *dispatchv1.CallRequest) (*dispatchv1.CallResponse, error) {
	ctx, span := c.cfg.Tracer.Begin(ctx, trace.SpanKindInternal, "caller call")
	defer span.End()
	resp, err := c.lane().dispatch.Call(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, translate(err)
	}
	return resp.Msg, nil
}

func (c *Client) lane() *lane {
	return c.lanes[c.next.Add(1)%uint64(len(c.lanes))]
}

// verdictOf returns the verdict of a response, or nil if there is none.
func verdictOf(resp *connect.Response[dispatchv1.SubmitResponse], err error) *dispatchv1.Verdict {
	if err != nil {
		return nil
	}
	return resp.Msg.GetVerdict()
}

// isTurnedAway tells whether an entry has refused a job for a reason that other entries need not share.
func isTurnedAway(v *dispatchv1.Verdict) bool {
	return v.GetOutcome() == dispatchv1.Outcome_OUTCOME_REFUSED &&
		(v.GetReason() == dispatchv1.Reason_REASON_STOPPING || v.GetReason() == dispatchv1.Reason_REASON_AGAIN)
}

// isOpen tells whether the owner may still give an answer.
func isOpen(v *dispatchv1.Verdict) bool {
	return v.GetOutcome() == dispatchv1.Outcome_OUTCOME_UNKNOWN && v.GetReason() == dispatchv1.Reason_REASON_AGAIN
}

// isUnused tells whether the answered request certainly started nothing and its owner cannot be reached.
func isUnused(v *dispatchv1.Verdict) bool {
	return isOpen(v) && v.GetRan() == dispatchv1.Ran_RAN_NOTHING
}

func translate(err error) error {
	if connect.CodeOf(err) == connect.CodeInvalidArgument {
		return eris.Wrap(ErrInvalid, messageOf(err))
	}
	return eris.Wrapf(ErrUnreachable, "%v", err)
}

// messageOf returns what the entry said, without the code of the protocol.
func messageOf(err error) string {
	var e *connect.Error
	if errors.As(err, &e) {
		return e.Message()
	}
	return err.Error()
}
