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

// TestBurst guards against wrong or missing answers when ten times the capacity arrives at once, half of the jobs are
// cancelled and one needs more memory than any agent has (promises 1, 2 and 5).
func TestBurst(t *testing.T) {
	c := newCluster(t)
	l := &ledger{}
	const jobs = 36
	requests := make([]*dispatchv1.SubmitRequest, jobs)
	for i := range requests {
		requests[i] = newJob(1100, 10)
		c.reserveID(0, requests[i])
	}
	unplaceable := newJob(2, 10)
	unplaceable.Tasks[1].MemoryMb = 5000
	c.reserveID(0, unplaceable)
	parallel(jobs+2, func(i int) {
		switch {
		case i < jobs:
			c.submit(l, i%entryCount, requests[i])
		case i == jobs:
			v := c.submit(l, 1, unplaceable)
			assert.Check(t, v.GetReason() == dispatchv1.Reason_REASON_IMPOSSIBLE, "%v", v)
		default:
			// Waits for any of the jobs: the queue is bounded, so each single job may be refused.
			c.eventually(c.anyStarted(requests...))
			parallel(jobs/2, func(i int) {
				req := connect.NewRequest(&dispatchv1.CancelRequest{Id: requests[2*i].GetId()})
				resp, err := c.dispatchClient(i%entryCount).Cancel(context.Background(), req)
				assert.Check(t, err)
				if err == nil {
					l.add(answer{id: requests[2*i].GetId(), verdict: resp.Msg.GetVerdict()})
				}
			})
		}
	})
	t.Log(l.outcomes())
	assert.Check(t, l.outcomes()[refused] > 1, "only the unplaceable job was refused, so the queue is not bounded")
	assert.Check(t, l.outcomes()[complete] > 0)
	c.waitJobsComplete(l)
	checkNoFindings(t, l.verify(c.journal()))
}

// TestHostileTraffic guards against requests, frames and connections that disturb the jobs of other callers: malformed,
// oversized, half-open or slow ones on every port of an entry (promises 2, 4 and 8).
func TestHostileTraffic(t *testing.T) {
	c := newCluster(t)
	l := c.startBalancedLoad(8, 20)
	baseURL := "http://" + c.callerAddresses[0]
	submitURL := baseURL + "/dispatch.v1.DispatchService/Submit"
	postSubmit := func(body io.Reader) int {
		resp, err := c.http.Post(submitURL, "application/proto", body)
		if err != nil {
			return 0
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode
	}

	t.Log("malformed and oversized requests")
	assert.Check(t, postSubmit(strings.NewReader("\xff\xff\xff\xff")) >= 400)
	assert.Check(t, postSubmit(bytes.NewReader(make([]byte, 64<<20))) != http.StatusOK)
	oversized := newJob(1, 10)
	oversized.Tasks[0].Payload = append([]byte("10 "), make([]byte, 5<<20)...)
	c.reserveID(0, oversized)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for i := range entryCount {
		_, err := c.dispatchClient(i).Submit(ctx, connect.NewRequest(oversized))
		assert.Check(t, err != nil, "entry %d accepted a request of 5 MiB", i)
		assert.Check(t, ctx.Err() == nil, "entry %d did not answer a request of 5 MiB in time", i)
	}
	for _, req := range []*dispatchv1.SubmitRequest{
		newJob(1101, 1), {Id: oversized.GetId(), Team: "proof"}, {Id: "a.b", Team: "proof", Tasks: oversized.Tasks[:0]}, newJob(1, 1),
	} {
		_, err := c.dispatchClient(1).Submit(ctx, connect.NewRequest(req))
		assert.Check(t, connect.CodeOf(err) == connect.CodeInvalidArgument, "%v", err)
	}

	t.Log("a large job whose results are large")
	large := newJob(1100, 1)
	for _, task := range large.GetTasks() {
		task.Payload = append(task.Payload, bytes.Repeat([]byte("x"), 2500)...)
	}
	c.reserveID(0, large)
	assert.Check(t, c.submit(&l.ledger, 1, large).GetOutcome() == complete)

	t.Log("malformed and oversized frames")
	startFrame, err := message.Encode(message.TypeStart, 0, message.Start{Job: "a.1.b"})
	assert.NilError(t, err)
	for _, address := range []string{c.relays[0].target, c.callerAddresses[0]} {
		for _, frame := range [][]byte{[]byte("junk"), startFrame, make([]byte, 5<<20), {}} {
			conn, resp, err := websocket.DefaultDialer.Dial("ws://"+address+link.Path, nil)
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			_ = conn.WriteMessage(websocket.BinaryMessage, frame)
			_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
			_, _, err = conn.ReadMessage()
			assert.Check(t, err != nil)
			_ = conn.Close()
		}
	}

	t.Log("half-open and slow connections")
	var conns []net.Conn
	for i := range 300 {
		conn, err := net.Dial("tcp", []string{c.relays[0].target, c.callerAddresses[0]}[i%2])
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
	c.waitJobsComplete(&l.ledger)
	time.Sleep(2 * time.Second)
	for _, conn := range conns {
		_ = conn.Close()
	}
	c.waitReady()
	l.stop()
	t.Log(l.outcomes())
	checkNoFindings(t, append(l.verify(c.journal()), l.interrupted()...))
}
