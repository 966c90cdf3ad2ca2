package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// drainSpan is the time for which a worker serves on after the ack that it drains (drainMs).
	drainSpan = 2 * time.Second
	// restartPause is the time from the end of a worker to its next start, under the same id.
	restartPause = 500 * time.Millisecond
	// deregisterDelay is the time for which a partition holds up the last call of a worker.
	deregisterDelay = 2500 * time.Millisecond
	// recovery is the time after the last restart from which requests count (recoveryS), and judged that for which they do.
	recovery = 12 * time.Second
	judged   = 15 * time.Second
)

// restartWorker ends a worker as planned and starts it again under the same id and at the same address. The call with which it leaves
// arrives late if there is trouble.
func restartWorker(s *site, i int, late *sync.WaitGroup, trouble bool) error {
	old := s.workers[i]
	if !old.drain(drainSpan) {
		return errNoAck
	}
	deregister := func() {
		s.rec.logf("worker %s: deregister arrives, acknowledged: %t", old.id, old.post("deregister", nil))
	}
	if !trouble {
		deregister()
	}
	old.close()
	s.rec.logf("worker %s: ended", old.id)
	if trouble {
		late.Go(func() {
			time.Sleep(deregisterDelay)
			deregister()
		})
	}
	time.Sleep(restartPause)
	w, err := newWorker(old.id, old.addr, old.reports, old.zone, old.labels, s.rec)
	if err != nil {
		return err
	}
	s.workers[i] = w
	return nil
}

// runLeave restarts all workers in turn, and shows whether requests are served afterwards.
func runLeave(s *site, trouble bool) (bool, error) {
	if !s.awaitReady(20 * time.Second) {
		return false, errNotReady
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var mu sync.Mutex
	var requests, late sync.WaitGroup
	ask := func(span time.Duration) (asked, completed int) {
		for n, end := 0, time.Now().Add(span); time.Now().Before(end); n++ {
			requests.Go(func() {
				id := jobID()
				a := send(client, http.MethodPost, s.callers[n%len(s.callers)], prefix+id, shortJob, ordinaryDeadline)
				s.rec.logf("job %s: %s", id, a)
				mu.Lock()
				defer mu.Unlock()
				asked++
				if a.status == http.StatusOK && strings.Contains(a.body, "completed") {
					completed++
				}
			})
			time.Sleep(250 * time.Millisecond)
		}
		requests.Wait()
		return asked, completed
	}
	askedBefore, completedBefore := ask(3 * time.Second)
	s.rec.logf("before: %d jobs, %d completed", askedBefore, completedBefore)
	if !gateHolds(askedBefore, completedBefore) {
		return false, errNotServed
	}
	for i := range s.workers {
		if err := restartWorker(s, i, &late, trouble); err != nil {
			return false, err
		}
	}
	late.Wait()
	time.Sleep(recovery)
	asked, completed := ask(judged)
	s.rec.logf("after: %d jobs, %d completed", asked, completed)
	return gateHolds(askedBefore+asked, completedBefore+completed), nil
}
