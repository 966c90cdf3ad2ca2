package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// resendTime is resendMs: a client that has no response submits its job again after that time.
	resendTime = 1300 * time.Millisecond
	// drainLimit is drainMs, for which a worker that leaves goes on as before.
	drainLimit = 2 * time.Second
	// stopLimit is stopMs.
	stopLimit = 50 * time.Millisecond
	// recallJobs is the number of jobs, each with a client of its own.
	recallJobs = 4
)

// playRecall takes a worker away that runs two jobs. The client of one of them leaves and submits it again at another gateway, that of
// the other one cancels it.
func playRecall(s *site, trouble bool) ([]string, error) {
	p, err := s.startPair()
	if err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	leave := make(chan struct{})
	left := job{id: jobID(1), spec: "3100 10000", deadline: 20 * time.Second, steps: []jobStep{{Count: 1, CPU: 3100, Memory: 64, Estimate: 10000}}}
	wg.Add(1)
	go func() {
		defer wg.Done()
		newCaller(p.gatewayPorts[0].callers, s.ledger).submitUntil(left, leave)
		time.Sleep(resendTime)
		newCaller(p.gatewayPorts[1].callers, s.ledger).submit(left)
	}()
	// Three more jobs of clients that stay: one of four leaves.
	for n := 2; n <= recallJobs; n++ {
		stays := left
		stays.id = jobID(n)
		time.Sleep(20 * time.Millisecond)
		wg.Add(1)
		go func() {
			defer wg.Done()
			newCaller(p.gatewayPorts[0].callers, s.ledger).submit(stays)
		}()
	}
	if err := await(2*time.Second, func() bool { return len(s.ledger.of("")) == recallJobs }); err != nil {
		return nil, err
	}
	first := s.ledger.of(left.id)[0]
	old := p.workers[0]
	if first.worker == p.workers[1].id {
		old = p.workers[1]
	}
	cancelled := ""
	for _, e := range s.ledger.of("") {
		if e.worker == old.id && e.task != first.task {
			cancelled = e.task[:len(left.id)]
		}
	}
	if cancelled == "" {
		return nil, fmt.Errorf("%w: the worker has one job", errSetup)
	}
	if trouble {
		old.leave()
	}
	time.Sleep(drainLimit + 300*time.Millisecond)
	if trouble {
		// The worker has served for drainMs. It takes no new channels now, and serves the open ones until its runs have ended.
		s.ledger.note("worker %s closes its listener", old.id)
		old.refuse()
	}
	time.Sleep(700 * time.Millisecond)
	close(leave)
	status := newCaller(p.gatewayPorts[0].callers, s.ledger).cancel(cancelled, 1500*time.Millisecond)
	acked := s.ledger.now()
	if status != http.StatusOK {
		return nil, fmt.Errorf("%w: the job was not cancelled", errSetup)
	}
	wg.Wait()
	if trouble {
		old.deregister()
	}
	broken := s.ledger.overlaps()
	for _, e := range s.ledger.of(cancelled) {
		if e.ended-acked > cancelLimit+stopLimit {
			broken = append(broken, fmt.Sprintf("UNASKED: task %s goes on on %s for %s after the cancel was acknowledged with %d, and ends %s",
				e.task, e.worker, stamp(e.ended-acked), status, e.how))
		}
	}
	return broken, nil
}
