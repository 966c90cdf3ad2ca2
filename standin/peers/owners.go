package peers

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
)

// OwnersConfig describes a set of stand-in entries that start tasks on one agent.
type OwnersConfig struct {
	// Count is the number of entries.
	Count int
	// StartRate is the number of starts per second of all entries together. If it is 0, no tasks are started.
	StartRate float64
	// RunTime is the run time of each task in ms.
	RunTime clock.Millis
	// Counters counts the frames of all links together.
	Counters *link.Counters
}

// Owners is a set of stand-in entries that the measured agent can dial. Each one owns the tasks that it starts there.
// The first one is the home of the agent.
type Owners struct {
	cfg       OwnersConfig
	servers   []*http.Server
	peers     []message.Peer
	done      chan struct{}
	completed atomic.Uint64
}

// owner is one stand-in entry.
type owner struct {
	owners      *Owners
	name        string
	incarnation lavendercourse.Incarnation
	// home is set if this entry is the home of the agent.
	home bool
	// agentStamp is the newest stamp of the agent in ms, by the agent's clock. It is 0 until one was received.
	agentStamp atomic.Int64
	// agentIncarnation is the incarnation of the agent as a string.
	agentIncarnation atomic.Value
	// sequence is the sequence number of the last job ID.
	sequence uint64
}

// NewOwners starts the entries on free loopback ports. They accept links until Close is called.
func NewOwners(cfg OwnersConfig) (*Owners, error) {
	s := &Owners{cfg: cfg, done: make(chan struct{})}
	var listeners []net.Listener
	for i := range cfg.Count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrapf(ErrStart, "entry %d: %v", i, err)
		}
		listeners = append(listeners, l)
		s.peers = append(s.peers, message.Peer{Name: fmt.Sprintf("entry-%d", i), Address: l.Addr().String()})
	}
	for i, l := range listeners {
		o := &owner{owners: s, name: s.peers[i].Name, incarnation: lavendercourse.NewIncarnation(), home: i == 0}
		server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = link.Accept(w, r, link.Config{Handler: o, Counters: cfg.Counters})
		})}
		s.servers = append(s.servers, server)
		go func() { _ = server.Serve(l) }()
	}
	return s, nil
}

// Addresses returns the addresses, host:port, where the entries accept links.
func (s *Owners) Addresses() []string {
	addresses := make([]string, len(s.peers))
	for i, p := range s.peers {
		addresses[i] = p.Address
	}
	return addresses
}

// Completed returns the number of tasks that succeeded.
func (s *Owners) Completed() uint64 { return s.completed.Load() }

// Close closes the listeners and stops the starts. Links that are open already stay open.
func (s *Owners) Close() {
	close(s.done)
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// HandleFrame implements link.Handler. It answers a hello and heartbeats as an entry does, and counts the tasks that
// succeeded.
func (o *owner) HandleFrame(l *link.Link, f message.Frame) error {
	var load message.Load
	switch f.Type {
	case message.TypeHello:
		var h message.Hello
		if err := f.DecodeBody(&h); err != nil {
			return err
		}
		o.agentIncarnation.Store(h.Incarnation)
		if o.owners.cfg.StartRate > 0 {
			go o.startTasks(l)
		}
		return l.Send(message.TypeWelcome, 0, message.Welcome{Name: o.name, Incarnation: string(o.incarnation), Peers: o.owners.peers})
	case message.TypeHeartbeat, message.TypeOffer:
		if err := f.DecodeBody(&load); err != nil {
			return err
		}
		o.agentStamp.Store(int64(load.Stamp))
		if f.Type == message.TypeHeartbeat {
			return l.Send(message.TypeRenew, f.Number, message.Renew{Home: o.home})
		}
	case message.TypeDone:
		var d message.Done
		if err := f.DecodeBody(&d); err != nil {
			return err
		}
		o.agentStamp.Store(int64(d.Load.Stamp))
		if d.Status == message.StatusDone {
			o.owners.completed.Add(1)
		}
	}
	return nil
}

// Closed implements link.Handler. It does nothing, since the measured process detects a broken link itself.
func (o *owner) Closed(*link.Link) {}

// startTasks sends starts at this entry's share of the start rate until the link or the entry is closed.
func (o *owner) startTasks(l *link.Link) {
	t := time.NewTicker(time.Duration(float64(o.owners.cfg.Count) / o.owners.cfg.StartRate * float64(time.Second)))
	defer t.Stop()
	for {
		select {
		case <-o.owners.done:
			return
		case <-l.Done():
			return
		case <-t.C:
		}
		stamp := clock.Millis(o.agentStamp.Load())
		if stamp == 0 {
			continue
		}
		o.sequence++
		id := lavendercourse.NewJobID(o.incarnation, o.sequence, "tag")
		// The error is ignored: a link closes itself if its send queue is full.
		_ = l.Send(message.TypeStart, 0, message.Start{
			Job: id.String(), Attempt: 1, Kind: "sleep", Class: uint8(lavendercourse.ClassBatch), Wait: true,
			Payload: fmt.Append(nil, int64(o.owners.cfg.RunTime)), Stamp: stamp, Agent: o.agentIncarnation.Load().(string),
		})
	}
}
