package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// forgetDelay is the time from the last ack to the loss of the history, and killDelay that from there to the kill of all gateways.
	forgetDelay = 500 * time.Millisecond
	killDelay   = 500 * time.Millisecond
	// downTime is the time for which killed gateways are down.
	downTime = 500 * time.Millisecond
	// repeatDelay is the time from the last ack to the submissions that arrive once more.
	repeatDelay = 5500 * time.Millisecond
	// oneStep is a job that takes 4.5 s.
	oneStep = `{"spec":"4500","bestEffort":true,"steps":[{"count":1,"cpu":3100,"memMb":64,"estimateMs":4500}]}`
)

// runForget cancels jobs, and submits them once more after the store has forgotten its history and all gateways were killed.
func runForget(s *site, trouble bool) (bool, error) {
	if !s.awaitReady(20 * time.Second) {
		return false, errNotReady
	}
	var clients sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ids := make([]string, cancelledJobs)
	submit := func(id string) {
		clients.Go(func() {
			s.rec.logf("job %s at g1: sent", id)
			s.rec.logf("job %s at g1: %s", id, send(client, http.MethodPost, s.callers[1], prefix+id, oneStep, longDeadline))
		})
	}
	for i := range ids {
		ids[i] = jobID()
		submit(ids[i])
	}
	time.Sleep(cancelDelay)
	acked := map[string]time.Time{}
	for _, id := range ids {
		a := send(client, http.MethodDelete, s.callers[1], prefix+id, "", longDeadline)
		s.rec.logf("cancel of %s at g1: %s", id, a)
		if a.status/100 == 2 || a.status == http.StatusGone {
			acked[id] = time.Now()
		}
	}
	clients.Wait()
	repeat := time.After(repeatDelay)
	if trouble {
		time.Sleep(forgetDelay)
		s.rec.logf("the store forgets its history")
		s.store.forget()
		time.Sleep(killDelay)
		if err := s.restartGateways(); err != nil {
			return false, err
		}
	}
	<-repeat
	for _, id := range ids {
		submit(id)
	}
	clients.Wait()
	late := 0
	for task, at := range s.rec.lastStarts() {
		id, _, _ := strings.Cut(task, ".")
		if ack, ok := acked[id]; ok && at.Sub(ack) > cancelBound {
			s.rec.logf("UNASKED %s started %d ms after the ack", task, at.Sub(ack).Milliseconds())
			late++
		}
	}
	s.rec.logf("%d cancels acknowledged; %d tasks started more than %d ms later", len(acked), late, cancelBound.Milliseconds())
	return late == 0, nil
}

// restartGateways kills all gateways and starts them again.
func (s *site) restartGateways() error {
	s.rec.logf("all gateways are killed")
	for _, p := range s.gateways {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range s.gateways {
		<-p.exited
	}
	time.Sleep(downTime)
	for _, p := range s.gateways {
		if err := p.start(); err != nil {
			return fmt.Errorf("start %s: %w", p.name, err)
		}
	}
	if !s.awaitReady(2 * time.Second) {
		return errNotReady
	}
	s.rec.logf("all gateways are ready again")
	return nil
}
