package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/schema/dispatch/v1/dispatchv1connect"
)

// lane is one connection, with the ids that were reserved on it.
type lane struct {
	block    int
	dispatch dispatchv1connect.DispatchServiceClient

	mu      sync.Mutex
	ids     []string
	expires time.Time
}

func newLane(cfg Config) *lane {
	hc := cfg.HTTP
	if hc == nil {
		// HTTP/2 carries all requests of the lane on one connection.
		p := &http.Protocols{}
		p.SetUnencryptedHTTP2(true)
		hc = &http.Client{Transport: &http.Transport{DialContext: cfg.Dial, Protocols: p}}
	}
	traced := connect.WithInterceptors(cfg.Tracer.Interceptor())
	return &lane{
		block:    cfg.Block,
		dispatch: dispatchv1connect.NewDispatchServiceClient(hc, "http://"+cfg.Address, traced),
	}
}

// reserve returns an unused id of the lane.
func (l *lane) reserve(ctx context.Context) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ids) == 0 || time.Now().After(l.expires) {
		if err := l.fetch(ctx); err != nil {
			return "", err
		}
	}
	id := l.ids[0]
	l.ids = l.ids[1:]
	return id, nil
}

// drop forgets the reserved ids, whose owner takes no more jobs.
func (l *lane) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids = nil
}

func (l *lane) fetch(ctx context.Context) error {
	asked := time.Now()
	resp, err := l.dispatch.Reserve(ctx, connect.NewRequest(&dispatchv1.ReserveRequest{Count: uint32(l.block)}))
	if err != nil && connect.IsWireError(err) {
		return eris.Wrap(ErrRefused, messageOf(err))
	}
	if err != nil {
		return translate(err)
	}
	l.ids = resp.Msg.GetIds()
	// Half of the time is left for the submission itself.
	l.expires = asked.Add(time.Duration(resp.Msg.GetValidMs()) * time.Millisecond / 2)
	if len(l.ids) == 0 {
		return eris.Wrap(ErrUnreachable, "the entry issued no ids")
	}
	return nil
}
