package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
)

// lateWelcome is an entry that answers the hello of another entry late.
type lateWelcome struct{ links atomic.Int64 }

func (w *lateWelcome) HandleFrame(l *link.Link, f message.Frame) error {
	if f.Type != message.TypeHello {
		return nil
	}
	time.Sleep(2500 * time.Millisecond)
	return l.Send(message.TypeWelcome, f.Number, message.Welcome{Name: "b", Incarnation: "inc-b"})
}

func (*lateWelcome) Closed(*link.Link) {}

// Guards against several links to an entry that answers the hello late: each end keeps the last one that it noticed, which
// need not be the same, and frames on different links arrive in any order (seen on a busy machine).
func TestEntryIsNotDialedWhileItsWelcomeIsAwaited(t *testing.T) {
	w := &lateWelcome{}
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.links.Add(1)
		_, _ = link.Accept(rw, r, link.Config{Handler: w})
	}))
	defer s.Close()
	startEntry(t, "a", strings.TrimPrefix(s.URL, "http://"))
	time.Sleep(4 * time.Second)
	assert.Equal(t, w.links.Load(), int64(1))
}
