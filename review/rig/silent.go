package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Bounds of the sites, see the bounds in DEPLOY.md.
const (
	contactTime     = 3 * time.Second
	configApplyTime = 2 * time.Second
	evacuateTime    = 5 * time.Second
)

// playSilent makes the open channels of all processes to the store go silent for good, while new ones work. One second
// later the operator adds a queue and drops another. CONFIG is broken if a gateway in touch answers 404 to a job of the
// added queue, or completes one of the dropped queue, that was sent later than configApplyMs after the store's answer to the
// operator.
func playSilent(r *record, trouble bool) ([]string, error) {
	k := kind{[]string{"a", "r1-1"}, 32000}
	s, err := newSite(siteConfig{zones: []string{"accra-osu", "accra-tema"}, gateways: 2, kinds: []kind{k, k, k, k}, storeProxies: true}, r)
	if err != nil {
		return nil, err
	}
	defer s.close()
	s.publish(1, "/badges/")
	if err := s.awaitReady("/badges/"); err != nil {
		return nil, err
	}
	s.publish(3, "/badges/", "/older/")
	time.Sleep(time.Second)
	silenced := time.Now()
	if trouble {
		n := 0
		for _, p := range s.storeProxies {
			n += p.silence()
		}
		r.printf("%d open channels to the store go silent", n)
	}
	time.Sleep(time.Second)
	acked := s.publish(7, "/badges/", "/newer/")
	judged := acked.Add(configApplyTime)
	if inTouch := silenced.Add(contactTime); judged.Before(inTouch) {
		judged = inTouch
	}
	var broken []string
	next := 0
	for time.Since(acked) < 30*time.Second {
		for _, g := range s.gateways {
			next += 2
			sent := time.Now()
			id := fmt.Sprintf("%016x", next)
			status, err := s.send(context.Background(), http.MethodPost, g.callers, "/newer/"+id, jobBody(2, 3100, 60, ""), 1500)
			if err == nil && status == http.StatusNotFound && sent.After(judged) {
				broken = append(broken, fmt.Sprintf("%s answers 404 to a job of /newer/ that was sent %.1f s after the configuration was acknowledged",
					g.name, sent.Sub(acked).Seconds()))
			}
			sent = time.Now()
			id = fmt.Sprintf("%016x", next+1)
			status, err = s.send(context.Background(), http.MethodPost, g.callers, "/older/"+id, jobBody(2, 3100, 60, ""), 1500)
			if err == nil && status == http.StatusOK && sent.After(judged) {
				broken = append(broken, fmt.Sprintf("%s runs a job of the dropped /older/ that was sent %.1f s after the configuration was acknowledged",
					g.name, sent.Sub(acked).Seconds()))
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return broken, nil
}
