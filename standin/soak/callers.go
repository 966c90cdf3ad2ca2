package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lavendercourse/lavendercourse/standin/fleet"
)

const (
	// resendPause is the time before a caller resubmits its job after a broken connection, a 502 or a 504.
	resendPause = 1300 * time.Millisecond
	// callerTimeout is how long a caller waits for an answer, and shortCallerTimeout how long each third caller does: it gives up
	// during a cut, and submits its job elsewhere.
	callerTimeout      = 6 * time.Second
	shortCallerTimeout = 1500 * time.Millisecond
	// maxTries is the maximum number of times that a caller submits a job.
	maxTries = 3
	// maxCallerPause is the upper bound of a caller's random pause between two jobs.
	maxCallerPause = 80 * time.Millisecond
	// earlyCrash is the progress at which bad tasks of the users' platform crash their workers.
	earlyCrash = 60 * time.Millisecond
)

// callers submit jobs and check the answers against the ledger of the workers.
type callers struct {
	site *site

	mu     sync.Mutex
	next   int
	result Report
	// began holds the times at which jobs with a bad task were first submitted, by job.
	began map[string]time.Time
	// cancelled holds the times at which cancels were acknowledged, by job.
	cancelled map[string]time.Time
}

func newCallers(s *site) *callers {
	return &callers{site: s, began: map[string]time.Time{}, cancelled: map[string]time.Time{}}
}

func (c *callers) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Violations = append(c.result.Violations, fmt.Sprintf(format, args...))
}

func (c *callers) report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.result
}

type job struct {
	id    string
	tasks int
	body  string
	// bad is set if one of the tasks crashes its workers.
	bad bool
}

// task returns the name of a task as in the calls of the workers.
func (j job) task(index int) string { return fmt.Sprintf("%s.0.0.%d", j.id, index) }

// newJob returns the next job. The given share of jobs has a bad task.
func (c *callers) newJob(rng *rand.Rand, crashes float64) job {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	c.result.Jobs++
	j := job{id: fmt.Sprintf("%016x", c.next), tasks: 1 + rng.IntN(8)}
	ms := []int{60, 200, 900}[rng.IntN(3)]
	payload := fmt.Sprintf("3100 %d", ms)
	if crashes > 0 && rng.Float64() < crashes {
		j.bad, c.began[j.id] = true, time.Now()
		payload = fleet.CrashPayload(payload, rng.IntN(j.tasks), drawCrashDelay(rng, time.Duration(ms)*time.Millisecond))
	}
	j.body = fmt.Sprintf(`{"spec":%q,"bestEffort":true,"steps":[{"count":%d,"cpu":3100,"memMb":64,"estimateMs":%d}]}`, payload, j.tasks, ms)
	return j
}

// drawCrashDelay chooses when a bad task with the given run time crashes its workers: before its start is answered, 60 ms
// later, at a random point of the run, or at its end. One task does so at the same point of each run.
func drawCrashDelay(rng *rand.Rand, run time.Duration) time.Duration {
	point := time.Duration(1+rng.Int64N(run.Milliseconds())) * time.Millisecond
	return []time.Duration{0, earlyCrash, point, run}[rng.IntN(4)]
}

// submitAll submits jobs one after another until ctx ends. It reuses connections until they break.
func (c *callers) submitAll(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(c.site.cfg.Seed, uint64(100+number)))
	transport := &http.Transport{}
	client := &http.Client{Transport: transport, Timeout: callerTimeout}
	cancels := c.site.cfg.Cancels && number%3 == 0
	if cancels {
		client.Timeout = cancelTimeout
	} else if number%3 == 0 || c.site.cfg.Cuts && number%3 == 1 {
		client.Timeout = shortCallerTimeout
	}
	if c.site.cfg.Cuts && number%2 == 0 {
		transport.DialContext = dialResetting
	}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		if cancels {
			c.submitCancelled(client, rng)
			continue
		}
		c.submit(client, rng, c.newJob(rng, c.site.cfg.Crashes))
		time.Sleep(time.Duration(rng.Int64N(int64(maxCallerPause))))
	}
}

// dialResetting opens a connection that is reset when it is closed, so that a cut loses what was sent on it and its end.
func dialResetting(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if tcp, ok := conn.(*net.TCPConn); ok {
		// The error is ignored: the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	return conn, err
}

// submit submits a job up to maxTries times until it is answered, and checks the answer.
func (c *callers) submit(client *http.Client, rng *rand.Rand, j job) {
	refused := true
	for range maxTries {
		status, state, err := c.send(client, http.MethodPost, rng.IntN(len(c.site.callerProxies)), j)
		switch {
		case err == nil && status == http.StatusOK:
			c.checkAnswer(j, state)
			return
		case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
			if refused && c.site.ledger.Started(j.id) {
				c.addViolation("job %s was refused as not run, but one of its tasks had started", j.id)
			}
			c.count(func(r *Report) { r.Refused++ })
			return
		case err == nil && status == http.StatusNotFound && c.site.cfg.Cancels:
			// The queue is removed at times.
			c.count(func(r *Report) { r.Unknown++ })
			return
		case err == nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout:
			c.addViolation("job %s was answered with status %d", j.id, status)
			return
		}
		refused = false
		time.Sleep(resendPause)
	}
	c.count(func(r *Report) { r.Unknown++ })
}

func (c *callers) checkAnswer(j job, state string) {
	if state != "completed" {
		c.count(func(r *Report) { r.Failed++ })
		if state == "failed" && !mayFail(j, c.site.ledger.Failures) {
			c.addViolation("job %s was reported as failed without a bad task or one with %d failures; %s", j.id, maxAttempts, describeTasks(c.site.ledger, j))
		}
		return
	}
	c.count(func(r *Report) { r.Completed++ })
	for i := range j.tasks {
		if c.site.ledger.SuccessfulRuns(j.task(i)) == 0 {
			c.addViolation("job %s was reported as completed, but its task %d did not complete", j.id, i)
		}
	}
}

func (c *callers) count(add func(r *Report)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add(&c.result)
}

func (c *callers) send(client *http.Client, method string, gateway int, j job) (int, string, error) {
	req, err := http.NewRequest(method, "http://"+c.site.callerProxies[gateway].Address()+prefix+j.id, bytes.NewBufferString(j.body))
	if err != nil {
		return 0, "", err
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(client.Timeout.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return 0, "", err
	}
	return resp.StatusCode, answer.State, nil
}

// waitServed reports whether every gateway completes a job within limit. None of its jobs has a bad task: these would be
// further faults, and keep the queue contained.
func (c *callers) waitServed(ctx context.Context, limit time.Duration) bool {
	rng := rand.New(rand.NewPCG(c.site.cfg.Seed, 2))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	until := time.Now().Add(limit)
	for g := range c.site.callerProxies {
		for {
			status, state, err := c.send(client, http.MethodPost, g, c.newJob(rng, 0))
			if err == nil && status == http.StatusOK && state == "completed" {
				break
			}
			if time.Now().After(until) || ctx.Err() != nil {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
