package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// coreCut is the time for which a gateway is cut off from the store and from the other gateway.
	coreCut = 5500 * time.Millisecond
	// cancelledJobs is the number of jobs that are cancelled.
	cancelledJobs = 5
	// cancelDelay is the time from the begin of the partition to the first cancel.
	cancelDelay = 200 * time.Millisecond
	// cancelBound is the time from the ack of a cancel to the last start of a task of the job (cancel_ms).
	cancelBound = 3 * time.Second
	// longDeadline is how long the clients of these jobs wait.
	longDeadline = 20 * time.Second
	// twoSteps is a job whose first step takes 4.5 s, and its second one follows.
	twoSteps = `{"spec":"4500","bestEffort":true,"steps":[{"count":1,"cpu":3100,"memMb":64,"estimateMs":4500},` +
		`{"count":1,"cpu":3100,"memMb":64,"estimateMs":4500,"after":[0]}]}`
)

// runCancel cancels jobs of a gateway at another one, while the first is cut off from that one and from the store.
func runCancel(s *site, trouble bool) (bool, error) {
	if !s.awaitReady(20 * time.Second) {
		return false, errNotReady
	}
	var clients sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ids := make([]string, cancelledJobs)
	for i := range ids {
		ids[i] = jobID()
		clients.Go(func() {
			s.rec.logf("job %s at g1: sent", ids[i])
			s.rec.logf("job %s at g1: %s", ids[i], send(client, http.MethodPost, s.callers[1], prefix+ids[i], twoSteps, longDeadline))
		})
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		s.rec.logf("g1 is cut off from the store and from g0 for %d ms", coreCut.Milliseconds())
		s.network.cut(coreCut)
	}
	time.Sleep(cancelDelay)
	acked := map[string]time.Time{}
	for _, id := range ids {
		a := send(client, http.MethodDelete, s.callers[0], prefix+id, "", longDeadline)
		s.rec.logf("cancel of %s at g0: %s", id, a)
		if a.status/100 == 2 || a.status == http.StatusGone {
			acked[id] = time.Now()
		}
	}
	time.Sleep(coreCut)
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
