package runner

import (
	"context"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/daemon"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/intake"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/room"
	"github.com/lavendercourse/lavendercourse/roster"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// Runner is a runner daemon. mu guards the fields below it.
type Runner struct {
	cfg     Config
	ctx     context.Context
	cancel  context.CancelFunc
	done    <-chan struct{}
	log     *event.Log
	dialer  *daemon.GatewayDialer
	metrics *metrics
	guard   *intake.Guard

	mu       sync.Mutex
	table    *room.Table
	roster   *roster.Roster
	gateways map[string]*gatewayLink
	// crashes are the last crashes of the worker, oldest first. A gateway that links up later is sent them, so that a job
	// that is submitted again there has no more starts than its crashes allow.
	crashes []pastCrash
	// runsEnded is set when runs have ended since the last offer of free capacity to a backlogged gateway.
	runsEnded bool
	// workerSilent is set while the worker has not answered for silentAfter.
	workerSilent bool
	// workerUnreachable is set while the worker's address refuses connections, or another worker answers there.
	workerUnreachable bool
	// workerLosesAnswers is set while the worker leaves a share of the calls unanswered.
	workerLosesAnswers bool
	// answersLost receives a value while the worker leaves a share of the calls unanswered.
	answersLost chan struct{}
	// drainOffset is the offset in the configuration stream up to which it is known whether the failure domain is out of
	// service.
	drainOffset uint64
	// desiredRecord is the record of the worker that the store should hold, and nil if it is not known yet; it is empty
	// if the record is to be removed. recordClock is the reading of the worker's clock in desiredRecord. storedRecord is the record
	// that the store holds. recordChanged receives a value when desiredRecord has changed.
	desiredRecord []byte
	recordClock   clock.Millis
	storedRecord  []byte
	recordChanged chan struct{}
}

// pastCrash is a crash of the worker at the given time in ms.
type pastCrash struct {
	at    clock.Millis
	crash message.Crash
}

// New starts a runner. It runs until Stop or Kill is called.
func New(cfg Config) (*Runner, error) {
	if cfg.Name == "" || cfg.Worker == nil || cfg.Reports == nil || cfg.Register == nil || cfg.Store == nil || cfg.Decode == nil || cfg.Clock == nil {
		return nil, eris.Wrap(ErrStart, "name, worker, reports listener, register function, store, decoder and clock are required")
	}
	if cfg.Counters == nil {
		cfg.Counters = link.NewCounters()
	}
	if cfg.MaxLinks == 0 {
		cfg.MaxLinks = DefaultMaxLinks
	}
	if cfg.Room.Epoch == 0 {
		cfg.Room.Epoch = clock.Millis(time.Now().UnixMilli()) - cfg.Clock.Now()
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		cfg: cfg, ctx: ctx, cancel: cancel,
		log:     event.NewLog(event.LogConfig{Logger: cfg.Logger, Clock: cfg.Clock, Budget: cfg.LogBudget}),
		metrics: newMetrics(telemetry.NewMetrics(cfg.Counters)),
		table:   room.New(cfg.Room), roster: roster.New(roster.Config{Name: cfg.Name, MaxLinks: cfg.MaxLinks, Seeds: cfg.Seeds}),
		gateways: map[string]*gatewayLink{}, recordChanged: make(chan struct{}, 1), answersLost: make(chan struct{}),
	}
	r.dialer = daemon.NewGatewayDialer(daemon.GatewayDialerConfig{
		Mu: &r.mu, Roster: r.roster, Clock: cfg.Clock, Log: r.log,
		Link:  link.Config{Handler: r, Counters: cfg.Counters, ReadTimeout: linkSilenceTimeout.Duration()},
		Hello: message.Hello{Kind: message.KindAgent, Name: cfg.Name, Domain: cfg.Domain},
	})
	r.metrics.registry.Collect(r.collect)
	r.metrics.registry.RegisterDroppedLines(cfg.DroppedLogLines)
	s := daemon.NewSupervisor(cfg.Name, cfg.Logger)
	r.guard = intake.NewGuard(intake.GuardConfig{Limits: cfg.Limits, Clock: cfg.Clock, Log: r.log, Metrics: r.metrics.registry})
	reports := mux.NewRouter()
	cfg.Register(reports, reportSink{r})
	s.Add(daemon.NewHTTPService("reports", daemon.NewServer(reports, 0), r.guard.Listener(intake.Reports, cfg.Reports)))
	if cfg.Metrics != nil {
		m := mux.NewRouter()
		m.Handle(telemetry.MetricsPath, r.metrics.registry)
		s.Add(daemon.NewHTTPService("metrics", daemon.NewProbeServer(m, 0), r.guard.Listener(intake.Metrics, cfg.Metrics)))
	}
	s.Add(daemon.NewService("renew", r.renew))
	s.Add(daemon.NewService("renew more", r.renewMore))
	s.Add(daemon.NewService("lookup", r.lookup))
	s.Add(daemon.NewService("record", r.syncRecord))
	s.Add(daemon.NewService("drain", r.followDrain))
	s.Add(daemon.NewPeriodic("tick", tickPeriod, r.tick))
	s.Add(daemon.NewPeriodic("dial", dialPeriod, func() { r.dialer.DialDue(ctx) }))
	r.done = daemon.Start(ctx, s)
	event.Started.On(cfg.Logger).Str("runner", cfg.Name).Stringer("reports", cfg.Reports.Addr()).Send()
	return r, nil
}

// Stop refuses new runs, waits for the current runs to end and then ends the runner. It stops waiting after
// shutdownTimeout, shortly before the platform kills the process, or when ctx ends, and returns an error if runs are
// left.
func (r *Runner) Stop(ctx context.Context) error {
	event.Stopping.On(r.cfg.Logger).Send()
	began := r.cfg.Clock.Now()
	r.mu.Lock()
	r.table.RefuseNewRuns()
	r.reportToAll(began)
	r.mu.Unlock()
	for r.running() > 0 && ctx.Err() == nil && r.cfg.Clock.Now()-began < shutdownTimeout {
		time.Sleep(tickPeriod.Duration())
	}
	var err error
	if n := r.running(); n > 0 {
		event.StoppedBusy.On(r.cfg.Logger).Int("tasks", n).Send()
		err = eris.New("runner stopped before all runs had ended")
	}
	time.Sleep(flushDelay.Duration())
	r.Kill()
	event.Stopped.On(r.cfg.Logger).Send()
	return err
}

// Kill ends the runner immediately. The worker ends the remaining runs when their lease expires.
func (r *Runner) Kill() {
	r.cancel()
	r.mu.Lock()
	links := make([]*link.Link, 0, len(r.gateways))
	for _, g := range r.gateways {
		links = append(links, g.link)
	}
	r.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
	<-r.done
}

func (r *Runner) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.UnfinishedRuns()
}

// tick applies the time-outs of the run table and sends the messages that are due.
func (r *Runner) tick() {
	now := r.cfg.Clock.Now()
	r.guard.Tick(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(now, r.table.Tick(now))
	r.checkWorkerSilence(now)
	r.checkLostAnswers()
	r.retireSurplusLinks(now)
	for name, g := range r.gateways {
		r.enrollIfReady(name, g)
		// Reports are sent before the enrollment too. A link without them would be closed as silent while the first
		// heartbeat of the worker is awaited.
		if now-g.reportedAt >= reportPeriod {
			r.report(now, g)
		}
	}
	r.offerFreeCapacity(now)
	r.sendMix(now)
}

// lookup reads the list of gateways from the store while there is no link, and none is about to be made.
func (r *Runner) lookup(ctx context.Context) error {
	outageLog := daemon.NewOutageLog(r.log, r.cfg.GatewayStream)
	for delay := firstLookupDelay; ctx.Err() == nil; delay = lookupPeriod {
		daemon.Sleep(ctx, delay)
		r.mu.Lock()
		unlinked := len(r.gateways) == 0 && !r.roster.IsConnecting(r.cfg.Clock.Now())
		r.mu.Unlock()
		if !unlinked {
			continue
		}
		c, err := r.cfg.Store.Contents(ctx, r.cfg.GatewayStream)
		if outageLog.RecordResult(ctx, err) {
			continue
		}
		r.mu.Lock()
		r.roster.Learn(roster.DecodePeers(c))
		r.mu.Unlock()
	}
	return ctx.Err()
}
