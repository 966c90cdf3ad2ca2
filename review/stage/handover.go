package main

import (
	"sync"
	"time"
)

const (
	// shortDelay is the time after which a killed runner is started again.
	shortDelay = 300 * time.Millisecond
)

// playReplace replaces a worker while the runner beside it is killed and started again.
func playReplace(s *site, trouble bool) ([]string, error) {
	p, err := s.startPair()
	if err != nil {
		return nil, err
	}
	c := newCaller(p.gatewayPorts[0].callers, s.ledger)
	j := job{id: jobID(1), spec: "3100 3600", deadline: 9 * time.Second, steps: []jobStep{{Count: 1, CPU: 3100, Memory: 64, Estimate: 3600}}}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.submit(j)
	}()
	if err := await(2*time.Second, func() bool { return p.workers[0].runs()+p.workers[1].runs() > 0 }); err != nil {
		return nil, err
	}
	i := 0
	if p.workers[1].runs() > 0 {
		i = 1
	}
	old, runner := p.workers[i], p.runners[i]
	// The next regular heartbeat of the old worker comes later than all that follows.
	sent := old.heartbeats()
	if err := await(2*heartbeatInterval, func() bool { return old.heartbeats() > sent }); err != nil {
		return nil, err
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		s.ledger.note("%s is killed", runner.name)
		runner.kill()
	}
	// The successor of the worker takes its address, and registers once it is up. The old one closes its listener and serves its open
	// channels. It reports that it drains once its successor is registered.
	time.Sleep(shortDelay - 100*time.Millisecond)
	old.refuse()
	next := s.newWorker(old.id+"b", domainOne, p.ports[i])
	if err := next.bind(p.ports[i].worker); err != nil {
		return nil, err
	}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		s.ledger.note("%s starts again", runner.name)
		if err := runner.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(50 * time.Millisecond)
	next.register()
	time.Sleep(100 * time.Millisecond)
	old.leave()
	wg.Wait()
	time.Sleep(time.Second)
	old.deregister()
	return s.ledger.overlaps(), nil
}
