package peers_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/logservice"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/standin/peers"
)

type silentHandler struct{}

func (silentHandler) HandleFrame(*link.Link, message.Frame) error { return nil }

func (silentHandler) Closed(*link.Link) {}

// Guards against a measurement that ends because the measured entry answered a single dial late, as it may on a busy
// machine. Real agents and entries dial again.
func TestPeersDialAgain(t *testing.T) {
	for name, connect := range map[string]func(address string) error{
		"agent": func(address string) error {
			a, err := peers.NewAgents(peers.AgentsConfig{Count: 1, EntryAddress: address, RunTime: clock.Second, Counters: link.NewCounters()})
			if err == nil {
				a.Close()
			}
			return err
		},
		"entry": func(address string) error {
			log := logservice.New(logservice.Config{Address: address})
			e, err := peers.NewEntries(peers.EntriesConfig{Count: 1, EntryAddress: address, Log: log, Counters: link.NewCounters()})
			if err == nil {
				e.Close()
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.NilError(t, connect(lateEntry(t)))
		})
	}
}

// lateEntry returns the address of an entry that answers the first dial after the time-out of the dial.
func lateEntry(t *testing.T) string {
	t.Helper()
	var dials atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if dials.Add(1) == 1 {
			time.Sleep(3500 * time.Millisecond)
			return
		}
		_, _ = link.Accept(w, r, link.Config{Handler: silentHandler{}})
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}
