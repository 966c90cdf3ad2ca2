package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// cancelTime is cancel_ms of the sites.
const cancelTime = 3 * time.Second

// playCancel submits jobs, cancels them, and sends each submission once more to the other gateway some seconds after its
// answer. UNASKED is broken if a task starts later than cancel_ms after the cancel of its job was acknowledged.
func playCancel(r *record, trouble bool) ([]string, error) {
	k := kind{[]string{"a", "r1-1"}, 32000}
	s, err := newSite(siteConfig{zones: []string{"accra-osu", "accra-tema"}, gateways: 2, kinds: []kind{k, k, k, k}}, r)
	if err != nil {
		return nil, err
	}
	defer s.close()
	s.publish(1, "/badges/")
	if err := s.awaitReady("/badges/"); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	acked := map[string]time.Time{}
	var wg sync.WaitGroup
	for n := range 10 {
		id := fmt.Sprintf("%016x", n+1)
		first, second := s.gateways[n%2], s.gateways[(n+1)%2]
		wg.Go(func() {
			status, _ := s.send(context.Background(), http.MethodPost, first.callers, "/badges/"+id, jobBody(2, 3100, 900, ""), 1500)
			if status != http.StatusOK || !trouble {
				return
			}
			time.Sleep(4 * time.Second)
			r.printf("the submission of %s arrives once more, at %s", id, second.name)
			_, _ = s.send(context.Background(), http.MethodPost, second.callers, "/badges/"+id, jobBody(2, 3100, 900, ""), 1500)
		})
		time.Sleep(200 * time.Millisecond)
		status, _ := s.send(context.Background(), http.MethodDelete, first.callers, "/badges/"+id, "", 1500)
		if status == http.StatusOK || status == http.StatusGone {
			mu.Lock()
			acked[id] = time.Now()
			mu.Unlock()
		}
	}
	wg.Wait()
	time.Sleep(time.Second)
	var broken []string
	for _, run := range s.log.starts() {
		id, _, _ := strings.Cut(run.task, ".")
		if at, ok := acked[id]; ok && run.at.Sub(at) > cancelTime {
			broken = append(broken, fmt.Sprintf("task %s starts on %s %.1f s after the cancel of its job was acknowledged", run.task, run.worker, run.at.Sub(at).Seconds()))
		}
	}
	return broken, nil
}
