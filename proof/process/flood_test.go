package process

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/gorilla/websocket"
	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

// TestBurst guards against answers that are wrong or missing when ten times the capacity arrives at once, half of the
// jobs are cancelled and others fit nowhere (promises 1, 2 and 5).
func TestBurst(t *testing.T) {
	c := newCluster(t)
	l := &ledger{}
	const jobs = 36
	requests := make([]*dispatchv1.SubmitRequest, jobs)
	for i := range requests {
		requests[i] = newJob(1100, 10)
		c.reserve(0, requests[i])
	}
	giant := newJob(2, 10)
	giant.Tasks[1].MemoryMb = 5000
	c.reserve(0, giant)
	parallel(jobs+2, func(i int) {
		switch {
		case i < jobs:
			c.submit(l, i%entries, requests[i])
		case i == jobs:
			v := c.submit(l, 1, giant)
			assert.Check(t, v.GetReason() == dispatchv1.Reason_REASON_IMPOSSIBLE, "%v", v)
		default:
			// Any job will do: the queue is bounded, so each one of them may be refused.
			c.eventually(c.started(requests...))
			parallel(jobs/2, func(i int) {
				req := connect.NewRequest(&dispatchv1.CancelRequest{Id: requests[2*i].GetId()})
				resp, err := c.dispatch(i%entries).Cancel(context.Background(), req)
				assert.Check(t, err)
				if err == nil {
					l.add(answer{id: requests[2*i].GetId(), verdict: resp.Msg.GetVerdict()})
				}
			})
		}
	})
	t.Log(l.outcomes())
	assert.Check(t, l.outcomes()[refused] > 1, "the queue is not bounded")
	assert.Check(t, l.outcomes()[complete] > 0)
	c.works(l)
	check(t, l.judge(c.journal()))
}

// TestHostileTraffic guards against requests and frames that harm others: malformed, oversized, half-open or slow ones
// on every port of an entry (promises 2, 4 and 8).
func TestHostileTraffic(t *testing.T) {
	c := newCluster(t)
	l := c.newLoad(8, 20)
	base := "http://" + c.callers[0]
	submit := base + "/dispatch.v1.DispatchService/Submit"
	post := func(body io.Reader) int {
		resp, err := c.http.Post(submit, "application/proto", body)
		if err != nil {
			return 0
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode
	}

	t.Log("malformed and oversized requests")
	assert.Check(t, post(strings.NewReader("\xff\xff\xff\xff")) >= 400)
	assert.Check(t, post(bytes.NewReader(make([]byte, 64<<20))) != http.StatusOK)
	big := newJob(1, 10)
	big.Tasks[0].Payload = append([]byte("10 "), make([]byte, 5<<20)...)
	c.reserve(0, big)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for i := range entries {
		_, err := c.dispatch(i).Submit(ctx, connect.NewRequest(big))
		assert.Check(t, err != nil, "a request of 5 MiB through entry %d was taken", i)
		assert.Check(t, ctx.Err() == nil, "a request of 5 MiB through entry %d got no answer", i)
	}
	for _, req := range []*dispatchv1.SubmitRequest{
		newJob(1101, 1), {Id: big.GetId(), Team: "proof"}, {Id: "a.b", Team: "proof", Tasks: big.Tasks[:0]}, newJob(1, 1),
	} {
		_, err := c.dispatch(1).Submit(ctx, connect.NewRequest(req))
		assert.Check(t, connect.CodeOf(err) == connect.CodeInvalidArgument, "%v", err)
	}

	t.Log("a large job whose results are large")
	large := newJob(1100, 1)
	for _, task := range large.GetTasks() {
		task.Payload = append(task.Payload, bytes.Repeat([]byte("x"), 2500)...)
	}
	c.reserve(0, large)
	assert.Check(t, c.submit(&l.ledger, 1, large).GetOutcome() == complete)

	t.Log("malformed and oversized frames")
	start, err := message.Encode(message.TypeStart, 0, message.Start{Job: "a.1.b"})
	assert.NilError(t, err)
	for _, address := range []string{c.relays[0].target, c.callers[0]} {
		for _, frame := range [][]byte{[]byte("junk"), start, make([]byte, 5<<20), {}} {
			conn, resp, err := websocket.DefaultDialer.Dial("ws://"+address+link.Path, nil)
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			_ = conn.WriteMessage(websocket.BinaryMessage, frame)
			_ = conn.SetReadDeadline(time.Now().Add(patience))
			_, _, err = conn.ReadMessage()
			assert.Check(t, err != nil)
			_ = conn.Close()
		}
	}

	t.Log("half-open and slow connections")
	var conns []net.Conn
	for i := range 300 {
		conn, err := net.Dial("tcp", []string{c.relays[0].target, c.callers[0]}[i%2])
		assert.NilError(t, err)
		conns = append(conns, conn)
		switch i % 3 {
		case 1:
			_, _ = io.WriteString(conn, "GET /link HTTP/1.1\r\nHost:")
		case 2:
			_, _ = fmt.Fprintf(conn, "POST /dispatch.v1.DispatchService/Submit HTTP/1.1\r\nHost: x\r\n"+
				"Content-Type: application/proto\r\nContent-Length: 1000\r\n\r\n\x0a")
		}
	}
	c.works(&l.ledger)
	time.Sleep(2 * time.Second)
	for _, conn := range conns {
		_ = conn.Close()
	}
	c.ready()
	l.stop()
	t.Log(l.outcomes())
	check(t, append(l.judge(c.journal()), l.cutOff()...))
}
