// Package caller is the client of callers. It reserves job ids in blocks and submits a job again, with the same id,
// when its answer was lost.
package caller

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/lavendercourse/lavendercourse/clock"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/schema/dispatch/v1/dispatchv1connect"
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

// DefaultBlock is the number of ids reserved at once.
const DefaultBlock = 32

// Config holds the settings of a client. Zero values select the defaults.
type Config struct {
	// Address is the host and port of an entry or of the balancer before the entries.
	Address string
	// Block is the number of ids reserved at once, 1 to 1,000.
	Block int
	// Pause is the time in ms between two attempts.
	Pause clock.Millis
	// HTTP may be set to use other connections than the default ones.
	HTTP *http.Client
	// Issued is called by Submit with the id that it reserved for a request, before the request is sent.
	Issued func(id string)
}

// Client submits jobs and calls. It is safe for use by several goroutines.
type Client struct {
	cfg      Config
	dispatch dispatchv1connect.DispatchServiceClient

	mu      sync.Mutex
	ids     []string
	expires time.Time
}

// New returns a client. It connects when it is used.
func New(cfg Config) *Client {
	if cfg.Block == 0 {
		cfg.Block = DefaultBlock
	}
	if cfg.Pause == 0 {
		cfg.Pause = 200
	}
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	}
	return &Client{cfg: cfg, dispatch: dispatchv1connect.NewDispatchServiceClient(cfg.HTTP, "http://"+cfg.Address)}
}

// Reserve returns an unused job id. Most calls need no request.
func (c *Client) Reserve(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ids) == 0 || time.Now().After(c.expires) {
		if err := c.fetch(ctx); err != nil {
			return "", err
		}
	}
	id := c.ids[0]
	c.ids = c.ids[1:]
	return id, nil
}

// Submit runs a job and waits for its answer. If the request has no id, one is reserved. A lost answer, or one that
// makes no claim yet, leads to a resubmission with the same id until ctx ends.
func (c *Client) Submit(ctx context.Context, req *dispatchv1.SubmitRequest) (*dispatchv1.SubmitResponse, error) {
	reserved := req.GetId() == ""
	if reserved {
		if err := c.identify(ctx, req); err != nil {
			return nil, err
		}
	}
	for first := true; ; first = false {
		resp, err := c.dispatch.Submit(ctx, connect.NewRequest(req))
		if first && reserved && err == nil && isUnused(resp.Msg.GetVerdict()) {
			// The owner of the reserved ids cannot be reached and has not seen this one.
			c.dropIDs()
			if err := c.identify(ctx, req); err != nil {
				return nil, err
			}
			continue
		}
		if err == nil && !isOpen(resp.Msg.GetVerdict()) {
			return resp.Msg, nil
		}
		if err != nil && connect.CodeOf(err) == connect.CodeInvalidArgument {
			return nil, translate(err)
		}
		select {
		case <-ctx.Done():
			return nil, eris.Wrapf(ErrUnreachable, "job %s: %v", req.GetId(), ctx.Err())
		case <-time.After(c.cfg.Pause.Duration()):
		}
	}
}

// identify gives a request a reserved id.
func (c *Client) identify(ctx context.Context, req *dispatchv1.SubmitRequest) error {
	id, err := c.Reserve(ctx)
	if err != nil {
		return err
	}
	req.Id = id
	if c.cfg.Issued != nil {
		c.cfg.Issued(id)
	}
	return nil
}

func (c *Client) dropIDs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids = nil
}

// Status tells how far a job is.
func (c *Client) Status(ctx context.Context, id string) (*dispatchv1.StatusResponse, error) {
	resp, err := c.dispatch.Status(ctx, connect.NewRequest(&dispatchv1.StatusRequest{Id: id}))
	if err != nil {
		return nil, translate(err)
	}
	return resp.Msg, nil
}

// Cancel ends a job as failed.
func (c *Client) Cancel(ctx context.Context, id string) (*dispatchv1.CancelResponse, error) {
	resp, err := c.dispatch.Cancel(ctx, connect.NewRequest(&dispatchv1.CancelRequest{Id: id}))
	if err != nil {
		return nil, translate(err)
	}
	return resp.Msg, nil
}

// Call sends one call. It is not repeated here, since a lost answer says nothing about whether the call ran.
func (c *Client) Call(ctx context.Context, req *dispatchv1.CallRequest) (*dispatchv1.CallResponse, error) {
	resp, err := c.dispatch.Call(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, translate(err)
	}
	return resp.Msg, nil
}

func (c *Client) fetch(ctx context.Context) error {
	asked := time.Now()
	resp, err := c.dispatch.Reserve(ctx, connect.NewRequest(&dispatchv1.ReserveRequest{Count: uint32(c.cfg.Block)}))
	if err != nil && connect.IsWireError(err) {
		return eris.Wrap(ErrRefused, messageOf(err))
	}
	if err != nil {
		return translate(err)
	}
	c.ids = resp.Msg.GetIds()
	// Half of the time is left for the submission itself.
	c.expires = asked.Add(time.Duration(resp.Msg.GetValidMs()) * time.Millisecond / 2)
	if len(c.ids) == 0 {
		return eris.Wrap(ErrUnreachable, "the entry issued no ids")
	}
	return nil
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
