package entry

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/daemon"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/intake"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/schema/dispatch/v1/dispatchv1connect"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

const (
	drainPollInterval = 20 * time.Millisecond
	// maxStreams is the number of concurrent requests allowed on one connection of a caller.
	maxStreams = 10_000
)

// Entry is a running entry daemon.
type Entry struct {
	core        *core
	linkHandler *linkHandler
	follower    *logFollower
	callers     *http.Server
	links       *http.Server
	cancel      context.CancelFunc
	done        <-chan struct{}
	// dialFailing holds the addresses whose last dial failed, so that a series of failures is logged once.
	dialFailing map[string]bool
	// dialed holds the last link dialed to each address.
	dialed map[string]*link.Link
}

// New starts an entry, which runs until Stop or Kill is called.
func New(cfg Config) (*Entry, error) {
	if cfg.Name == "" || cfg.CallerListener == nil || cfg.LinkListener == nil || cfg.Log == nil || cfg.Clock == nil || cfg.Policy == nil {
		return nil, eris.Wrap(ErrStart, "name, listeners, log, clock and policy are needed")
	}
	if cfg.Counters == nil {
		cfg.Counters = link.NewCounters()
	}
	if cfg.Dialer == nil {
		cfg.Dialer = link.NewDialer(nil)
	}
	if cfg.Retention == 0 {
		cfg.Retention = 60 * clock.Minute
	}
	cfg.CallerListener = daemon.NewDrainListener(cfg.CallerListener, nil)
	ctx, cancel := context.WithCancel(context.Background())
	c := newCore(cfg)
	x := newPeerExchange(ctx, c)
	d := newDispatchService(c, x)
	x.forwardHandler = d
	e := &Entry{
		core: c, linkHandler: &linkHandler{core: c, exchange: x}, follower: newLogFollower(c), cancel: cancel,
		dialFailing: map[string]bool{}, dialed: map[string]*link.Link{},
	}
	e.callers = &http.Server{
		Handler: e.callerRoutes(d), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: intake.MaxHead, Protocols: callerProtocols(),
		// Each submitted job or call occupies a stream until it ends.
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
	e.links = &http.Server{Handler: e.linkRoutes(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: intake.MaxHead}
	e.done = daemon.Start(ctx, e.supervisor(x))
	event.Started.On(c.logger).Str("entry", cfg.Name).Str("callers", cfg.CallerListener.Addr().String()).
		Str("links", cfg.LinkListener.Addr().String()).Send()
	return e, nil
}

// Counters returns the message counters of the entry's links.
func (e *Entry) Counters() *link.Counters { return e.core.cfg.Counters }

// Stop refuses new work, waits for all jobs to end, removes the entry from the entries list and shuts it down. If ctx
// ends while jobs are still running, it kills the entry and returns an error.
func (e *Entry) Stop(ctx context.Context) error {
	event.Stopping.On(e.core.logger).Send()
	e.core.mu.Lock()
	e.core.stopping = true
	e.core.mu.Unlock()
	for e.liveJobs() > 0 {
		select {
		case <-ctx.Done():
			event.StoppedBusy.On(e.core.logger).Int("jobs", e.liveJobs()).Send()
			e.Kill()
			return eris.Wrap(ctx.Err(), "jobs were still running")
		case <-time.After(drainPollInterval):
		}
	}
	e.follower.withdraw(ctx)
	err := daemon.ShutdownServer(ctx, e.callers, e.core.cfg.CallerListener)
	// Requests that other entries forwarded before they received the leave must arrive and be answered first.
	e.linkHandler.exchange.announceLeave(ctx)
	e.flushLinks(ctx)
	// Once the second leave is answered, the other entries have received all replies.
	e.linkHandler.exchange.announceLeave(ctx)
	e.Kill()
	event.Stopped.On(e.core.logger).Send()
	return err
}

// flushLinks waits until all forwarded requests are answered and all queued frames are written.
func (e *Entry) flushLinks(ctx context.Context) {
	e.linkHandler.exchange.forwards.Wait()
	e.core.mu.Lock()
	var links []*link.Link
	for _, l := range e.core.peers {
		links = append(links, l)
	}
	for _, a := range e.core.agents {
		if a.link != nil {
			links = append(links, a.link)
		}
	}
	e.core.mu.Unlock()
	for _, l := range links {
		l.Flush(ctx)
	}
}

// Kill shuts the entry down without waiting for its jobs. It may be called more than once.
func (e *Entry) Kill() {
	e.cancel()
	_ = e.callers.Close()
	_ = e.links.Close()
	e.core.mu.Lock()
	for _, a := range e.core.agents {
		if a.link != nil {
			a.link.Close()
		}
	}
	for _, l := range e.core.peers {
		l.Close()
	}
	e.core.mu.Unlock()
	<-e.done
}

func (e *Entry) liveJobs() int {
	e.core.mu.Lock()
	defer e.core.mu.Unlock()
	return e.core.jobs.LiveCount()
}

func (e *Entry) callerRoutes(d *dispatchService) http.Handler {
	r := mux.NewRouter()
	options := []connect.HandlerOption{
		connect.WithInterceptors(e.core.cfg.Tracer.Interceptor()), connect.WithReadMaxBytes(message.MaxSize),
	}
	path, handler := dispatchv1connect.NewDispatchServiceHandler(d, options...)
	r.PathPrefix(path).Handler(handler)
	path, handler = dispatchv1connect.NewOperatorServiceHandler(&operatorService{core: e.core, follower: e.follower}, options...)
	r.PathPrefix(path).Handler(handler)
	r.HandleFunc("/health", e.handleHealth)
	r.Handle(telemetry.MetricsPath, e.core.metrics.registry)
	return r
}

func (e *Entry) linkRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(link.Path, e.linkHandler.serveLink)
	return r
}

// handleHealth responds with status 503 while the entry accepts no new work, so that load balancers skip it.
func (e *Entry) handleHealth(w http.ResponseWriter, _ *http.Request) {
	e.core.mu.Lock()
	ready := !e.core.stopping && !e.core.startsSuspended && e.core.holdsLease(e.core.clock.Now())
	e.core.mu.Unlock()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// supervisor returns the supervisor tree of the entry's services.
func (e *Entry) supervisor(x *peerExchange) *suture.Supervisor {
	s := daemon.NewSupervisor(e.core.cfg.Name, e.core.logger)
	s.Add(daemon.NewHTTPService("callers", e.callers, e.core.cfg.CallerListener))
	s.Add(daemon.NewHTTPService("links", e.links, e.core.cfg.LinkListener))
	s.Add(daemon.NewService("log", e.follower.run))
	s.Add(daemon.NewPeriodic("tick", tickPeriod, e.core.tick))
	s.Add(daemon.NewPeriodic("pulse", pulsePeriod, x.sendPulses))
	s.Add(daemon.NewPeriodic("peers", pulsePeriod, func() { e.dialPeers(context.Background()) }))
	return s
}

// dialPeers dials the entries to which there is no link. Of two entries, the one with the lower name dials.
func (e *Entry) dialPeers(ctx context.Context) {
	c := e.core
	c.mu.Lock()
	missing := map[string]string{}
	for _, a := range c.members.Entries() {
		if a.Name > c.cfg.Name && c.peers[a.Name] == nil && a.Address != "" {
			missing[a.Name] = a.Address
		}
	}
	if len(c.entryNames) <= 1 && len(c.peers) == 0 {
		for _, seed := range c.cfg.SeedAddresses {
			if seed != c.cfg.Advertise {
				missing[seed] = seed
			}
		}
	}
	hello := message.Hello{
		Kind: message.KindEntry, Name: c.cfg.Name, Incarnation: string(c.jobs.Incarnation()),
		Address: c.cfg.Advertise, Region: c.cfg.Region, Domain: c.cfg.Domain,
	}
	c.mu.Unlock()
	for _, address := range missing {
		if e.awaitsWelcome(address) {
			continue
		}
		l, err := c.cfg.Dialer.Dial(ctx, address, link.Config{Handler: e.linkHandler, Counters: c.cfg.Counters})
		if err != nil {
			if !e.dialFailing[address] && ctx.Err() == nil {
				event.DialFailed.On(c.logger).Str("address", address).Err(err).Send()
			}
			e.dialFailing[address] = true
			continue
		}
		delete(e.dialFailing, address)
		e.dialed[address] = l
		if l.Send(message.TypeHello, 0, hello) != nil {
			l.Close()
		}
	}
}

// awaitsWelcome reports whether a link to the address is open on which the other entry has not answered the hello yet. A
// second link would not get the answer any sooner, and the two entries could then use different links.
func (e *Entry) awaitsWelcome(address string) bool {
	l := e.dialed[address]
	if l == nil {
		return false
	}
	select {
	case <-l.Done():
		delete(e.dialed, address)
		return false
	default:
		return l.Tag() == nil
	}
}

// callerProtocols enables HTTP/1.1 and, for gRPC, HTTP/2 without TLS.
func callerProtocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}
