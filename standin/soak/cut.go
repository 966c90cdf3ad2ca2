package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// minLongPause and maxLongPause bound the pauses of gateways. A caller with a short time limit is back after 2.8 s.
	minLongPause = 3 * time.Second
	maxLongPause = 5 * time.Second
	// maxCutDuration is the upper bound of the duration of one cut, and maxCutPause that of the pause before a second one.
	maxCutDuration = 5 * time.Second
	maxCutPause    = 1500 * time.Millisecond
)

// drawCut chooses a random cut that holds data. Two of three are followed by a second one of the same machine, which may lose
// the ends of connections that have survived the first one.
func (s *site) drawCut(rng *rand.Rand) fault {
	spans := []time.Duration{time.Duration(rng.Int64N(int64(maxCutDuration)))}
	if rng.IntN(3) > 0 {
		spans = append(spans, time.Duration(rng.Int64N(int64(maxCutDuration))))
	}
	pause := time.Duration(rng.Int64N(int64(maxCutPause)))
	g, w := rng.IntN(len(s.gateways)), rng.IntN(len(s.workers))
	kind := rng.IntN(10)
	name, proxies := "gateway "+s.gateways[g].name, []*Proxy{s.callerProxies[g], s.linkProxies[g]}
	broken := Hold
	switch {
	case kind < 5:
	case kind < 6:
		name, proxies = "callers of "+s.gateways[g].name, proxies[:1]
	case kind < 7:
		name, proxies = "links of "+s.gateways[g].name, proxies[1:]
	default:
		name, proxies = "worker "+s.workers[w].cfg.ID, []*Proxy{s.workers[w].proxy}
		broken = []Fault{Delay, Silence, OneWay, Hold}[rng.IntN(4)]
	}
	return fault{fmt.Sprintf("cut (%d) %s for %s, with pauses of %s", broken, name, spans, pause), func() {
		for i, span := range spans {
			if i > 0 {
				time.Sleep(pause)
			}
			setAll(proxies, broken)
			time.Sleep(span)
			setAll(proxies, Pass)
		}
	}, true}
}

// pauseGateways pauses gateways until ctx ends, so that requests whose callers have left wait there.
func (s *site) pauseGateways(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 5))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(1000+rng.IntN(3000)) * time.Millisecond)
		s.pause(s.gateways[rng.IntN(len(s.gateways))], minLongPause+time.Duration(rng.Int64N(int64(maxLongPause-minLongPause))))
	}
}

func setAll(proxies []*Proxy, f Fault) {
	for _, p := range proxies {
		p.Set(f)
	}
}
