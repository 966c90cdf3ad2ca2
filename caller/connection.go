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

// connection is a connection to one entry, with the unused ids that were reserved on it.
type connection struct {
	// blockSize is the number of ids reserved at once.
	blockSize int
	client    dispatchv1connect.DispatchServiceClient

	mu  sync.Mutex
	ids []string
	// idsExpireAt is when ids must no longer be used.
	idsExpireAt time.Time
}

func newConnection(cfg Config) *connection {
	httpClient := cfg.HTTP
	if httpClient == nil {
		// HTTP/2 multiplexes all requests over one TCP connection.
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		httpClient = &http.Client{Transport: &http.Transport{DialContext: cfg.Dial, Protocols: protocols}}
	}
	tracing := connect.WithInterceptors(cfg.Tracer.Interceptor())
	return &connection{
		blockSize: cfg.BlockSize,
		client:    dispatchv1connect.NewDispatchServiceClient(httpClient, "http://"+cfg.Address, tracing),
	}
}

// reserve returns an unused id. It fetches a new block if there is none or the block has expired.
func (c *connection) reserve(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ids) == 0 || time.Now().After(c.idsExpireAt) {
		if err := c.fetchIDs(ctx); err != nil {
			return "", err
		}
	}
	id := c.ids[0]
	c.ids = c.ids[1:]
	return id, nil
}

// discardIDs discards the reserved ids. It is called when the entry that owns them accepts no jobs or is unreachable.
func (c *connection) discardIDs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids = nil
}

// fetchIDs reserves a new block of ids. The caller holds mu.
func (c *connection) fetchIDs(ctx context.Context) error {
	requestedAt := time.Now()
	resp, err := c.client.Reserve(ctx, connect.NewRequest(&dispatchv1.ReserveRequest{Count: uint32(c.blockSize)}))
	if err != nil && connect.IsWireError(err) {
		return eris.Wrap(ErrRefused, messageOf(err))
	}
	if err != nil {
		return convertError(err)
	}
	c.ids = resp.Msg.GetIds()
	// An id is used in the first half of its validity only, which leaves the other half for the submission.
	c.idsExpireAt = requestedAt.Add(time.Duration(resp.Msg.GetValidMs()) * time.Millisecond / 2)
	if len(c.ids) == 0 {
		return eris.Wrap(ErrUnreachable, "the entry issued no ids")
	}
	return nil
}
