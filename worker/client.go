// Package worker implements the client with which an agent reaches the backend server beside it.
package worker

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	workerv1 "github.com/lavendercourse/lavendercourse/schema/worker/v1"
	"github.com/lavendercourse/lavendercourse/schema/worker/v1/workerv1connect"
	"github.com/lavendercourse/lavendercourse/slot"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// ErrUnanswered is returned when the backend server did not answer. The work may have run.
var ErrUnanswered = eris.New("backend server did not answer")

// ControlConnections is the number of connections reserved for pings and stops, so that these do not wait behind tasks
// and calls, which share the other connections.
const ControlConnections = 2

// Config holds the settings of a client.
type Config struct {
	// Address is the host and port of the backend server.
	Address string
	// Connections is the maximum number of connections to the backend server, including ControlConnections. 0 selects
	// slot.DefaultConnections.
	Connections int
	// Tracer, if set, traces the requests of traced tasks.
	Tracer *telemetry.Tracer
}

// Client implements lavendercourse.Backend.
type Client struct {
	// work sends tasks and calls.
	work workerv1connect.WorkerServiceClient
	// control sends stops and pings.
	control workerv1connect.WorkerServiceClient
}

// New returns a client. It connects on first use.
func New(cfg Config) *Client {
	if cfg.Connections == 0 {
		cfg.Connections = slot.DefaultConnections
	}
	tracing := connect.WithInterceptors(cfg.Tracer.Interceptor())
	newClient := func(maxConnections int) workerv1connect.WorkerServiceClient {
		hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConnections, MaxConnsPerHost: maxConnections}}
		return workerv1connect.NewWorkerServiceClient(hc, "http://"+cfg.Address, tracing)
	}
	return &Client{work: newClient(max(cfg.Connections-ControlConnections, 1)), control: newClient(ControlConnections)}
}

// Run runs a task and waits until it has ended.
func (c *Client) Run(ctx context.Context, w lavendercourse.Work) (lavendercourse.Result, error) {
	resp, err := c.work.Run(ctx, connect.NewRequest(&workerv1.RunRequest{
		Job: w.Key.Job().String(), Task: w.Key.Task(), Kind: w.Kind, Payload: w.Payload, LeaseMs: uint32(w.Lease),
	}))
	if err != nil {
		return lavendercourse.Result{}, eris.Wrapf(ErrUnanswered, "run %s: %v", w.Key, err)
	}
	return lavendercourse.Result{Data: resp.Msg.GetResult(), Failure: resp.Msg.GetError()}, nil
}

// Call sends a call and waits for its answer.
func (c *Client) Call(ctx context.Context, w lavendercourse.Work) (lavendercourse.Result, error) {
	resp, err := c.work.Call(ctx, connect.NewRequest(&workerv1.CallRequest{
		Id: w.Key.String(), Kind: w.Kind, Payload: w.Payload,
	}))
	if err != nil {
		return lavendercourse.Result{}, eris.Wrapf(ErrUnanswered, "call %s: %v", w.Key, err)
	}
	return lavendercourse.Result{Data: resp.Msg.GetResult(), Failure: resp.Msg.GetError()}, nil
}

// Stop asks the backend server to stop a running task.
func (c *Client) Stop(ctx context.Context, key lavendercourse.TaskKey) error {
	_, err := c.control.Stop(ctx, connect.NewRequest(&workerv1.StopRequest{Job: key.Job().String(), Task: key.Task()}))
	if err != nil {
		return eris.Wrapf(ErrUnanswered, "stop %s: %v", key, err)
	}
	return nil
}

// List returns all tasks that the backend server runs.
func (c *Client) List(ctx context.Context) ([]lavendercourse.TaskKey, error) {
	resp, err := c.control.List(ctx, connect.NewRequest(&workerv1.ListRequest{}))
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return nil, eris.Wrapf(lavendercourse.ErrNoList, "list: %v", err)
	}
	if err != nil {
		return nil, eris.Wrapf(ErrUnanswered, "list: %v", err)
	}
	keys := make([]lavendercourse.TaskKey, 0, len(resp.Msg.GetTasks()))
	for _, t := range resp.Msg.GetTasks() {
		id, err := lavendercourse.ParseJobID(t.GetJob())
		if err != nil {
			return nil, eris.Wrapf(err, "list")
		}
		keys = append(keys, lavendercourse.NewTaskKey(id, t.GetTask()))
	}
	return keys, nil
}

// Ping returns an error if the backend server does not answer.
func (c *Client) Ping(ctx context.Context) error {
	if _, err := c.control.Usage(ctx, connect.NewRequest(&workerv1.UsageRequest{})); err != nil {
		return eris.Wrapf(ErrUnanswered, "ping: %v", err)
	}
	return nil
}
