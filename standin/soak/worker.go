package soak

import (
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/lavendercourse/lavendercourse/standin/fleet"
)

// errRunning is returned when the worker of a site is to be started, but has not ended.
var errRunning = errors.New("the worker is running")

// workerProcess is one process of a stand-in worker. Its address may refuse connections while it serves the open ones.
type workerProcess struct {
	id     string
	worker *fleet.Worker
	server *http.Server

	mu       sync.Mutex
	listener net.Listener
	open     map[net.Conn]bool
	// leaving is set while a fault closes the listener of the process or is about to end it.
	leaving bool
}

func newWorkerProcess(cfg fleet.WorkerConfig, l *fleet.Ledger) *workerProcess {
	p := &workerProcess{id: cfg.ID, worker: fleet.NewWorker(cfg, l), open: map[net.Conn]bool{}}
	p.server = &http.Server{Handler: p.worker.Handler(), ConnState: p.track}
	return p
}

// track records the open connections.
func (p *workerProcess) track(conn net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateNew:
		p.open[conn] = true
	case http.StateClosed:
		delete(p.open, conn)
	}
}

func (p *workerProcess) listen(l net.Listener) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = l
	go func() { _ = p.server.Serve(resettingListener{l}) }()
}

// refuse closes the listener, and keeps the open connections.
func (p *workerProcess) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// listens reports whether the process accepts connections.
func (p *workerProcess) listens() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener != nil
}

// reset breaks the open connections.
func (p *workerProcess) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		_ = conn.Close()
	}
}

// leave reports whether no other fault closes the listener or is about to end the process; from now on, the caller does.
func (p *workerProcess) leave() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.leaving
	p.leaving = true
	return first
}

// stay ends the effect of leave for a process that goes on.
func (p *workerProcess) stay() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = false
}

// endInOrder ends the process with its connections closed instead of reset.
func (p *workerProcess) endInOrder() {
	p.mu.Lock()
	for conn := range p.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// The error is ignored: the connection is closed already.
			_ = tcp.SetLinger(-1)
		}
	}
	p.mu.Unlock()
	p.end()
}

// end ends the process: its runs, then its connections.
func (p *workerProcess) end() {
	p.worker.Close()
	_ = p.server.Close()
}

// workerSite is a stand-in worker that keeps its address across restarts.
type workerSite struct {
	cfg     fleet.WorkerConfig
	address string
	// proxy forwards the calls of the runner. It is nil in soaks without cuts.
	proxy *Proxy

	mu sync.Mutex
	// process is the one that has the address, or had it last. ended is set once it was stopped.
	process *workerProcess
	ended   bool
}

// start starts a process under the id of the last one.
func (w *workerSite) start(l *fleet.Ledger) error {
	w.mu.Lock()
	id := w.cfg.ID
	if w.process != nil {
		id = w.process.id
	}
	w.mu.Unlock()
	return w.startAs(id, 0, l)
}

// startAs starts a process under an id, with the given time of birth or, if it is 0, the present one.
func (w *workerSite) startAs(id string, born int64, l *fleet.Ledger) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.process != nil && !w.ended {
		return errRunning
	}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	if w.process == nil {
		w.address = listener.Addr().String()
	}
	return w.serve(newWorkerProcess(w.config(id, born), l), listener)
}

// config returns the settings of a process.
func (w *workerSite) config(id string, born int64) fleet.WorkerConfig {
	cfg := w.cfg
	cfg.ID, cfg.Born = id, born
	return cfg
}

// serve makes a process that of the site. The caller holds w.mu.
func (w *workerSite) serve(p *workerProcess, listener net.Listener) error {
	w.process, w.ended = p, false
	p.listen(listener)
	if w.proxy != nil {
		return w.proxy.listen()
	}
	return nil
}

// callAddress returns the address at which the runner calls the worker.
func (w *workerSite) callAddress() string {
	if w.proxy != nil {
		return w.proxy.Address()
	}
	return w.address
}

// present returns the process, or nil if it has ended.
func (w *workerSite) present() *workerProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return nil
	}
	return w.process
}

// endProcess ends the runs but leaves the address open, where nothing is answered any more, so that the end is not seen.
func (w *workerSite) endProcess() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.process.worker.Close()
}

// stop crashes the worker.
func (w *workerSite) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	// Connections are refused before the runs end: a refusal must not be taken for their end.
	w.process.refuse()
	if w.proxy != nil {
		w.proxy.Refuse()
	}
	w.process.end()
	w.ended = true
}

// refuse closes the address of a process that goes on.
func (w *workerSite) refuse(p *workerProcess) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.process != p || w.ended {
		return
	}
	p.refuse()
	if w.proxy != nil {
		w.proxy.stopListening()
	}
}

// accept opens the address of a process again unless it has ended, was replaced, or has the address.
func (w *workerSite) accept(p *workerProcess) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.process != p || w.ended || p.listens() {
		return nil
	}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	return w.serve(p, listener)
}

// end ends a process that has closed its listener. The address is free for another one then.
func (w *workerSite) end(p *workerProcess) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p.endInOrder()
	if w.process == p {
		w.ended = true
	}
}

// hand hands the address of a process that refuses connections over to the next one. It reports false if another one has taken
// its place.
func (w *workerSite) hand(p, next *workerProcess) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.process != p || p.listens() {
		return false, nil
	}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return false, err
	}
	return true, w.serve(next, listener)
}

func (w *workerSite) resize(cpu int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.process.worker.SetCPU(cpu)
}

func (w *workerSite) set(f fleet.WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.process.worker.SetFaults(f)
}

// resettingListener accepts connections that are reset when they are closed, as those of a process that crashes.
type resettingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l resettingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		// The error is ignored: the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	return conn, err
}
