package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playCutoff cuts a gateway off from its clients, its runners and the store for some seconds. The clients whose jobs it had
// give up at their time limit, reset their channels, which the cut swallows, and send the jobs again to another gateway.
// TWICE is broken if two runs of one task overlap.
func playCutoff(r *record, trouble bool) ([]string, error) {
	const (
		timeLimit = 1500 * time.Millisecond
		jobs      = 30
		cutTime   = 2800 * time.Millisecond
	)
	k := kind{[]string{"a", "r1-1"}, 32000}
	s, err := newSite(siteConfig{zones: siteZones, gateways: 4, kinds: []kind{k, k, k, k, k, k, k, k}, cutProxies: true}, r)
	if err != nil {
		return nil, err
	}
	defer s.close()
	s.clientsReset = true
	s.publish(1, "/badges/")
	if err := s.awaitReady("/badges/"); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	for n := range jobs {
		wg.Go(func() {
			path := fmt.Sprintf("/badges/%016x", n+1)
			for try := range 3 {
				gateway := s.gateways[try%len(s.gateways)]
				status, err := s.send(context.Background(), http.MethodPost, gateway.callers, path, jobBody(1, 1000, 1200, ""), int(timeLimit.Milliseconds()))
				if err == nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
					return
				}
				r.printf("POST %s at %s: no answer: %v", path, gateway.name, err)
				time.Sleep(resendPause)
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	if trouble {
		r.printf("%s is cut off", s.gateways[0].name)
		for _, p := range s.cutProxies {
			p.cut()
		}
		time.Sleep(cutTime)
		for _, p := range s.cutProxies {
			p.heal()
		}
		r.printf("%s is back", s.gateways[0].name)
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	return s.log.broken(), nil
}
