package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// partition is the time for which a gateway is cut off.
	partition = 3300 * time.Millisecond
	// roundTrip is the time of a packet to a client and back: 3 ms one way.
	roundTrip = 6 * time.Millisecond
	// firstRetry is the time after which TCP sends again what was not acknowledged, and twice the time after each further one.
	firstRetry = 200 * time.Millisecond
	// idleClients is the number of clients whose open connections carry nothing during the partition.
	idleClients = 20
	// heldClients is the number of clients that submit a job during the partition: the first one firstHeld after its begin, and then one
	// in each heldGap.
	heldClients = 10
	firstHeld   = 800 * time.Millisecond
	heldGap     = 100 * time.Millisecond
	// heldRun is the run time of their tasks.
	heldRun = 1200 * time.Millisecond
)

// network is the network of one machine, which a partition may cut off.
type network struct {
	mu sync.Mutex
	// healed is closed while there is no partition, and healedAt the time of the end of the last one.
	healed   chan struct{}
	healedAt time.Time
}

func newNetwork() *network {
	n := &network{healed: make(chan struct{})}
	close(n.healed)
	return n
}

// cut cuts the machine off for the given time.
func (n *network) cut(span time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	healed := make(chan struct{})
	n.healed = healed
	time.AfterFunc(span, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.healedAt = time.Now()
		close(healed)
	})
}

// await waits until there is no partition, and returns the end of it, or a zero time if there was none.
func (n *network) await() time.Time {
	n.mu.Lock()
	healed := n.healed
	n.mu.Unlock()
	select {
	case <-healed:
		return time.Time{}
	default:
	}
	<-healed
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.healedAt
}

// link forwards connections to an address. What is sent during a partition arrives after it: at once, or with the next retransmission
// of the sender if resends is set.
type link struct {
	network *network
	address string
	target  string
	resends bool
	// cuts tells whether a partition affects a connection that was accepted.
	cuts func(c net.Conn) bool
}

func newLink(n *network, target string, resends bool, cuts func(net.Conn) bool) (*link, error) {
	l, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return nil, err
	}
	k := &link{network: n, address: l.Addr().String(), target: target, resends: resends, cuts: cuts}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, nil
}

func (k *link) serve(from net.Conn) {
	defer func() { _ = from.Close() }()
	n := k.network
	if !k.cuts(from) {
		n = newNetwork()
	}
	n.await()
	to, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	done := make(chan struct{}, 2)
	go func() {
		forward(n, to, from, k.resends)
		done <- struct{}{}
	}()
	go func() {
		forward(n, from, to, false)
		done <- struct{}{}
	}()
	<-done
}

// forward forwards what one side sends, up to the end of the connection.
func forward(network *network, to io.Writer, from io.Reader, resends bool) {
	b := make([]byte, 16<<10)
	var arrived time.Time
	for {
		n, err := from.Read(b)
		sent := time.Now()
		if healed := network.await(); !healed.IsZero() && resends {
			arrived = nextRetry(sent, healed)
			if n == 0 && !arrived.IsZero() {
				// The end of the connection follows the bytes before it, a round trip later.
				arrived = time.Now()
			}
			time.Sleep(time.Until(arrived))
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if !arrived.IsZero() {
				time.Sleep(roundTrip)
			}
			return
		}
	}
}

// inodeOf returns the inode of the other end of a connection on this machine, or an empty string. The address of one end alone may belong to
// several connections.
func inodeOf(c net.Conn) string {
	want, peer := tableAddress(c.RemoteAddr()), tableAddress(c.LocalAddr())
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	for _, line := range strings.Split(string(table), "\n") {
		if f := strings.Fields(line); len(f) > 9 && f[1] == want && f[2] == peer {
			return f[9]
		}
	}
	return ""
}

// tableAddress returns an address as written in the table of sockets.
func tableAddress(a net.Addr) string {
	tcp, ok := a.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// hasSocket reports whether a process has the socket with the given inode.
func (p *process) hasSocket(inode string) bool {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
	for _, f := range files {
		if target, err := os.Readlink(f); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// nextRetry returns the time of the first retransmission after the end of a partition.
func nextRetry(sent, healed time.Time) time.Time {
	at := sent
	for wait := firstRetry; at.Before(healed); wait *= 2 {
		at = at.Add(wait)
	}
	return at
}

// runCut cuts one gateway off for a few seconds, from all clients and machines. Clients that have submitted a job there meanwhile leave
// when their time limit has passed, and submit it to the other gateway.
func runCut(s *site, trouble bool) (bool, error) {
	if !s.awaitReady(20 * time.Second) {
		return false, errNotReady
	}
	n := s.network
	callers := s.callers[1]
	var clients sync.WaitGroup
	connect := func() *http.Client {
		c := &http.Client{Transport: &http.Transport{}}
		id := jobID()
		s.rec.logf("job %s at g1: %s", id, send(c, http.MethodPost, callers, prefix+id, shortJob, ordinaryDeadline))
		return c
	}
	idle := make([]*http.Client, idleClients)
	for i := range idle {
		idle[i] = connect()
	}
	held := make([]*http.Client, heldClients)
	for i := range held {
		held[i] = connect()
	}
	if trouble {
		s.rec.logf("g1 is cut off for %d ms", partition.Milliseconds())
		n.cut(partition)
	}
	began := time.Now()
	for i, near := range held {
		clients.Go(func() {
			time.Sleep(firstHeld + time.Duration(i)*heldGap)
			id := jobID()
			body := fmt.Sprintf(`{"spec":"%d","bestEffort":true,"steps":[{"count":1,"cpu":3100,"memMb":64,"estimateMs":%d}]}`, heldRun.Milliseconds(), heldRun.Milliseconds())
			far := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for attempt := 1; attempt <= 3; attempt++ {
				client, address := far, s.callers[0]
				if attempt == 1 {
					client, address = near, callers
				}
				s.rec.logf("job %s, attempt %d: sent", id, attempt)
				a := send(client, http.MethodPost, address, prefix+id, body, ordinaryDeadline)
				s.rec.logf("job %s, attempt %d: %s", id, attempt, a)
				if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
					return
				}
				time.Sleep(resendDelay)
			}
		})
	}
	time.Sleep(time.Until(began.Add(partition)))
	s.rec.logf("g1 is not cut off any more")
	for i := 0; time.Since(began) < 2*partition; i++ {
		client := idle[i%len(idle)]
		clients.Go(func() {
			id := jobID()
			s.rec.logf("job %s at g1: %s", id, send(client, http.MethodPost, callers, prefix+id, shortJob, ordinaryDeadline))
		})
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	twice := s.rec.ranTwice()
	s.rec.logf("%d jobs were submitted during the partition; %d tasks ran twice at the same time", heldClients, len(twice))
	return len(twice) == 0, nil
}
