package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/daemon"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/intake"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/queue"
	"github.com/lavendercourse/lavendercourse/roster"
	"github.com/lavendercourse/lavendercourse/route"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// Gateway is a running gateway.
type Gateway struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	// done is closed when all services of the gateway have ended.
	done         <-chan struct{}
	log          *event.Log
	dialer       *daemon.GatewayDialer
	metrics      *gatewayMetrics
	guard        *intake.Guard
	callerServer *http.Server
	// cancelAdded has room for one value, which tells that a cancel waits for an append. cancelsAwaited is closed, once, when the cancels
	// in the store have been read or that has taken too long. No configuration is used before.
	cancelAdded    chan struct{}
	cancelsAwaited chan struct{}
	cancelsOnce    sync.Once

	// mu guards the fields below.
	mu             sync.Mutex
	scheduler      *queue.Scheduler
	routes         *route.Table
	roster         *roster.Roster
	runners        map[string]*runnerLink
	peers          map[string]*peerLink
	pendingAnswers map[*queue.Job]*pendingAnswer
	// cancelLog holds the cancels that are not recorded in the store, and pendingCancels those whose callers wait for that, by key.
	cancelLog      *queue.CancelLog
	pendingCancels map[string]*pendingCancel
	// storeAnswers tells whether the last read of the configuration stream was answered.
	storeAnswers bool
	// aheadSince is when a digest first announced records that this gateway has not read, or 0 if none has since the
	// last pull. aheadPeer is the name of the gateway that sent the newest such digest.
	aheadSince clock.Millis
	aheadPeer  string
	// contained holds the contained queues as last logged.
	contained []message.Verdict
	// neighbours holds the pairs that are held to interfere, as last logged.
	neighbours []queue.ServicePair
	// neighbourEvaluations is the number of evaluations that neighbours reflects.
	neighbourEvaluations int
	stopping             bool
	ready                bool
}

// pendingAnswer holds the answer to the callers of a job. done is closed when value is set.
type pendingAnswer struct {
	done  chan struct{}
	value lavendercourse.JobAnswer
}

// New starts a gateway. It runs until Stop or Kill is called.
func New(cfg Config) (*Gateway, error) {
	if cfg.Name == "" || cfg.Callers == nil || cfg.Ready == nil || cfg.Links == nil || cfg.Store == nil || cfg.Clock == nil ||
		cfg.Decode == nil || cfg.Serve == nil || cfg.CancelStream == "" {
		return nil, eris.Wrap(ErrStart, "name, listeners, store, stream of cancels, clock, decoder and handler are needed")
	}
	if cfg.Counters == nil {
		cfg.Counters = link.NewCounters()
	}
	cfg.Queue.Name, cfg.Queue.Domain = cfg.Name, cfg.Domain
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		cfg: cfg, ctx: ctx, cancel: cancel,
		log:       event.NewLog(event.LogConfig{Logger: cfg.Logger, Clock: cfg.Clock, Budget: cfg.LogBudget}),
		metrics:   newGatewayMetrics(telemetry.NewMetrics(cfg.Counters)),
		scheduler: queue.New(cfg.Queue), routes: route.New(cfg.Decode),
		roster:  roster.New(roster.Config{Name: cfg.Name, Address: cfg.Advertise, Seeds: cfg.Seeds}),
		runners: map[string]*runnerLink{}, peers: map[string]*peerLink{}, pendingAnswers: map[*queue.Job]*pendingAnswer{},
		cancelLog: queue.NewCancelLog(), pendingCancels: map[string]*pendingCancel{}, cancelAdded: make(chan struct{}, 1),
		cancelsAwaited: make(chan struct{}),
	}
	g.dialer = daemon.NewGatewayDialer(daemon.GatewayDialerConfig{
		Mu: &g.mu, Roster: g.roster, Clock: cfg.Clock, Log: g.log, Link: g.linkConfig(peerLinkTimeout),
		Hello: message.Hello{Kind: message.KindEntry, Name: cfg.Name, Address: cfg.Advertise, Domain: cfg.Domain},
	})
	// Requests may have waited for this process while it had no contact.
	g.scheduler.RecordContact(cfg.Clock.Now(), "")
	g.metrics.registry.Collect(g.collect)
	g.metrics.registry.RegisterDroppedLines(cfg.DroppedLogLines)
	g.guard = intake.NewGuard(intake.GuardConfig{Limits: cfg.Limits, Headers: cfg.Headers, Clock: cfg.Clock, Log: g.log, Metrics: g.metrics.registry})
	g.cfg.Callers = daemon.NewDrainListener(cfg.Callers, func(c net.Conn) net.Conn { return g.guard.Admit(intake.Callers, c) })
	tree := daemon.NewSupervisor(cfg.Name, cfg.Logger)
	g.callerServer = g.newServer(g.closeWhenStopping(cfg.Serve(jobService{g})))
	g.callerServer.ConnContext = g.withCallerConn
	tree.Add(daemon.NewHTTPService("callers", g.callerServer, g.cfg.Callers))
	tree.Add(daemon.NewHTTPService("ready", daemon.NewProbeServer(g.readyHandler(), idleTimeout), g.guard.Listener(intake.Ready, cfg.Ready)))
	tree.Add(daemon.NewHTTPService("links", g.newServer(g.linkHandler()), g.guard.Listener(intake.Links, cfg.Links)))
	if cfg.Metrics != nil {
		tree.Add(daemon.NewHTTPService("metrics", daemon.NewProbeServer(g.metricsHandler(), idleTimeout), g.guard.Listener(intake.Metrics, cfg.Metrics)))
	}
	tree.Add(daemon.NewService("follow", g.followConfig))
	tree.Add(daemon.NewService("cancels", g.followCancels))
	tree.Add(daemon.NewService("record", g.recordCancels))
	tree.Add(daemon.NewService("announce", g.announce))
	tree.Add(daemon.NewPeriodic("tick", tickPeriod, g.tick))
	tree.Add(daemon.NewPeriodic("dial", dialPeriod, func() { g.dialer.DialDue(ctx) }))
	tree.Add(daemon.NewPeriodic("digest", digestPeriod, g.syncPeers))
	g.done = daemon.Start(ctx, tree)
	time.AfterFunc(maxCancelLoad.Duration(), g.giveUpCancels)
	event.Started.On(cfg.Logger).Str("gateway", cfg.Name).Stringer("callers", cfg.Callers.Addr()).Stringer("links", cfg.Links.Addr()).Send()
	return g, nil
}

// Stop reports the gateway as not ready, waits for the accepted jobs to end, and ends the gateway. Jobs that are left
// after stopTimeout, shortly before the platform kills the process, or when ctx ends are interrupted, and Stop
// returns an error.
func (g *Gateway) Stop(ctx context.Context) error {
	event.Stopping.On(g.cfg.Logger).Send()
	start := g.cfg.Clock.Now()
	g.mu.Lock()
	g.stopping = true
	g.updateReady()
	g.mu.Unlock()
	daemon.Sleep(ctx, shutdownDelay)
	g.mu.Lock()
	g.scheduler.Stop(start + stopTimeout)
	g.mu.Unlock()
	for g.activeJobs() > 0 && ctx.Err() == nil && g.cfg.Clock.Now()-start < stopTimeout {
		daemon.Sleep(ctx, tickPeriod)
	}
	var err error
	if n := g.activeJobs(); n > 0 {
		event.StoppedBusy.On(g.cfg.Logger).Int("jobs", n).Send()
		err = eris.New("jobs had not ended")
	}
	g.mu.Lock()
	g.scheduler.Stop(0)
	g.perform(g.scheduler.Interrupt(g.cfg.Clock.Now()))
	g.mu.Unlock()
	flushCtx, cancel := context.WithTimeout(context.Background(), answerTimeout.Duration())
	defer cancel()
	// Kill closes the connections that are still active.
	_ = daemon.ShutdownServer(flushCtx, g.callerServer, g.cfg.Callers)
	g.Kill()
	event.Stopped.On(g.cfg.Logger).Send()
	return err
}

// Kill ends the gateway without waiting for its jobs.
func (g *Gateway) Kill() {
	g.cancel()
	g.mu.Lock()
	links := make([]*link.Link, 0, len(g.runners)+len(g.peers))
	for _, r := range g.runners {
		links = append(links, r.link)
	}
	for _, p := range g.peers {
		links = append(links, p.link)
	}
	g.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
	<-g.done
}

// activeJobs returns the number of jobs that have not ended.
func (g *Gateway) activeJobs() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.Jobs()
}

// closeWhenStopping makes the server close callers' connections after the response while the gateway stops, so that
// the next requests reach other gateways.
func (g *Gateway) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		stopping := g.stopping
		g.mu.Unlock()
		if stopping {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// readyHandler returns the handler of the load balancer's health checks, which answers 503 while not ready.
func (g *Gateway) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		g.mu.Lock()
		ready := g.ready
		g.mu.Unlock()
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (g *Gateway) metricsHandler() http.Handler {
	r := mux.NewRouter()
	r.Handle(telemetry.MetricsPath, g.metrics.registry)
	r.HandleFunc(NeighboursPath, g.serveNeighbours)
	return r
}

func (g *Gateway) linkHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(link.Path, g.acceptLink)
	return r
}

func (g *Gateway) newServer(handler http.Handler) *http.Server {
	return daemon.NewServer(handler, idleTimeout)
}

// tick expires the runs of silent runners, refuses jobs that cannot end in time, and dispatches waiting tasks.
func (g *Gateway) tick() {
	now := g.cfg.Clock.Now()
	g.guard.Tick(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.perform(g.scheduler.Tick(now))
	g.logContainedQueues()
	g.logNeighbours()
	g.updateReady()
}

// updateReady sets and logs whether the load balancer may send callers to this gateway. g.mu must be held.
func (g *Gateway) updateReady() {
	ready := !g.stopping && g.routes.HasConfig() && g.scheduler.LinkedRunners() > 0
	if ready != g.ready {
		g.ready = ready
		g.log.On(event.ReadyChanged).Bool("ready", ready).Int64("version", g.routes.Version()).Int("runners", g.scheduler.LinkedRunners()).Send()
	}
}
