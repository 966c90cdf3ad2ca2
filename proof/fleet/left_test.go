package fleet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lavendercourse/lavendercourse/gateway"
	"github.com/lavendercourse/lavendercourse/platform"
)

const (
	// lateCallers is the number of callers whose submissions reach the gateway in one burst.
	lateCallers = 20
	// loopbackDelay is far above the time that the end of a connection needs to reach the other side.
	loopbackDelay = 200 * time.Millisecond
)

// heldListener can hold connections after they are established, as a cut or a pause of the gateway does: the server gets
// them later, with all that was sent meanwhile.
type heldListener struct {
	net.Listener
	held sync.RWMutex
}

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.held.RLock()
	defer l.held.RUnlock()
	return conn, err
}

// hold holds connections until the returned function is called.
func (l *heldListener) hold() (release func()) {
	l.held.Lock()
	return sync.OnceFunc(l.held.Unlock)
}

// sendSubmission opens a connection to a gateway and sends a whole submission on it. patience is the time limit in ms.
func (s *system) sendSubmission(gateway int, id, body string, patience int) *net.TCPConn {
	conn, err := net.Dial("tcp", s.callerAddresses[gateway])
	assert.NilError(s, err)
	_, err = fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		pathPrefix, id, routeHost, patience, len(body), body)
	assert.NilError(s, err)
	tcp, ok := conn.(*net.TCPConn)
	assert.Assert(s, ok)
	return tcp
}

// readResponse reads the response to a submission.
func (s *system) readResponse(conn net.Conn) (int, string) {
	assert.NilError(s, conn.SetDeadline(time.Now().Add(waitTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(s, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(s, err)
	return resp.StatusCode, string(body)
}

// addGatewayWithHeldCallers starts a gateway and a runner, and returns the listener of the gateway for callers.
func (s *system) addGatewayWithHeldCallers() *heldListener {
	listener := &heldListener{Listener: s.listen()}
	s.startGateway(gateway.Config{Name: "g0", Store: s.storeClient(), GatewayStream: platform.GatewayStream, Callers: listener})
	s.addRunner("r0")
	s.awaitReady(0)
	return listener
}

// Guards against runs of a job that arrives after its caller has left, for example at the end of a cut: the caller may have
// submitted the job to another gateway, which runs it. Callers that wait, or have sent more, are served.
func TestCallerLeftBeforeItsJobArrived(t *testing.T) {
	for _, c := range []struct {
		name string
		then func(*net.TCPConn) error
		left bool
	}{
		{"closes", (*net.TCPConn).Close, true},
		{"resets", func(conn *net.TCPConn) error {
			if err := conn.SetLinger(0); err != nil {
				return err
			}
			return conn.Close()
		}, true},
		{"waits", func(*net.TCPConn) error { return nil }, false},
		{"sends another request", func(conn *net.TCPConn) error {
			_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", pathPrefix, routeHost)
			return err
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t, 0, 0)
			listener := s.addGatewayWithHeldCallers()
			release := listener.hold()
			defer release()
			var conns []*net.TCPConn
			for i := range lateCallers {
				conn := s.sendSubmission(0, jobID(i), jobJSON(1, 100, 300, ""), 20000)
				t.Cleanup(func() { _ = conn.Close() })
				assert.NilError(t, c.then(conn))
				conns = append(conns, conn)
			}
			time.Sleep(loopbackDelay)
			release()
			if !c.left {
				for _, conn := range conns {
					status, body := s.readResponse(conn)
					assert.Equal(t, status, http.StatusOK, "%s", body)
					assert.Equal(t, body, `{"state":"completed"}`+"\n")
				}
				return
			}
			assert.Equal(t, s.submit(0, jobID(lateCallers), jobJSON(1, 100, 300, "")).state, "completed")
			for i := range lateCallers {
				assert.Assert(t, !s.ledger.Started(jobID(i)), "job %d has started", i)
			}
		})
	}
}

// Guards against a job that runs on after the time limit of its caller because of a second submission whose caller had left
// before it arrived.
func TestCallerLeftBeforeItJoinedJob(t *testing.T) {
	s := newSystem(t, 0, 0)
	listener := s.addGatewayWithHeldCallers()
	body := jobJSON(1, 100, 3000, "")
	waiting := s.sendSubmission(0, jobID(1), body, 1500)
	defer func() { _ = waiting.Close() }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.ledger.Started(jobID(1)) {
			return poll.Success()
		}
		return poll.Continue("the job has not started")
	}, poll.WithTimeout(waitTimeout))
	release := listener.hold()
	defer release()
	assert.NilError(t, s.sendSubmission(0, jobID(1), body, 20000).Close())
	time.Sleep(loopbackDelay)
	release()
	status, answer := s.readResponse(waiting)
	assert.Equal(t, status, http.StatusBadGateway, "%s", answer)
}
