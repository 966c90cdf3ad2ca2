package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crowdSize is the number of large jobs that wait at a gateway, and crowdSteps that of the steps of each.
	crowdSize  = 100
	crowdSteps = 1100
	// crowdSpan is the time for which the crowd stays, and settleTime that from its last body to the first ordinary job that counts.
	crowdSpan  = 30 * time.Second
	settleTime = 3 * time.Second
	// labelOfCrowd is the label of the one worker that may run the jobs of the crowd.
	labelOfCrowd = "b"
)

// oneOfKind returns labels of which one worker has another kind than the others.
func oneOfKind(i int) []string {
	if i == 0 {
		return []string{labelOfCrowd, rackOf(i)}
	}
	return labelsOf(i)
}

// largeJob returns a job of many steps inside the published limits. Each task takes the whole worker that has the label, one after the
// other; the first one needs little, and waits like the others.
func largeJob() string {
	steps := make([]string, crowdSteps)
	for i := range steps {
		steps[i] = fmt.Sprintf(`{"count":1,"cpu":%d,"memMb":%d,"requiredLabel":%q}`, 100, workerMemory, labelOfCrowd)
	}
	return fmt.Sprintf(`{"spec":"1000","bestEffort":true,"steps":[%s]}`, strings.Join(steps, ","))
}

// crowd submits large jobs to a gateway on connections of their own, and keeps these open.
func crowd(s *site, address string, conns *[]net.Conn) error {
	body := largeJob()
	s.rec.logf("crowd: %d jobs of %d steps, %d bytes each", crowdSize, crowdSteps, len(body))
	for range crowdSize {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		*conns = append(*conns, c)
		id := jobID()
		go func() {
			_, _ = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", prefix, id, host, len(body), body)
			status, err := bufio.NewReader(c).ReadString('\n')
			s.rec.logf("crowd: job %s: %.40q %v", id, status, err)
		}()
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// processorTime returns the processor time that a process has used, in clock ticks of 10 ms.
func processorTime(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The name of the program, in parentheses, is followed by the state. The times are the 12th and 13th field from there.
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return user + system
}

// runCrowd shows whether ordinary callers are served, and probes answered, while a crowd of legal jobs waits.
func runCrowd(s *site, trouble bool) (bool, error) {
	if !s.awaitReady(20 * time.Second) {
		return false, errNotReady
	}
	target := s.callers[0]
	var conns []net.Conn
	if trouble {
		if err := crowd(s, target, &conns); err != nil {
			return false, err
		}
	}
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	time.Sleep(settleTime)
	var wg sync.WaitGroup
	var mu sync.Mutex
	used := processorTime(s.gateways[0].cmd.Process.Pid)
	asked, answered, completed, probes, probed := 0, 0, 0, 0, 0
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(crowdSpan); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		wg.Go(func() {
			id := jobID()
			a := send(client, http.MethodPost, target, prefix+id, shortJob, ordinaryDeadline)
			s.rec.logf("ordinary job %s: %s", id, a)
			p := send(client, http.MethodGet, s.ready[0], "/readyz", "", time.Second)
			s.rec.logf("probe: %s", p)
			mu.Lock()
			defer mu.Unlock()
			asked++
			probes++
			if a.status != 0 {
				answered++
			}
			if a.status == http.StatusOK && strings.Contains(a.body, "completed") {
				completed++
			}
			if p.status == http.StatusOK {
				probed++
			}
		})
	}
	wg.Wait()
	s.rec.logf("the gateway has used %d ms of processor time meanwhile", 10*(processorTime(s.gateways[0].cmd.Process.Pid)-used))
	s.rec.logf("ordinary jobs: %d, answered %d, completed %d; probes: %d, answered with 200 in time %d; gateway alive: %t", asked, answered, completed, probes, probed,
		s.gateways[0].alive())
	return gateHolds(asked, completed), nil
}
