package hostile

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/link"
)

// contentLength is the header line of the largest legal body.
var contentLength = fmt.Sprintf("Content-Length: %d\r\n", maxBody)

// listenerCrowd is the number of clients of the listeners that do not serve callers.
const listenerCrowd = 900

// upgrade is the request that opens a link.
const upgrade = "GET " + link.Path + " HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
	"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"

// largeFrame is a masked binary frame of 4 MiB, the largest that a link accepts, without its end.
var largeFrame = "\x82\xff\x00\x00\x00\x00\x00\x3f\xff\xff\x00\x00\x00\x00" + strings.Repeat("x", 4<<20-2000)

// chunked is the header line of a body in chunks.
const chunked = "Transfer-Encoding: chunked\r\n"

// Guards against a process that runs out of memory because clients send large legal bodies at once, all but their end.
func TestLargeBodiesWithoutEnd(t *testing.T) {
	s := newSystem(t)
	body := pad(maxBody)[:maxBody-200]
	s.crowd(400, func(w io.Writer, i int) error {
		_, err := io.WriteString(w, head(i, contentLength)+body)
		return err
	}, s.callers)
	s.check()
}

// Guards against the same with bodies that all grow at the same pace, so that none is ahead of the others.
func TestLargeBodiesPieceByPiece(t *testing.T) {
	s := newSystem(t)
	body := pad(maxBody)[:maxBody-200]
	s.crowd(400, func(w io.Writer, i int) error {
		return sendPieces(w, head(i, contentLength), body)
	}, s.callers)
	s.check()
}

// Guards against a process that runs out of memory because clients send bodies in large chunks, all but the last one.
func TestLargeChunksWithoutEnd(t *testing.T) {
	s := newSystem(t)
	body := pad(maxBody)[:maxBody-200]
	s.crowd(400, func(w io.Writer, i int) error {
		if _, err := io.WriteString(w, head(i, chunked)); err != nil {
			return err
		}
		return sendChunks(w, body, 32<<10)
	}, s.callers)
	s.check()
}

// Guards against the same in very small chunks.
func TestTinyChunksWithoutEnd(t *testing.T) {
	s := newSystem(t)
	body := pad(maxBody)[:maxBody-200]
	s.crowd(300, func(w io.Writer, i int) error {
		if _, err := io.WriteString(w, head(i, chunked)); err != nil {
			return err
		}
		return sendChunks(w, body, 32)
	}, s.callers)
	s.check()
}

// Guards against a process that runs out of memory because of complete legal bodies of the largest size: with a long
// text, and with many steps.
func TestWholeLargeBodies(t *testing.T) {
	s := newSystem(t)
	text := `{"spec":"10 20000 ` + strings.Repeat("x", 250_000) + `","bestEffort":true,"steps":[{"count":1,"cpu":10,"memMb":1,"estimateMs":20000}]}`
	step := `{"count":1,"cpu":10,"memMb":1,"estimateMs":20000}`
	steps := `{"spec":"10 20000","bestEffort":true,"steps":[` + strings.Repeat(step+",", 5000) + step + `]}`
	bodies := []string{text, steps}
	s.crowd(450, func(w io.Writer, i int) error {
		body := bodies[i%len(bodies)]
		_, err := io.WriteString(w, head(i, fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body)
		return err
	}, s.callers)
	s.check()
}

// Guards against a gateway whose memory runs out because of complete bodies whose steps are short elements that take many
// times their size once they are decoded, sent again and again.
func TestNumbersAsSteps(t *testing.T) {
	s := newSystem(t)
	const start = `{"steps":[0`
	body := start + strings.Repeat(",0", (maxBody-len(start)-2)/2) + `]}`
	s.crowd(300, func(_ io.Writer, i int) error {
		text := head(i, "Connection: close\r\n", fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
		for range 20 {
			conn, err := net.DialTimeout("tcp", s.callers, s.sendTimeout)
			if err != nil {
				continue
			}
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			_, _ = io.WriteString(conn, text)
			_, _ = io.ReadAll(conn)
			_ = conn.Close()
		}
		return nil
	}, s.callers)
	s.check()
}

// Guards against heads over the limit that are kept while their bodies are awaited.
func TestHeadsOverLimit(t *testing.T) {
	s := newSystem(t)
	var lines []string
	for i := range 600 {
		lines = append(lines, fmt.Sprintf("X-%d: %s\r\n", i, strings.Repeat("x", 1000)))
	}
	lines = append(lines, contentLength)
	s.crowd(150, func(w io.Writer, i int) error {
		_, err := io.WriteString(w, head(i, lines...)+"{")
		return err
	}, s.callers)
	s.check()
}

// Guards against header lines without end. Half of them are the request line.
func TestHeadsWithoutEnd(t *testing.T) {
	s := newSystem(t)
	line := strings.Repeat("x", 900_000)
	s.crowd(150, func(w io.Writer, i int) error {
		start := "GET /" + line
		if i%2 == 0 {
			start = strings.TrimSuffix(head(i), "\r\n") + "X: " + line
		}
		_, err := io.WriteString(w, start)
		return err
	}, s.callers)
	s.check()
}

// Guards against legal heads of many short lines, each of which takes many times its size once it is parsed. Half of
// the heads lack their end; the others are complete, and their bodies are awaited.
func TestHeadsOfManyShortLines(t *testing.T) {
	s := newSystem(t)
	lines := append(manyShortLines(maxHead-400), contentLength)
	s.crowd(400, func(w io.Writer, i int) error {
		h := head(i, lines...)
		if i%2 == 0 {
			h = strings.TrimSuffix(h, "\r\n")
		}
		_, err := io.WriteString(w, h)
		return err
	}, s.callers)
	s.check()
}

// manyShortLines returns header lines with different names whose total size is just below the given one.
func manyShortLines(size int) []string {
	var lines []string
	for i := 0; size > 0; i++ {
		line := fmt.Sprintf("%c%c%c:\r\n", 'a'+i%26, 'a'+i/26%26, 'a'+i/676)
		if size -= len(line); size > 0 {
			lines = append(lines, line)
		}
	}
	return lines
}

// Guards against empty lines without end before a request, on new connections and after a first request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	s := newSystem(t)
	lines := strings.Repeat("\r\n", 200_000)
	s.crowd(300, func(w io.Writer, i int) error {
		start := ""
		if i%2 == 0 {
			start = head(i, "Content-Length: 2\r\n") + "{}"
		}
		_, err := io.WriteString(w, start+lines)
		return err
	}, s.callers)
	s.check()
}

// Guards against a crowd of connections that takes all descriptors of a gateway, so that it accepts no other caller, and
// cannot call the store.
func TestMoreConnectionsThanDescriptors(t *testing.T) {
	s := newSystem(t)
	s.crowd(900, func(w io.Writer, i int) error {
		parts := []string{"", "POST /", head(i, contentLength), head(i, chunked) + "1\r\n{\r\n"}
		_, err := io.WriteString(w, parts[i%len(parts)])
		return err
	}, s.callers)
	s.check()
}

// Guards against the same on the listeners for health checks, links and metrics, which answer few clients.
func TestOtherListenersOfGateway(t *testing.T) {
	s := newSystem(t)
	s.attackListeners(listenerCrowd, s.ready, s.links, s.gatewayMetrics)
	s.check()
}

// Guards against the same on the listeners of a runner.
func TestListenersOfRunner(t *testing.T) {
	s := newSystem(t)
	s.attackListeners(listenerCrowd, s.reports, s.runnerMetrics)
	s.check()
}

// Guards against a process that runs out of memory because of large frames on links, sent by clients that have not said
// which process they are, and that stop short of the end of the frame.
func TestLargeFramesOnLinks(t *testing.T) {
	s := newSystem(t)
	s.crowd(100, func(w io.Writer, _ int) error {
		if _, err := io.WriteString(w, upgrade); err != nil {
			return err
		}
		// Frames that arrive before the answer to the upgrade are refused.
		time.Sleep(500 * time.Millisecond)
		_, err := io.WriteString(w, largeFrame)
		return err
	}, s.links)
	s.check()
}

// attackListeners sends heads without end, heartbeats and other bodies without end, and connections on which nothing is
// sent.
func (s *system) attackListeners(n int, addresses ...string) {
	line := strings.Repeat("x", 900_000)
	body := pad(maxBody)[:maxBody-200]
	s.crowd(n, func(w io.Writer, i int) error {
		start := ""
		switch i % 12 / len(addresses) {
		case 0:
			start = "GET / HTTP/1.1\r\nX: " + line
		case 1:
			start = "POST /instances/w-r0/heartbeat HTTP/1.1\r\nHost: x\r\n" + contentLength + "\r\n" + body
		}
		_, err := io.WriteString(w, start)
		return err
	}, addresses...)
}

// Guards against bounds that also hit a single client inside the published limits: one that is slow, and one whose head
// and body are as large as they may be. With many descriptors for its memory a process has the smallest receive buffers.
func TestSingleLegalRequests(t *testing.T) {
	for _, c := range []struct{ memoryMB, files int }{{memoryMB, files}, {memoryMB, smallestFiles}} {
		t.Run(fmt.Sprintf("%d MB, %d descriptors", c.memoryMB, c.files), func(t *testing.T) {
			s := newLimitedSystem(t, c.memoryMB, c.files)
			t.Log("slow")
			body := pad(1000)
			parts := []string{}
			for h := head(1, "Content-Length: 1000\r\n"); h != ""; h = h[min(40, len(h)):] {
				parts = append(parts, h[:min(40, len(h))])
			}
			for i := range 40 {
				parts = append(parts, body[25*i:25*i+25])
			}
			assert.Check(t, s.exchange(100*time.Millisecond, parts...))
			t.Log("large")
			lines := append(manyShortLines(maxHead-400), contentLength)
			assert.Check(t, s.exchange(time.Second, head(2, lines...), pad(maxBody)))
			t.Log("chunked, with a pause before the end")
			assert.Check(t, s.exchange(2*time.Second, head(3, chunked), inChunks(pad(maxBody), 16), "0\r\n\r\n"))
		})
	}
}
