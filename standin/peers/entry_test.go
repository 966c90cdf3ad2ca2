package peers_test

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gonum.org/v1/gonum/stat"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lavendercourse/lavendercourse/caller"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/logservice"
	"github.com/lavendercourse/lavendercourse/message"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/schema/dispatch/v1/dispatchv1connect"
	"github.com/lavendercourse/lavendercourse/standin/peers"
)

// The resource usage of an entry is measured with
//
//	go test ./standin/peers -run TestEntryResourceUsage -timeout 30m -v -args -slopes
//
// and that of an agent with TestAgentResourceUsage. Without -slopes, only the first point of each sweep is
// measured, and only for a short time, to check that the measurement works.
var (
	measureAll = flag.Bool("slopes", false, "measure all points of each sweep and fit a line through them")
	onlySweep  = flag.String("only", "", "measure only the sweep with this name")
)

// point is one measurement of the real process. The rates are means over the measurement.
type point struct {
	// x is the value of the parameter that the sweep varies.
	x float64
	// cpu is the processor time used, in percent of one core.
	cpu float64
	// memory is the resident memory in MB.
	memory float64
	// messages and bytes count the control messages sent and received per second. Start and done messages are left
	// out, since they carry tasks.
	messages float64
	bytes    float64
	// starts is the number of task starts per second at an entry, or of completed tasks per second at an agent.
	starts float64
}

// workload describes the peers and the load of one measured entry.
type workload struct {
	// agents and entries are the numbers of stand-ins that are linked to the measured entry.
	agents  int
	entries int
	teams   int
	// startRate is the number of task starts per second.
	startRate int
	// changeRate is the number of configuration changes per second.
	changeRate float64
	// runTime is the run time of each task in ms.
	runTime clock.Millis
	// tasksPerJob is the number of tasks of each job.
	tasksPerJob int
}

// sweep measures one process at several values of one parameter.
type sweep struct {
	name string
	// parameter is the parameter that varies, with its unit. It is the heading of its column in the results.
	parameter string
	points    []float64
	// workload returns the workload of an entry for a value of the parameter. It is nil if an agent is measured.
	workload func(x float64) workload
}

// entrySweeps are the sweeps of TestEntryResourceUsage.
var entrySweeps = []sweep{
	{"agents", "linked agents", []float64{100, 200, 400, 800}, func(x float64) workload { return workload{agents: int(x), entries: 3} }},
	{"entries", "other entries", []float64{2, 8, 16, 32, 47}, func(x float64) workload { return workload{agents: 100, entries: int(x)} }},
	{"starts", "task starts/s", []float64{250, 500, 1000, 2000, 4000}, func(x float64) workload {
		return workload{agents: 400, startRate: int(x), teams: 10, runTime: 300, tasksPerJob: 100}
	}},
	{"jobs", "jobs/s of one task", []float64{100, 200, 400, 800}, func(x float64) workload {
		return workload{agents: 400, startRate: int(x), teams: 10, runTime: 300, tasksPerJob: 1}
	}},
	{"inflight", "tasks in flight", []float64{250, 500, 1000, 2000}, func(x float64) workload {
		return workload{agents: 400, startRate: 500, teams: 10, runTime: clock.Millis(x * 2), tasksPerJob: 100}
	}},
	{"teams", "teams", []float64{1, 20, 50, 95}, func(x float64) workload {
		return workload{agents: 400, startRate: 1000, teams: int(x), runTime: 300, tasksPerJob: 100}
	}},
	{"changes", "configuration changes/s", []float64{0, 1, 4, 16}, func(x float64) workload {
		return workload{agents: 100, entries: 8, changeRate: x, teams: 95}
	}},
}

// Guards against published capacity figures of an entry that can no longer be reproduced.
func TestEntryResourceUsage(t *testing.T) {
	bin := buildPrograms(t)
	for _, s := range entrySweeps {
		if *onlySweep != "" && *onlySweep != s.name {
			continue
		}
		points := s.points
		if !*measureAll {
			points = points[:1]
		}
		var got []point
		for _, x := range points {
			got = append(got, measureEntry(t, bin, x, s.workload(x)))
		}
		logResults(t, s, got)
	}
}

func measureEntry(t *testing.T, bin string, x float64, w workload) point {
	warmup, window := 12*time.Second, 10*time.Second
	if !*measureAll {
		warmup, window = 500*time.Millisecond, 500*time.Millisecond
	}
	dir := t.TempDir()
	logAddress, callerAddress, linkAddress := freeAddress(t), freeAddress(t), freeAddress(t)
	startProcess(t, filepath.Join(bin, "standin"), "platform", "--listen", logAddress)
	pid := startProcess(t, filepath.Join(bin, "lavendercourse"), "entry", "--settings", writeSettings(t, dir, logAddress, callerAddress, linkAddress))
	log := logservice.New(logservice.Config{Address: logAddress})
	counters := link.NewCounters()
	waitForListener(t, linkAddress)
	agents, err := peers.NewAgents(peers.AgentsConfig{Count: w.agents, EntryAddress: linkAddress, Domains: 12, RunTime: max(w.runTime, 1), Counters: counters})
	assert.NilError(t, err)
	defer agents.Close()
	entries, err := peers.NewEntries(peers.EntriesConfig{Count: w.entries, EntryAddress: linkAddress, Log: log, Counters: counters})
	assert.NilError(t, err)
	defer entries.Close()
	waitForHealthy(t, callerAddress)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	generateLoad(ctx, t, &wg, callerAddress, w)
	time.Sleep(warmup)
	cpu, frames, bytes, starts, startTime := cpuTime(t, pid), 0.0, 0.0, agents.StartCount(), time.Now()
	frames0, bytes0 := controlTraffic(counters)
	time.Sleep(window)
	elapsed := time.Since(startTime).Seconds()
	frames1, bytes1 := controlTraffic(counters)
	frames, bytes = float64(frames1-frames0), float64(bytes1-bytes0)
	return point{
		x: x, cpu: 100 * (cpuTime(t, pid) - cpu) / elapsed, memory: residentMB(t, pid),
		messages: frames / elapsed, bytes: bytes / elapsed, starts: float64(agents.StartCount()-starts) / elapsed,
	}
}

// generateLoad submits jobs and publishes configuration changes at the rates of the workload until ctx ends. Address is
// where the entry serves callers.
func generateLoad(ctx context.Context, t *testing.T, wg *sync.WaitGroup, address string, w workload) {
	if w.startRate > 0 {
		period := time.Duration(w.tasksPerJob) * time.Second / time.Duration(w.startRate)
		c := caller.New(caller.Config{Address: address, BlockSize: 500})
		wg.Go(func() {
			for n := 0; waitPeriod(ctx, period); n++ {
				req := &dispatchv1.SubmitRequest{Team: fmt.Sprintf("team-%02d", n%w.teams), DeadlineMs: 20_000}
				for range w.tasksPerJob {
					req.Tasks = append(req.Tasks, &dispatchv1.TaskSpec{Kind: "sleep", Payload: []byte("300")})
				}
				wg.Go(func() {
					resp, err := c.Submit(ctx, req)
					if err == nil && resp.GetVerdict().GetOutcome() != dispatchv1.Outcome_OUTCOME_COMPLETE {
						t.Logf("job ended with %v", resp.GetVerdict())
					}
				})
			}
		})
	}
	if w.changeRate > 0 {
		operator := dispatchv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+address)
		wg.Go(func() {
			for n := 0; waitPeriod(ctx, time.Duration(float64(time.Second)/w.changeRate)); n++ {
				wg.Go(func() {
					key := fmt.Sprintf("team.team-%02d.quota", n%w.teams)
					_, err := operator.PublishConfig(ctx, connect.NewRequest(&dispatchv1.PublishConfigRequest{Key: key, Value: "1000", Force: true}))
					if err != nil && ctx.Err() == nil {
						t.Logf("publishing a configuration change failed: %v", err)
					}
				})
			}
		})
	}
}

// waitPeriod reports false if ctx ended before the period was over.
func waitPeriod(ctx context.Context, period time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(period):
		return true
	}
}

// controlTraffic returns the numbers of frames and bytes sent and received so far. Start and done messages are not
// counted, since they carry tasks.
func controlTraffic(c *link.Counters) (frames, bytes uint64) {
	for i := message.Type(1); i < message.TypeCount; i++ {
		if i == message.TypeStart || i == message.TypeDone {
			continue
		}
		frames += c.Sent(i).Frames + c.Received(i).Frames
		bytes += c.Sent(i).Bytes + c.Received(i).Bytes
	}
	return frames, bytes
}

// logResults logs the points, and if there are at least three, the straight line fitted through each measured quantity
// with its coefficient of determination R2.
func logResults(t *testing.T, s sweep, points []point) {
	var b strings.Builder
	fmt.Fprintf(&b, "sweep %s\n%12s %10s %10s %12s %12s %10s\n", s.name, s.parameter, "cpu %", "memory MB", "control/s", "control B/s", "starts/s")
	for _, p := range points {
		fmt.Fprintf(&b, "%12.0f %10.2f %10.1f %12.1f %12.0f %10.0f\n", p.x, p.cpu, p.memory, p.messages, p.bytes, p.starts)
	}
	if len(points) > 2 {
		writeFit(&b, "cpu %", points, func(p point) float64 { return p.cpu })
		writeFit(&b, "memory MB", points, func(p point) float64 { return p.memory })
		writeFit(&b, "control/s", points, func(p point) float64 { return p.messages })
		writeFit(&b, "control B/s", points, func(p point) float64 { return p.bytes })
	}
	t.Log(b.String())
}

// writeFit writes the line of least squares of one measured quantity against the parameter of the sweep.
func writeFit(b *strings.Builder, name string, points []point, quantity func(point) float64) {
	var x, y []float64
	for _, p := range points {
		x, y = append(x, p.x), append(y, quantity(p))
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	fmt.Fprintf(b, "%12s = %.4g + %.4g * x, R2 %.3f\n", name, intercept, slope, stat.RSquared(x, y, nil, intercept, slope))
}

// buildPrograms builds the programs of the module and returns their directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "../../cmd/...").CombinedOutput()
	assert.NilError(t, err, string(out))
	return bin
}

// startProcess starts a program that is killed at the end of the test. It returns the process ID.
func startProcess(t *testing.T, path string, args ...string) int {
	t.Helper()
	cmd := exec.Command(path, args...)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process.Pid
}

// writeSettings writes the settings file of the measured entry to dir and returns its path.
func writeSettings(t *testing.T, dir, logAddress, callerAddress, linkAddress string) string {
	t.Helper()
	path := filepath.Join(dir, "entry.ini")
	text := fmt.Sprintf("[place]\nregion = south\ndomain = domain-00\n[entry]\nname = measured\ncallers = %s\nlinks = %s\n[platform]\naddress = %s\n",
		callerAddress, linkAddress, logAddress)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// freeAddress returns a loopback address whose port was free just now.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// waitForListener waits until the address accepts connections.
func waitForListener(t *testing.T, address string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = c.Close()
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// waitForHealthy waits until the health check of the entry succeeds.
func waitForHealthy(t *testing.T, address string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + address + "/health")
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d", resp.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// cpuTime returns the user and system time that a process has used, in seconds.
func cpuTime(t *testing.T, pid int) float64 {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(t, err)
	// The command name, in parentheses, may contain spaces, so the fields are counted from the end of it.
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	assert.NilError(t, err)
	system, err := strconv.Atoi(fields[12])
	assert.NilError(t, err)
	const ticksPerSecond = 100
	return float64(user+system) / ticksPerSecond
}

// residentMB returns the resident memory of a process in MB.
func residentMB(t *testing.T, pid int) float64 {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	assert.NilError(t, err)
	pages, err := strconv.Atoi(strings.Fields(string(b))[1])
	assert.NilError(t, err)
	return float64(pages*os.Getpagesize()) / (1 << 20)
}
