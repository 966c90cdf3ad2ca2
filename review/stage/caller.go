package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// jobStep is a step of a submitted job.
type jobStep struct {
	Count    int   `json:"count"`
	CPU      int   `json:"cpu"`
	Memory   int   `json:"memMb"`
	Estimate int64 `json:"estimateMs"`
	After    []int `json:"after,omitempty"`
}

// job is a job of a client. Its spec tells the stand-in workers how long its tasks take, see parseSpec.
type job struct {
	id       string
	spec     string
	steps    []jobStep
	deadline time.Duration
}

// caller is a client with a channel to one gateway.
type caller struct {
	address string
	client  *http.Client
	// ctx ends when the client leaves.
	ctx    context.Context
	ledger *ledger
}

func newCaller(address string, l *ledger) *caller {
	return &caller{address: address, client: &http.Client{Transport: &http.Transport{}}, ctx: context.Background(), ledger: l}
}

// submit hands a job in and returns the status of the response and its body, or 0 if there is none within the client's time limit.
func (c *caller) submit(j job) (int, string) {
	body, err := json.Marshal(map[string]any{"spec": j.spec, "steps": j.steps, "bestEffort": true})
	if err != nil {
		return 0, err.Error()
	}
	c.ledger.note("client submits job %s at %s", j.id, c.address)
	status, text := c.call(http.MethodPost, j.id, body, j.deadline)
	c.ledger.note("client gets %d for the submission of job %s: %s", status, j.id, text)
	return status, text
}

// submitUntil hands a job in and leaves when leave is closed: the client closes its channel.
func (c *caller) submitUntil(j job, leave <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-leave:
			c.ledger.note("client leaves job %s", j.id)
			cancel()
		case <-ctx.Done():
		}
	}()
	c.ctx = ctx
	c.submit(j)
}

// cancel cancels a job and returns the status of the response.
func (c *caller) cancel(id string, deadline time.Duration) int {
	c.ledger.note("client cancels job %s at %s", id, c.address)
	status, text := c.call(http.MethodDelete, id, nil, deadline)
	c.ledger.note("client gets %d for the cancel of job %s: %s", status, id, text)
	return status
}

// pending asks for the number of jobs of the queue, to open the channel.
func (c *caller) pending() int {
	status, _ := c.call(http.MethodGet, "", nil, time.Second)
	return status
}

func (c *caller) call(method, id string, body []byte, deadline time.Duration) (int, string) {
	req, err := http.NewRequestWithContext(c.ctx, method, "http://"+c.address+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := *c.client
	client.Timeout = deadline
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(bytes.TrimSpace(text))
}

// jobID returns the id of a job: 16 hexadecimal digits.
func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+int64(n)) }
