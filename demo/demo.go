// Package demo runs the whole system in one process on loopback: a stand-in platform, 3 entries and 11 workers with
// their agents. It submits a mixed workload, drains and restores a failure domain, restarts an agent, and checks the
// promises of the design page against the journal of the workers.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/lavendercourse/lavendercourse/clock"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/schema/dispatch/v1/dispatchv1connect"
)

// ErrDemo is returned when the demonstration could not be carried out.
var ErrDemo = eris.New("demo could not be carried out")

// The course of the demonstration, in ms after the first job. The time between a drain or departure and its end is
// above the 4 s of the promises, so that late starts would show.
const (
	quotaAt   = 1500 * clock.Millis(1)
	drainAt   = 3 * clock.Second
	departAt  = 5 * clock.Second
	drainSpan = 6 * clock.Second
	awaySpan  = 5500 * clock.Millis(1)
	loadSpan  = 17 * clock.Second

	viewPeriod  = 200 * clock.Millis(1)
	showPeriod  = 2 * clock.Second
	readyLimit  = 30 * clock.Second
	finishLimit = 60 * clock.Second

	drainedDomain = 1
	leavingWorker = 7
)

// Config holds the settings of a demonstration.
type Config struct {
	// Progress receives one line for each step.
	Progress io.Writer
	// Logger receives the events of the system.
	Logger zerolog.Logger
	// Seed makes the workload.
	Seed uint64
}

// Run carries out the demonstration and returns what callers, operators and workers saw.
func Run(ctx context.Context, cfg Config) (Record, error) {
	s, err := newSystem(cfg.Logger)
	if err != nil {
		return Record{}, eris.Wrapf(ErrDemo, "%v", err)
	}
	d := &director{
		system: s, load: newLoad(s, cfg.Seed), progress: cfg.Progress, http: &http.Client{},
	}
	d.say("%d entries, %d workers in %d failure domains are starting", len(s.entries), len(s.backends), len(domains))
	if err := d.ready(ctx); err != nil {
		s.kill()
		return Record{}, err
	}
	d.play(ctx)
	finish, cancel := context.WithTimeout(context.Background(), finishLimit.Duration())
	defer cancel()
	err = s.stop(finish)
	switch {
	case ctx.Err() != nil:
		return d.record(), eris.Wrap(ErrDemo, "interrupted")
	case err != nil:
		return d.record(), eris.Wrapf(ErrDemo, "%v", err)
	case d.failed != nil:
		return d.record(), eris.Wrapf(ErrDemo, "%v", d.failed)
	}
	return d.record(), nil
}

// director plays the operators of the demonstration.
type director struct {
	system   *system
	load     *load
	progress io.Writer
	http     *http.Client

	mu         sync.Mutex
	drains     []Drain
	departures []Departure
	changes    []Change
	views      []View
	failed     error
}

func (d *director) say(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.progress, "%5.1f s  %s\n", float64(d.system.now())/1000, fmt.Sprintf(format, args...))
}

func (d *director) operator(entry int) dispatchv1connect.OperatorServiceClient {
	return dispatchv1connect.NewOperatorServiceClient(d.http, "http://"+d.system.callers[entry])
}

// ready waits until every entry takes work and has a link to every agent.
func (d *director) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit.Duration())
	defer cancel()
	for i := range d.system.entries {
		for !d.isReady(ctx, i) {
			if ctx.Err() != nil {
				return eris.Wrapf(ErrDemo, "entry %d is not ready: %v", i+1, ctx.Err())
			}
			pause(ctx, 50)
		}
	}
	return nil
}

func (d *director) isReady(ctx context.Context, entry int) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.system.callers[entry]+"/health", nil)
	if err != nil {
		return false
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	workers, err := d.operator(entry).ListWorkers(ctx, connect.NewRequest(&dispatchv1.ListWorkersRequest{}))
	return err == nil && len(workers.Msg.GetWorkers()) == len(d.system.backends)
}

// play runs the workload and what operators do meanwhile.
func (d *director) play(ctx context.Context) {
	work, endWork := context.WithTimeout(ctx, loadSpan.Duration())
	defer endWork()
	watch, endWatch := context.WithCancel(ctx)
	var watchers, acts sync.WaitGroup
	for i := range d.system.entries {
		watchers.Go(func() { d.watch(watch, i) })
	}
	watchers.Go(func() { d.show(watch) })
	d.say("workload begins: jobs of 1 to 250 tasks of 50 ms to 1 s, and calls")
	acts.Go(func() { d.load.run(work) })
	acts.Go(func() { d.quota(ctx) })
	acts.Go(func() { d.drain(ctx) })
	acts.Go(func() { d.depart(ctx) })
	acts.Wait()
	endWatch()
	watchers.Wait()
	d.say("all responses are in")
}

// quota changes the weight of a team, as an ordinary change of the configuration.
func (d *director) quota(ctx context.Context) {
	pause(ctx, quotaAt)
	resp, err := d.operator(0).PublishConfig(ctx, connect.NewRequest(&dispatchv1.PublishConfigRequest{
		Key: "team.proofs.weight", Value: "3", Force: true,
	}))
	d.changed(resp, err, "weight of team proofs is 3")
}

// drain takes a failure domain out of service and brings it back.
func (d *director) drain(ctx context.Context) {
	name := domains[drainedDomain].name
	pause(ctx, drainAt)
	resp, err := d.operator(0).SetDomain(ctx, connect.NewRequest(&dispatchv1.SetDomainRequest{Domain: name, Drained: true}))
	drain := Drain{Domain: name, Accepted: d.system.now()}
	if !d.changed(resp, err, "failure domain "+name+" is drained") {
		return
	}
	pause(ctx, drainSpan)
	drain.Restored = d.system.now()
	resp, err = d.operator(1).SetDomain(ctx, connect.NewRequest(&dispatchv1.SetDomainRequest{Domain: name}))
	d.changed(resp, err, "failure domain "+name+" is restored")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drains = append(d.drains, drain)
}

// changed notes an accepted change and returns whether it was accepted.
func (d *director) changed(resp *connect.Response[dispatchv1.PublishConfigResponse], err error, text string) bool {
	now := d.system.now()
	if err != nil || !resp.Msg.GetAccepted() {
		d.fail(eris.Errorf("%s: not accepted: %v %v", text, err, resp))
		return false
	}
	d.say("%s in version %d", text, resp.Msg.GetVersion())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, Change{Accepted: now, Version: resp.Msg.GetVersion()})
	return true
}

// depart stops an agent gracefully and starts the next one later.
func (d *director) depart(ctx context.Context) {
	b := d.system.backends[leavingWorker]
	pause(ctx, departAt)
	away := Departure{Worker: b.name, Told: d.system.now()}
	d.say("agent of %s is told to stop", b.name)
	if err := b.agent.Stop(ctx); err != nil {
		away.Err = err.Error()
	}
	away.Stopped = d.system.now()
	d.say("agent of %s has stopped", b.name)
	pause(ctx, awaySpan-(away.Stopped-away.Told))
	away.Back = d.system.now()
	if err := d.system.startAgent(b); err != nil {
		d.fail(err)
	}
	d.say("agent of %s is started again", b.name)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.departures = append(d.departures, away)
}

func (d *director) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed = err
}

// watch asks an entry again and again for its configuration.
func (d *director) watch(ctx context.Context, entry int) {
	for ctx.Err() == nil {
		asked := d.system.now()
		resp, err := d.operator(entry).GetConfig(ctx, connect.NewRequest(&dispatchv1.GetConfigRequest{}))
		if err == nil {
			v := View{Entry: fmt.Sprintf("e%d", entry+1), Asked: asked, Version: resp.Msg.GetVersion()}
			for _, e := range resp.Msg.GetEntries() {
				v.Content += fmt.Sprintf("%s=%s@%d ", e.GetKey(), e.GetValue(), e.GetVersion())
			}
			d.mu.Lock()
			d.views = append(d.views, v)
			d.mu.Unlock()
		}
		pause(ctx, viewPeriod)
	}
}

// show reports the progress of the workload.
func (d *director) show(ctx context.Context) {
	t := time.NewTicker(showPeriod.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			sent, answered := d.load.progress()
			d.say("%d jobs and calls sent, %d responses, %d starts", sent, answered, len(d.system.journal()))
		}
	}
}

func (d *director) record() Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.load.mu.Lock()
	defer d.load.mu.Unlock()
	return Record{
		Journal: d.system.journal(), Submissions: d.load.submissions, Calls: d.load.calls,
		Drains: d.drains, Departures: d.departures, Changes: d.changes, Views: d.views,
	}
}
