package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// cancelLimit is cancel_ms: after that, nothing of a cancelled job may be started.
	cancelLimit = 3 * time.Second
	// cutTime is the time for which a machine is cut off.
	cutTime = 5500 * time.Millisecond
	// ackLimit is ackTimeoutMs: a cancel that has waited for so long counts as acknowledged.
	ackLimit = 4 * time.Second
	// applyLimit is configApplyMs.
	applyLimit = 2 * time.Second
)

// playCut cancels a job at a gateway that is cut off from all other machines of the system, but not from clients.
func playCut(s *site, trouble bool) ([]string, error) {
	owner, err := newGatewayPorts()
	if err != nil {
		return nil, err
	}
	other, err := newGatewayPorts()
	if err != nil {
		return nil, err
	}
	// All that the other gateway sends to or gets from the system passes one of these three.
	toOwner, err := s.proxy(owner.links)
	if err != nil {
		return nil, err
	}
	toOther, err := s.proxy(other.links)
	if err != nil {
		return nil, err
	}
	toStore, err := s.proxy(s.storeAddress)
	if err != nil {
		return nil, err
	}
	owner.advertised, other.advertised, other.store = toOwner.address(), toOther.address(), toStore.address()
	seeds := []string{toOwner.address(), toOther.address()}
	if _, err := s.gateway("gateway-1", domainOne, owner, seeds); err != nil {
		return nil, err
	}
	ports, err := newRunnerPorts()
	if err != nil {
		return nil, err
	}
	if _, err := s.worker("w-1", domainOne, ports); err != nil {
		return nil, err
	}
	if _, err := s.runner("runner-1", domainOne, ports, seeds); err != nil {
		return nil, err
	}
	second, err := newRunnerPorts()
	if err != nil {
		return nil, err
	}
	if _, err := s.worker("w-2", domainTwo, second); err != nil {
		return nil, err
	}
	if _, err := s.runner("runner-2", domainTwo, second, seeds); err != nil {
		return nil, err
	}
	if err := awaitReady(owner); err != nil {
		return nil, err
	}
	time.Sleep(2 * heartbeatInterval)
	// Later connections to the owner are those of the other gateway.
	present := toOwner.count()
	if _, err := s.gateway("gateway-2", domainTwo, other, seeds); err != nil {
		return nil, err
	}
	if err := awaitReady(other); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	j := job{id: jobID(1), spec: "3100 5000 200", deadline: 12 * time.Second, steps: []jobStep{
		{Count: 1, CPU: 3100, Memory: 64, Estimate: 5000}, {Count: 2, CPU: 3100, Memory: 64, Estimate: 200, After: []int{0}},
	}}
	atOwner, atOther := newCaller(owner.callers, s.ledger), newCaller(other.callers, s.ledger)
	if atOther.pending() != http.StatusOK {
		return nil, fmt.Errorf("%w: gateway-2 does not serve the queue", errSetup)
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		atOwner.submit(j)
	}()
	if err := await(2*time.Second, func() bool { return len(s.ledger.of(j.id)) > 0 }); err != nil {
		return nil, err
	}
	if trouble {
		s.ledger.note("gateway-2 is cut off from all other machines of the system")
		toOwner.hold(present)
		toOther.hold(0)
		toStore.hold(0)
		time.AfterFunc(cutTime, func() {
			s.ledger.note("the cut has ended")
			toOwner.release()
			toOther.release()
			toStore.release()
		})
	}
	time.Sleep(200 * time.Millisecond)
	status := atOther.cancel(j.id, 1500*time.Millisecond)
	acked := s.ledger.now()
	select {
	case <-answered:
	case <-time.After(j.deadline):
	}
	time.Sleep(time.Second)
	if status/100 != 2 && status != http.StatusGone {
		s.ledger.note("the cancel was not acknowledged")
		return nil, nil
	}
	var broken []string
	for _, e := range s.ledger.of(j.id) {
		if e.began-acked > cancelLimit {
			broken = append(broken, fmt.Sprintf("UNASKED: task %s is started on %s %s after the cancel was acknowledged with %d",
				e.task, e.worker, stamp(e.began-acked), status))
		}
	}
	return broken, nil
}

// playDropped cancels a job whose queue the operator has removed in the meantime.
func playDropped(s *site, trouble bool) ([]string, error) {
	p, err := s.startPair()
	if err != nil {
		return nil, err
	}
	c, canceller := newCaller(p.gatewayPorts[0].callers, s.ledger), newCaller(p.gatewayPorts[0].callers, s.ledger)
	j := job{id: jobID(1), spec: "3100", deadline: 20 * time.Second}
	for i := range 6 {
		j.spec += " 3000"
		step := jobStep{Count: 1, CPU: 3100, Memory: 64, Estimate: 3000}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.steps = append(j.steps, step)
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		c.submit(j)
	}()
	if err := await(2*time.Second, func() bool { return len(s.ledger.of(j.id)) > 0 }); err != nil {
		return nil, err
	}
	if trouble {
		s.ledger.note("the operator removes the route")
		s.publishWithout()
	}
	time.Sleep(applyLimit + 100*time.Millisecond)
	// Without an ack, the client cancels again each second.
	first := s.ledger.now()
	acked := first + ackLimit
	for range 5 {
		if status := canceller.cancel(j.id, time.Second); status/100 == 2 || status == http.StatusGone {
			acked = s.ledger.now()
			break
		}
		time.Sleep(time.Second)
	}
	<-answered
	time.Sleep(time.Second)
	var broken []string
	for _, e := range s.ledger.of(j.id) {
		if e.began-acked > cancelLimit {
			broken = append(broken, fmt.Sprintf("UNASKED: task %s is started on %s %s after its job was first cancelled", e.task, e.worker, stamp(e.began-first)))
		}
	}
	return broken, nil
}

// playForgotten cancels a job, kills all gateways, and hands the job in once more, as it arrives at times seconds after its response.
func playForgotten(s *site, trouble bool) ([]string, error) {
	p, err := s.startPair()
	if err != nil {
		return nil, err
	}
	c, canceller := newCaller(p.gatewayPorts[0].callers, s.ledger), newCaller(p.gatewayPorts[0].callers, s.ledger)
	j := job{id: jobID(1), spec: "3100 4000", deadline: 10 * time.Second, steps: []jobStep{{Count: 2, CPU: 3100, Memory: 64, Estimate: 4000}}}
	answered := make(chan int, 1)
	go func() {
		status, _ := c.submit(j)
		answered <- status
	}()
	if err := await(2*time.Second, func() bool { return len(s.ledger.of(j.id)) > 1 }); err != nil {
		return nil, err
	}
	status := canceller.cancel(j.id, 1500*time.Millisecond)
	acked := s.ledger.now()
	if status != http.StatusOK || <-answered != http.StatusOK {
		return nil, fmt.Errorf("%w: the job was not cancelled", errSetup)
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		s.ledger.note("all gateways are killed")
		for _, g := range p.gateways {
			g.kill()
		}
		time.Sleep(restartDelay)
		s.ledger.note("all gateways start again")
		for _, g := range p.gateways {
			if err := g.start(); err != nil {
				return nil, err
			}
		}
	}
	for _, ports := range p.gatewayPorts {
		if err := awaitReady(ports); err != nil {
			return nil, err
		}
	}
	// All machines are in touch again, and cancel_ms has passed.
	time.Sleep(cancelLimit + time.Second)
	c.submit(j)
	var broken []string
	for _, e := range s.ledger.of(j.id) {
		if e.began-acked > cancelLimit {
			broken = append(broken, fmt.Sprintf("UNASKED: task %s is started on %s %s after the cancel was acknowledged with %d",
				e.task, e.worker, stamp(e.began-acked), status))
		}
	}
	return broken, nil
}
