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

// OwnersConfig describes a set of entries that start tasks on one agent.
type OwnersConfig struct {
	Count int
	// Rate is the number of starts a second of all entries together.
	Rate float64
	// Run is the run time in ms of a task of the kind sleep.
	Run      clock.Millis
	Counters *link.Counters
}

// Owners is a set of entries that an agent can dial. The first one is preferred by the agent.
type Owners struct {
	cfg    OwnersConfig
	server []*http.Server
	peers  []message.Peer
	done   chan struct{}
	ended  atomic.Uint64
}

// owner is one entry.
type owner struct {
	set  *Owners
	name string
	id   lavendercourse.Incarnation
	home bool
	// stamp is the newest one of the agent.
	stamp    atomic.Int64
	agent    atomic.Value
	sequence uint64
}

// NewOwners listens for the agent.
func NewOwners(cfg OwnersConfig) (*Owners, error) {
	s := &Owners{cfg: cfg, done: make(chan struct{})}
	var listeners []net.Listener
	for i := range cfg.Count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrapf(ErrPeers, "entry %d: %v", i, err)
		}
		listeners = append(listeners, l)
		s.peers = append(s.peers, message.Peer{Name: fmt.Sprintf("entry-%d", i), Address: l.Addr().String()})
	}
	for i, l := range listeners {
		o := &owner{set: s, name: s.peers[i].Name, id: lavendercourse.NewIncarnation(), home: i == 0}
		server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = link.Accept(w, r, link.Config{Handler: o, Counters: cfg.Counters})
		})}
		s.server = append(s.server, server)
		go func() { _ = server.Serve(l) }()
	}
	return s, nil
}

// Addresses returns where the entries listen.
func (s *Owners) Addresses() []string {
	addresses := make([]string, len(s.peers))
	for i, p := range s.peers {
		addresses[i] = p.Address
	}
	return addresses
}

// Ended returns the number of tasks that ended well.
func (s *Owners) Ended() uint64 { return s.ended.Load() }

// Close ends all entries.
func (s *Owners) Close() {
	close(s.done)
	for _, server := range s.server {
		_ = server.Close()
	}
}

// HandleFrame answers the agent as an entry does.
func (o *owner) HandleFrame(l *link.Link, f message.Frame) error {
	var load message.Load
	switch f.Type {
	case message.TypeHello:
		var h message.Hello
		if err := f.DecodeBody(&h); err != nil {
			return err
		}
		o.agent.Store(h.Incarnation)
		if o.set.cfg.Rate > 0 {
			go o.start(l)
		}
		return l.Send(message.TypeWelcome, 0, message.Welcome{Name: o.name, Incarnation: string(o.id), Peers: o.set.peers})
	case message.TypeHeartbeat, message.TypeOffer:
		if err := f.DecodeBody(&load); err != nil {
			return err
		}
		o.stamp.Store(int64(load.Stamp))
		if f.Type == message.TypeHeartbeat {
			return l.Send(message.TypeRenew, f.Number, message.Renew{Home: o.home})
		}
	case message.TypeDone:
		var d message.Done
		if err := f.DecodeBody(&d); err != nil {
			return err
		}
		o.stamp.Store(int64(d.Load.Stamp))
		if d.Status == message.StatusDone {
			o.set.ended.Add(1)
		}
	}
	return nil
}

// Closed does nothing: the measured process sees it.
func (o *owner) Closed(*link.Link) {}

// start proposes tasks at this entry's part of the rate.
func (o *owner) start(l *link.Link) {
	t := time.NewTicker(time.Duration(float64(o.set.cfg.Count) / o.set.cfg.Rate * float64(time.Second)))
	defer t.Stop()
	for {
		select {
		case <-o.set.done:
			return
		case <-l.Done():
			return
		case <-t.C:
		}
		stamp := clock.Millis(o.stamp.Load())
		if stamp == 0 {
			continue
		}
		o.sequence++
		id := lavendercourse.NewJobID(o.id, o.sequence, "tag")
		// A link that cannot take the frame closes itself.
		_ = l.Send(message.TypeStart, 0, message.Start{
			Job: id.String(), Attempt: 1, Kind: "sleep", Class: uint8(lavendercourse.ClassBatch), Wait: true,
			Payload: fmt.Append(nil, int64(o.set.cfg.Run)), Stamp: stamp, Agent: o.agent.Load().(string),
		})
	}
}
