package daemon_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/daemon"
)

// Guards against a reset of connections that were established but not yet accepted when their server stops. Their
// callers cannot tell whether their requests were served.
func TestDrainServesUnacceptedConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d := daemon.NewDrainListener(l)
	address := "http://" + l.Addr().String()
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get(address)
			if assert.Check(t, err) {
				assert.Check(t, resp.Body.Close())
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	service := daemon.NewHTTPService("callers", s, d)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- service.Serve(ctx) }()
	assert.NilError(t, daemon.ShutdownServer(ctx, s, d))
	_, err = net.Dial("tcp", l.Addr().String())
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	wg.Wait()
	cancel()
	<-ended
}
