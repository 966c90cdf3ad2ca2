package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/lavendercourse/lavendercourse/platform"
)

const (
	// cancelLimit is the time after the ack of a cancel within which nothing of the job may start any more, as for the users.
	cancelLimit = 3 * time.Second
	// cancelStep is the run time of each of the two steps of a cancelled job in ms, so that the second one starts after cancelLimit
	// if the cancel does not hold.
	cancelStep = 3500
	// cancelTimeout is how long the callers of these jobs wait for an answer.
	cancelTimeout = 12 * time.Second
	// maxCancelDelay is the upper bound of the time between a submission and its cancel, and maxRepetitionDelay that of the time
	// between the ack and the late repetition of the submission.
	maxCancelDelay     = 500 * time.Millisecond
	maxRepetitionDelay = 8 * time.Second
)

// drawCancelFault chooses a random fault of those beside which cancels are checked. The store serves all the while, so that all
// gateways can read cancels there.
func (s *site) drawCancelFault(rng *rand.Rand) fault {
	span := time.Duration(rng.Int64N(int64(maxFaultDuration)))
	g := rng.IntN(len(s.gateways))
	p := s.gateways[g]
	switch rng.IntN(5) {
	case 0:
		return fault{"kill all gateways", func() {
			for _, p := range s.gateways {
				p.signal(syscall.SIGKILL)
			}
			for _, p := range s.gateways {
				s.restart(p, syscall.SIGKILL, 0)
			}
		}, true}
	case 1:
		return fault{"kill " + p.name, func() { s.restart(p, syscall.SIGKILL, span/4) }, true}
	case 2:
		return fault{fmt.Sprintf("remove the queue for %s", span), func() { s.removeQueue(span) }, false}
	case 3:
		return fault{fmt.Sprintf("pause %s for %s", p.name, span), func() { s.pause(p, span) }, true}
	default:
		return fault{fmt.Sprintf("cut the links of %s for %s", p.name, span), func() {
			s.linkProxies[g].Set(Hold)
			time.Sleep(span)
			s.linkProxies[g].Set(Pass)
		}, true}
	}
}

// removeQueue publishes a configuration without the queue, and one with it when span has passed.
func (s *site) removeQueue(span time.Duration) {
	s.mu.Lock()
	s.version++
	s.store.Put(platform.ConfigStream, "config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"other","host":%q,"pathPrefix":"/other/",
		"service":%q,"maxAttempts":1,"slackFactor":1,"targetLatencyMs":60}]}`, s.version, host, service))
	s.mu.Unlock()
	time.Sleep(span)
	s.publish()
}

// submitCancelled submits a job of two steps at one gateway and cancels it at any. If the cancel is acknowledged, the submission is
// sent once more, up to maxRepetitionDelay later.
func (c *callers) submitCancelled(client *http.Client, rng *rand.Rand) {
	j := c.newJob(rng, 0)
	j.tasks = 2
	j.body = fmt.Sprintf(`{"spec":"1000 %d","bestEffort":true,"steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":%d},
		{"count":1,"cpu":1000,"memMb":64,"estimateMs":%d,"after":[0]}]}`, cancelStep, cancelStep, cancelStep)
	gateway := func() int { return rng.IntN(len(c.site.callerProxies)) }
	first, second, later := gateway(), gateway(), gateway()
	delay, late := time.Duration(rng.Int64N(int64(maxCancelDelay))), time.Duration(rng.Int64N(int64(maxRepetitionDelay)))
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		// Whatever the answer is, the cancel decides what may run.
		_, _, _ = c.send(client, http.MethodPost, first, j)
	}()
	time.Sleep(delay)
	status, _, err := c.send(client, http.MethodDelete, second, j)
	if err == nil && (status == http.StatusOK || status == http.StatusGone) {
		c.mu.Lock()
		c.cancelled[j.id] = time.Now()
		c.result.Cancelled++
		c.mu.Unlock()
		time.Sleep(late)
		_, _, _ = c.send(client, http.MethodPost, later, j)
	}
	<-answered
}

// lateStarts describes the cancelled jobs of which something has started later than cancelLimit after the ack.
func lateStarts(cancelled map[string]time.Time, lastStart func(job string) time.Time) []string {
	var all []string
	for id, acked := range cancelled {
		if late := lastStart(id).Sub(acked); late > cancelLimit {
			all = append(all, fmt.Sprintf("a task of job %s has started %s after its cancel was acknowledged", id, late))
		}
	}
	return all
}
