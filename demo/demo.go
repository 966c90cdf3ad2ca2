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

// Times of the operator actions, in ms after the first job, and durations in ms. The time between a drain or
// departure and its end is above the 4 s of the promises, so that late starts would show.
const (
	weightChangeAt    = 1500 * clock.Millis(1)
	drainAt           = 3 * clock.Second
	agentStopAt       = 5 * clock.Second
	drainDuration     = 6 * clock.Second
	agentDownDuration = 5500 * clock.Millis(1)
	loadDuration      = 17 * clock.Second

	configPollPeriod = 200 * clock.Millis(1)
	progressPeriod   = 2 * clock.Second
	readyTimeout     = 30 * clock.Second
	stopTimeout      = 60 * clock.Second

	drainedDomain = 1
	leavingWorker = 7
)

// Config holds the settings of a demonstration.
type Config struct {
	// Progress receives one line for each step.
	Progress io.Writer
	// Logger receives the events of the system.
	Logger zerolog.Logger
	// Seed seeds the random choices of the workload.
	Seed uint64
}

// Run carries out the demonstration and returns what callers, operators and workers saw.
func Run(ctx context.Context, cfg Config) (Record, error) {
	s, err := newSystem(cfg.Logger)
	if err != nil {
		return Record{}, eris.Wrapf(ErrDemo, "%v", err)
	}
	d := &demonstration{
		system: s, load: newLoad(s, cfg.Seed), progress: cfg.Progress, http: &http.Client{},
	}
	d.reportf("%d entries, %d workers in %d failure domains are starting", len(s.entries), len(s.backends), len(domains))
	if err := d.waitReady(ctx); err != nil {
		s.kill()
		return Record{}, err
	}
	d.runScenario(ctx)
	finish, cancel := context.WithTimeout(context.Background(), stopTimeout.Duration())
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

// demonstration performs the operator actions of the demo and records what they observe.
type demonstration struct {
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

func (d *demonstration) reportf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.progress, "%5.1f s  %s\n", float64(d.system.now())/1000, fmt.Sprintf(format, args...))
}

func (d *demonstration) operator(entry int) dispatchv1connect.OperatorServiceClient {
	return dispatchv1connect.NewOperatorServiceClient(d.http, "http://"+d.system.callers[entry])
}

// waitReady waits until every entry takes work and has a link to every agent.
func (d *demonstration) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout.Duration())
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

func (d *demonstration) isReady(ctx context.Context, entry int) bool {
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

// runScenario runs the workload and what operators do meanwhile.
func (d *demonstration) runScenario(ctx context.Context) {
	work, endWork := context.WithTimeout(ctx, loadDuration.Duration())
	defer endWork()
	watch, endWatch := context.WithCancel(ctx)
	var watchers, actions sync.WaitGroup
	for i := range d.system.entries {
		watchers.Go(func() { d.watch(watch, i) })
	}
	watchers.Go(func() { d.reportProgress(watch) })
	d.reportf("workload begins: jobs of 1 to 250 tasks of 50 ms to 1 s, and calls")
	actions.Go(func() { d.load.run(work) })
	actions.Go(func() { d.changeWeight(ctx) })
	actions.Go(func() { d.drain(ctx) })
	actions.Go(func() { d.restartAgent(ctx) })
	actions.Wait()
	endWatch()
	watchers.Wait()
	d.reportf("all responses are in")
}

// changeWeight changes the weight of a team, as an ordinary change of the configuration.
func (d *demonstration) changeWeight(ctx context.Context) {
	pause(ctx, weightChangeAt)
	resp, err := d.operator(0).PublishConfig(ctx, connect.NewRequest(&dispatchv1.PublishConfigRequest{
		Key: "team.proofs.weight", Value: "3", Force: true,
	}))
	d.recordChange(resp, err, "weight of team proofs is 3")
}

// drain takes a failure domain out of service and brings it back.
func (d *demonstration) drain(ctx context.Context) {
	name := domains[drainedDomain].name
	pause(ctx, drainAt)
	resp, err := d.operator(0).SetDomain(ctx, connect.NewRequest(&dispatchv1.SetDomainRequest{Domain: name, Drained: true}))
	drain := Drain{Domain: name, Accepted: d.system.now()}
	if !d.recordChange(resp, err, "failure domain "+name+" is drained") {
		return
	}
	pause(ctx, drainDuration)
	drain.Restored = d.system.now()
	resp, err = d.operator(1).SetDomain(ctx, connect.NewRequest(&dispatchv1.SetDomainRequest{Domain: name}))
	d.recordChange(resp, err, "failure domain "+name+" is restored")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drains = append(d.drains, drain)
}

// recordChange records an accepted change and returns whether it was accepted.
func (d *demonstration) recordChange(resp *connect.Response[dispatchv1.PublishConfigResponse], err error, text string) bool {
	now := d.system.now()
	if err != nil || !resp.Msg.GetAccepted() {
		d.fail(eris.Errorf("%s: not accepted: %v %v", text, err, resp))
		return false
	}
	d.reportf("%s in version %d", text, resp.Msg.GetVersion())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, Change{Accepted: now, Version: resp.Msg.GetVersion()})
	return true
}

// restartAgent stops an agent gracefully and starts the next one later.
func (d *demonstration) restartAgent(ctx context.Context) {
	b := d.system.backends[leavingWorker]
	pause(ctx, agentStopAt)
	departure := Departure{Worker: b.name, StopRequested: d.system.now()}
	d.reportf("agent of %s is told to stop", b.name)
	if err := b.agent.Stop(ctx); err != nil {
		departure.Err = err.Error()
	}
	departure.Stopped = d.system.now()
	d.reportf("agent of %s has stopped", b.name)
	pause(ctx, agentDownDuration-(departure.Stopped-departure.StopRequested))
	departure.Restarted = d.system.now()
	if err := d.system.startAgent(b); err != nil {
		d.fail(err)
	}
	d.reportf("agent of %s is started again", b.name)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.departures = append(d.departures, departure)
}

func (d *demonstration) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed = err
}

// watch polls an entry for its configuration every configPollPeriod.
func (d *demonstration) watch(ctx context.Context, entry int) {
	for ctx.Err() == nil {
		requested := d.system.now()
		resp, err := d.operator(entry).GetConfig(ctx, connect.NewRequest(&dispatchv1.GetConfigRequest{}))
		if err == nil {
			v := View{Entry: fmt.Sprintf("e%d", entry+1), Requested: requested, Version: resp.Msg.GetVersion()}
			for _, e := range resp.Msg.GetEntries() {
				v.Content += fmt.Sprintf("%s=%s@%d ", e.GetKey(), e.GetValue(), e.GetVersion())
			}
			d.mu.Lock()
			d.views = append(d.views, v)
			d.mu.Unlock()
		}
		pause(ctx, configPollPeriod)
	}
}

// reportProgress reports the progress of the workload.
func (d *demonstration) reportProgress(ctx context.Context) {
	t := time.NewTicker(progressPeriod.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			sent, answered := d.load.progress()
			d.reportf("%d jobs and calls sent, %d responses, %d starts", sent, answered, len(d.system.journal()))
		}
	}
}

func (d *demonstration) record() Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.load.mu.Lock()
	defer d.load.mu.Unlock()
	return Record{
		Journal: d.system.journal(), Submissions: d.load.submissions, Calls: d.load.calls,
		Drains: d.drains, Departures: d.departures, Changes: d.changes, Views: d.views,
	}
}
