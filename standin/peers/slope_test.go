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

// The slopes are measured with
//
//	go test ./standin/peers -run TestSlopes -timeout 30m -v -args -slopes
//
// Without -slopes only the first point of each is run for a short time, to see that the measurement works.
var (
	full = flag.Bool("slopes", false, "measure all points of the slopes")
	only = flag.String("only", "", "measure only the slope with this name")
)

// point is one measurement of the real process.
type point struct {
	x        float64
	cpu      float64 // share of a core in percent
	memory   float64 // resident MB
	messages float64 // a second, control messages only
	bytes    float64 // a second, control messages only
	starts   float64 // a second
}

// scene is one measured entry with what it is linked to.
type scene struct {
	agents  int
	entries int
	teams   int
	rate    int // task starts a second
	changes float64
	hold    clock.Millis
	// jobTasks is the number of tasks of a job.
	jobTasks int
}

type slope struct {
	name   string
	unit   string
	points []float64
	scene  func(x float64) scene
}

var slopes = []slope{
	{"agents", "linked agents", []float64{100, 200, 400, 800}, func(x float64) scene { return scene{agents: int(x), entries: 3} }},
	{"entries", "other entries", []float64{2, 8, 16, 32, 47}, func(x float64) scene { return scene{agents: 100, entries: int(x)} }},
	{"starts", "task starts/s", []float64{250, 500, 1000, 2000, 4000}, func(x float64) scene {
		return scene{agents: 400, rate: int(x), teams: 10, hold: 300, jobTasks: 100}
	}},
	{"jobs", "jobs/s of one task", []float64{100, 200, 400, 800}, func(x float64) scene {
		return scene{agents: 400, rate: int(x), teams: 10, hold: 300, jobTasks: 1}
	}},
	{"flights", "tasks in flight", []float64{250, 500, 1000, 2000}, func(x float64) scene {
		return scene{agents: 400, rate: 500, teams: 10, hold: clock.Millis(x * 2), jobTasks: 100}
	}},
	{"teams", "teams", []float64{1, 20, 50, 95}, func(x float64) scene {
		return scene{agents: 400, rate: 1000, teams: int(x), hold: 300, jobTasks: 100}
	}},
	{"changes", "configuration changes/s", []float64{0, 1, 4, 16}, func(x float64) scene {
		return scene{agents: 100, entries: 8, changes: x, teams: 95}
	}},
}

// Guards against a capacity page whose figures nobody can measure again.
func TestSlopes(t *testing.T) {
	bin := build(t)
	for _, s := range slopes {
		if *only != "" && *only != s.name {
			continue
		}
		points := s.points
		if !*full {
			points = points[:1]
		}
		var got []point
		for _, x := range points {
			got = append(got, measure(t, bin, x, s.scene(x)))
		}
		report(t, s, got)
	}
}

func measure(t *testing.T, bin string, x float64, sc scene) point {
	warm, window := 12*time.Second, 10*time.Second
	if !*full {
		warm, window = 500*time.Millisecond, 500*time.Millisecond
	}
	dir := t.TempDir()
	logAddress, callers, links := freeAddress(t), freeAddress(t), freeAddress(t)
	start(t, filepath.Join(bin, "standin"), "platform", "--listen", logAddress)
	pid := start(t, filepath.Join(bin, "lavendercourse"), "entry", "--settings", settingsFile(t, dir, logAddress, callers, links))
	log := logservice.New(logservice.Config{Address: logAddress})
	counters := link.NewCounters()
	dial(t, links)
	agents, err := peers.NewAgents(peers.AgentsConfig{Count: sc.agents, Entry: links, Domains: 12, Hold: max(sc.hold, 1), Counters: counters})
	assert.NilError(t, err)
	defer agents.Close()
	entries, err := peers.NewEntries(peers.EntriesConfig{Count: sc.entries, Entry: links, Log: log, Counters: counters})
	assert.NilError(t, err)
	defer entries.Close()
	healthy(t, callers)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	load(ctx, t, &wg, callers, sc)
	time.Sleep(warm)
	cpu, control, bytes, starts, began := cpuTime(t, pid), 0.0, 0.0, agents.Started(), time.Now()
	frames0, bytes0 := controlTraffic(counters)
	time.Sleep(window)
	span := time.Since(began).Seconds()
	frames1, bytes1 := controlTraffic(counters)
	control, bytes = float64(frames1-frames0), float64(bytes1-bytes0)
	return point{
		x: x, cpu: 100 * (cpuTime(t, pid) - cpu) / span, memory: residentMB(t, pid),
		messages: control / span, bytes: bytes / span, starts: float64(agents.Started()-starts) / span,
	}
}

// load submits jobs at the scene's rate and publishes changes.
func load(ctx context.Context, t *testing.T, wg *sync.WaitGroup, address string, sc scene) {
	if sc.rate > 0 {
		period := time.Duration(sc.jobTasks) * time.Second / time.Duration(sc.rate)
		c := caller.New(caller.Config{Address: address, BlockSize: 500})
		wg.Go(func() {
			for n := 0; each(ctx, period); n++ {
				req := &dispatchv1.SubmitRequest{Team: fmt.Sprintf("team-%02d", n%sc.teams), DeadlineMs: 20_000}
				for range sc.jobTasks {
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
	if sc.changes > 0 {
		op := dispatchv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+address)
		wg.Go(func() {
			for n := 0; each(ctx, time.Duration(float64(time.Second)/sc.changes)); n++ {
				wg.Go(func() {
					key := fmt.Sprintf("team.team-%02d.quota", n%sc.teams)
					_, err := op.PublishConfig(ctx, connect.NewRequest(&dispatchv1.PublishConfigRequest{Key: key, Value: "1000", Force: true}))
					if err != nil && ctx.Err() == nil {
						t.Logf("publish: %v", err)
					}
				})
			}
		})
	}
}

func each(ctx context.Context, period time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(period):
		return true
	}
}

// controlTraffic counts the frames and bytes that do not carry tasks, in both directions.
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

// report prints the points and a straight line fitted through each figure, with the standard error of the residuals.
func report(t *testing.T, s slope, points []point) {
	var b strings.Builder
	fmt.Fprintf(&b, "slope %s\n%12s %10s %10s %12s %12s %10s\n", s.name, s.unit, "cpu %", "memory MB", "control/s", "control B/s", "starts/s")
	for _, p := range points {
		fmt.Fprintf(&b, "%12.0f %10.2f %10.1f %12.1f %12.0f %10.0f\n", p.x, p.cpu, p.memory, p.messages, p.bytes, p.starts)
	}
	if len(points) > 2 {
		fit(&b, "cpu %", points, func(p point) float64 { return p.cpu })
		fit(&b, "memory MB", points, func(p point) float64 { return p.memory })
		fit(&b, "control/s", points, func(p point) float64 { return p.messages })
		fit(&b, "control B/s", points, func(p point) float64 { return p.bytes })
	}
	t.Log(b.String())
}

func fit(b *strings.Builder, name string, points []point, of func(point) float64) {
	var x, y []float64
	for _, p := range points {
		x, y = append(x, p.x), append(y, of(p))
	}
	base, per := stat.LinearRegression(x, y, nil, false)
	fmt.Fprintf(b, "%12s = %.4g + %.4g * x, R2 %.3f\n", name, base, per, stat.RSquared(x, y, nil, base, per))
}

func build(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "../../cmd/...").CombinedOutput()
	assert.NilError(t, err, string(out))
	return bin
}

func start(t *testing.T, path string, args ...string) int {
	t.Helper()
	cmd := exec.Command(path, args...)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process.Pid
}

func settingsFile(t *testing.T, dir, log, callers, links string) string {
	t.Helper()
	path := filepath.Join(dir, "entry.ini")
	text := fmt.Sprintf("[place]\nregion = south\ndomain = domain-00\n[entry]\nname = measured\ncallers = %s\nlinks = %s\n[platform]\naddress = %s\n",
		callers, links, log)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func dial(t *testing.T, address string) {
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

func healthy(t *testing.T, address string) {
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

// cpuTime returns the processor time of a process in seconds.
func cpuTime(t *testing.T, pid int) float64 {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(t, err)
	// The command name in parentheses may hold spaces.
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	assert.NilError(t, err)
	system, err := strconv.Atoi(fields[12])
	assert.NilError(t, err)
	const ticksPerSecond = 100
	return float64(user+system) / ticksPerSecond
}

func residentMB(t *testing.T, pid int) float64 {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	assert.NilError(t, err)
	pages, err := strconv.Atoi(strings.Fields(string(b))[1])
	assert.NilError(t, err)
	return float64(pages*os.Getpagesize()) / (1 << 20)
}
