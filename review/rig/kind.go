package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// playKind crashes a worker of kind a and starts it again under its id and at its address as one of kind b. Jobs that
// require label a are sent before and after. ROUTE is broken if one of their tasks starts on a worker without that label.
func playKind(r *record, trouble bool) ([]string, error) {
	a, b := kind{[]string{"a", "r1-1"}, 32000}, kind{[]string{"b", "r1-1"}, 32000}
	s, err := newSite(siteConfig{zones: []string{"accra-osu", "accra-tema"}, gateways: 2, kinds: []kind{a, a, b, b, a, a, a, a}}, r)
	if err != nil {
		return nil, err
	}
	defer s.close()
	s.publish(1, "/badges/")
	if err := s.awaitReady("/badges/"); err != nil {
		return nil, err
	}
	next := 0
	sendJobs := func(n int) int {
		completed := 0
		var wg sync.WaitGroup
		var mu sync.Mutex
		for range n {
			next++
			id, gateway := fmt.Sprintf("%016x", next), s.gateways[next%len(s.gateways)]
			wg.Go(func() {
				status, _ := s.send(context.Background(), http.MethodPost, gateway.callers, "/badges/"+id, jobBody(4, 3100, 200, "a"), 1500)
				if status == http.StatusOK {
					mu.Lock()
					completed++
					mu.Unlock()
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		wg.Wait()
		return completed
	}
	if n := sendJobs(20); n == 0 {
		return nil, fmt.Errorf("no job was completed before the disruption")
	}
	if trouble {
		old := s.workers[0]
		address := old.server.Addr
		old.crash()
		time.Sleep(time.Second)
		w, err := startWorker(old.cfg, b, address)
		if err != nil {
			return nil, err
		}
		s.workers[0] = w
	}
	// Longer than contactMs.
	time.Sleep(5 * time.Second)
	r.printf("jobs after the disruption")
	completed := sendJobs(60)
	r.printf("%d of 60 jobs were completed", completed)
	var broken []string
	for _, run := range s.log.starts() {
		if !slices.Contains(run.labels, "a") {
			broken = append(broken, fmt.Sprintf("task %s requires label a and started on %s with labels %v", run.task, run.worker, run.labels))
		}
	}
	return broken, nil
}
