package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/interference"
	"github.com/lavendercourse/lavendercourse/queue"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// NeighboursPath is the HTTP path, on the metrics listener, at which a gateway serves what it knows of tasks that slow each
// other down, as a Neighbours in JSON.
const NeighboursPath = "/neighbours"

// Neighbours is what a gateway knows of tasks that slow each other down.
type Neighbours struct {
	// Enabled tells whether the gateway learns pairs and keeps them apart.
	Enabled bool            `json:"enabled"`
	Pairs   []NeighbourPair `json:"pairs"`
}

// NeighbourPair is the effect of one queue's tasks on those of another one.
type NeighbourPair struct {
	Service   string `json:"service"`
	Victim    string `json:"victim"`
	Neighbour string `json:"neighbour"`
	// Factor is the run time of the victim beside the neighbour relative to that without it. Low and High bound it by two
	// standard errors.
	Factor float64 `json:"factor"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	// Orders is the number of orders that this was learned from; old ones count less.
	Orders int `json:"orders"`
	// Apart tells whether the pair is kept apart, and Since for how long, in ms.
	Apart bool         `json:"apart"`
	Since clock.Millis `json:"since,omitempty"`
}

// queueNames returns the names of the queues in force by their kinds. g.mu must be held.
func (g *Gateway) queueNames() map[interference.Kind]string {
	names := map[interference.Kind]string{}
	for _, q := range g.routes.Queues() {
		names[interference.KindOf(q.Name)] = q.Name
	}
	return names
}

// kindName returns the name of the queue of a kind, or the number of the kind if no such queue is in force.
func kindName(names map[interference.Kind]string, kind interference.Kind) string {
	if name, ok := names[kind]; ok {
		return name
	}
	return fmt.Sprintf("%08x", uint32(kind))
}

// heldPairs returns the pairs that are kept apart. g.mu must be held.
func (g *Gateway) heldPairs() []queue.ServicePair {
	return slices.DeleteFunc(g.scheduler.InterferingPairs(), func(p queue.ServicePair) bool { return !p.Apart() })
}

// logNeighbours logs which pairs have been held to interfere or were dropped since the last call. g.mu must be held.
func (g *Gateway) logNeighbours() {
	evaluations := g.scheduler.NeighbourEvaluations()
	if evaluations == g.neighbourEvaluations {
		return
	}
	g.neighbourEvaluations = evaluations
	before, now := g.neighbours, g.heldPairs()
	g.neighbours = now
	logMissing := func(e event.Event, list, other []queue.ServicePair) {
		for _, p := range list {
			if slices.ContainsFunc(other, func(o queue.ServicePair) bool {
				return o.Service == p.Service && o.Victim == p.Victim && o.Neighbour == p.Neighbour
			}) {
				continue
			}
			names := g.queueNames()
			g.log.On(e).Str("service", p.Service).Str("victim", kindName(names, p.Victim)).Str("neighbour", kindName(names, p.Neighbour)).
				Float64("factor", round(p.Factor)).Float64("low", round(p.Low)).Float64("high", round(p.High)).Int("orders", int(p.Orders)).Send()
		}
	}
	logMissing(event.NeighboursInterfere, now, before)
	logMissing(event.NeighboursHarmless, before, now)
}

// round rounds a factor to two digits after the decimal point.
func round(factor float64) float64 { return math.Round(factor*100) / 100 }

// collectNeighbours samples the gauges of the pairs that are kept apart. g.mu must be held.
func (g *Gateway) collectNeighbours(w *telemetry.Samples) {
	if !g.cfg.Queue.Neighbours {
		return
	}
	names := g.queueNames()
	w.Gauge("neighbour_pairs", len(g.neighbours))
	for _, p := range g.neighbours {
		w.Gauge("neighbour_percent", int(math.Round(p.Factor*100)),
			"service", p.Service, "victim", kindName(names, p.Victim), "neighbour", kindName(names, p.Neighbour))
	}
}

// serveNeighbours answers with the pairs and their figures.
func (g *Gateway) serveNeighbours(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	now, names := g.cfg.Clock.Now(), g.queueNames()
	body := Neighbours{Enabled: g.cfg.Queue.Neighbours, Pairs: []NeighbourPair{}}
	for _, p := range g.scheduler.InterferingPairs() {
		pair := NeighbourPair{
			Service: p.Service, Victim: kindName(names, p.Victim), Neighbour: kindName(names, p.Neighbour),
			Factor: round(p.Factor), Low: round(p.Low), High: round(p.High), Orders: int(p.Orders), Apart: p.Apart(),
		}
		if pair.Apart {
			pair.Since = now - p.HeldSince
		}
		body.Pairs = append(body.Pairs, pair)
	}
	g.mu.Unlock()
	var out bytes.Buffer
	if err := json.NewEncoder(&out).Encode(body); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has left.
	_, _ = w.Write(out.Bytes())
}
