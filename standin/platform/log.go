// Package platform provides a stand-in for the platform's log service in tests, benchmarks and the demo.
package platform

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/lavendercourse/lavendercourse/clock"
	platformv1 "github.com/lavendercourse/lavendercourse/schema/platform/v1"
	"github.com/lavendercourse/lavendercourse/schema/platform/v1/platformv1connect"
)

// Config holds the settings of the stand-in. Zero values select the defaults.
type Config struct {
	// Rate is the maximum number of appends accepted per second. 0 means 400.
	Rate int
	// Retention is the time in ms for which records are kept. 0 means one hour.
	Retention clock.Millis
	// Sync is the duration of an append in ms. 0 means 3 ms.
	Sync clock.Millis
}

// Faults selects the faults that the stand-in injects. They can be changed while it runs.
type Faults struct {
	// Down rejects every request.
	Down bool `json:"down"`
	// Slow is the delay added to every request, in ms.
	Slow int `json:"slow"`
	// Lose is the percentage of appends that are answered with an error although the record was appended.
	Lose int `json:"lose"`
}

type stream struct {
	// first is the offset of the oldest record kept.
	first   uint64
	records []*platformv1.Record
}

// Log is a stand-in for the log service.
type Log struct {
	cfg     Config
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	// total counts all appends.
	total int
	// second is the Unix time of the last append.
	second int64
	// appends counts the appends within second.
	appends int
}

// New returns an empty log.
func New(cfg Config) *Log {
	if cfg.Rate == 0 {
		cfg.Rate = 400
	}
	if cfg.Retention == 0 {
		cfg.Retention = 60 * clock.Minute
	}
	if cfg.Sync == 0 {
		cfg.Sync = 3
	}
	return &Log{cfg: cfg, streams: map[string]*stream{}}
}

// Register adds the handler of the log service to a router.
func (l *Log) Register(r *mux.Router) {
	path, handler := platformv1connect.NewLogServiceHandler(l)
	r.PathPrefix(path).Handler(handler)
}

// SetFaults replaces the faults that the stand-in injects.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Append implements LogService.
func (l *Log) Append(ctx context.Context, req *connect.Request[platformv1.AppendRequest]) (*connect.Response[platformv1.AppendResponse], error) {
	if err := l.delay(ctx, l.cfg.Sync); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Unix() != l.second {
		l.second, l.appends = now.Unix(), 0
	}
	if l.appends >= l.cfg.Rate {
		return nil, connect.NewError(connect.CodeResourceExhausted, eris.New("append rate exceeded; the record was not appended"))
	}
	l.appends++
	s := l.stream(req.Msg.GetStream())
	offset := s.first + uint64(len(s.records))
	s.records = append(s.records, &platformv1.Record{Offset: offset, TimeMs: uint64(now.UnixMilli()), Data: req.Msg.GetData()})
	l.total++
	if l.faults.Lose > 0 && l.total*37%100 < l.faults.Lose {
		return nil, connect.NewError(connect.CodeUnavailable, eris.New("answer lost"))
	}
	return connect.NewResponse(&platformv1.AppendResponse{Offset: offset}), nil
}

// Read implements LogService.
func (l *Log) Read(ctx context.Context, req *connect.Request[platformv1.ReadRequest]) (*connect.Response[platformv1.ReadResponse], error) {
	if err := l.delay(ctx, 0); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(req.Msg.GetStream())
	l.dropExpired(s)
	resp := &platformv1.ReadResponse{First: s.first, Next: s.first + uint64(len(s.records))}
	from := max(req.Msg.GetFrom(), s.first)
	for i := from - s.first; i < uint64(len(s.records)) && len(resp.Records) < int(max(req.Msg.GetMax(), 1)); i++ {
		resp.Records = append(resp.Records, s.records[i])
	}
	return connect.NewResponse(resp), nil
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1}
		l.streams[name] = s
	}
	return s
}

func (l *Log) dropExpired(s *stream) {
	limit := uint64(time.Now().UnixMilli() - int64(l.cfg.Retention))
	for len(s.records) > 0 && s.records[0].TimeMs < limit {
		s.records = s.records[1:]
		s.first++
	}
}

func (l *Log) delay(ctx context.Context, base clock.Millis) error {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Down {
		return connect.NewError(connect.CodeFailedPrecondition, eris.New("log is down; nothing was done"))
	}
	select {
	case <-ctx.Done():
		return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	case <-time.After((base + clock.Millis(f.Slow)).Duration()):
		return nil
	}
}
