package main

import (
	"sync"
	"time"
)

const (
	// resendTime is resendMs: a client that has no response submits its job again after that time.
	resendTime = 1300 * time.Millisecond
	// drainLimit is drainMs, for which a worker that leaves goes on as before.
	drainLimit = 2 * time.Second
)

// playRecall lets a client leave and submit its job again at another gateway, while the worker that runs the job is leaving.
func playRecall(s *site, trouble bool) ([]string, error) {
	p, err := s.startPair()
	if err != nil {
		return nil, err
	}
	left := job{id: jobID(1), spec: "3100 10000", deadline: 20 * time.Second, steps: []jobStep{{Count: 1, CPU: 3100, Memory: 64, Estimate: 10000}}}
	var wg sync.WaitGroup
	leave := make(chan struct{})
	// One of three clients leaves.
	for n := 2; n <= 3; n++ {
		stays := left
		stays.id = jobID(n)
		wg.Add(1)
		go func() {
			defer wg.Done()
			newCaller(p.gatewayPorts[0].callers, s.ledger).submit(stays)
		}()
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		newCaller(p.gatewayPorts[0].callers, s.ledger).submitUntil(left, leave)
		time.Sleep(resendTime)
		newCaller(p.gatewayPorts[1].callers, s.ledger).submit(left)
	}()
	if err := await(2*time.Second, func() bool { return len(s.ledger.of(left.id)) > 0 }); err != nil {
		return nil, err
	}
	i := 0
	if s.ledger.of(left.id)[0].worker == p.workers[1].id {
		i = 1
	}
	old := p.workers[i]
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
	wg.Wait()
	if trouble {
		old.deregister()
	}
	return s.ledger.overlaps(), nil
}
