package peers_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/standin/peers"
)

// Guards against a capacity page whose figures of the agent nobody can measure again. It takes the flags of TestSlopes.
func TestAgentSlopes(t *testing.T) {
	bin := build(t)
	for _, s := range []struct {
		slope
		links func(x float64) int
		rate  func(x float64) float64
	}{
		{
			slope{name: "agentlinks", unit: "linked entries", points: []float64{1, 2, 3, 4}},
			func(x float64) int { return int(x) }, func(float64) float64 { return 0 },
		},
		{
			slope{name: "agentstarts", unit: "task starts/s", points: []float64{5, 10, 20, 40}},
			func(float64) int { return 4 }, func(x float64) float64 { return x },
		},
	} {
		if *only != "" && *only != s.name {
			continue
		}
		points := s.points
		if !*full {
			points = points[:1]
		}
		var got []point
		for _, x := range points {
			got = append(got, measureAgent(t, bin, x, s.links(x), s.rate(x)))
		}
		report(t, s.slope, got)
	}
}

func measureAgent(t *testing.T, bin string, x float64, links int, rate float64) point {
	warm, window := 12*time.Second, 10*time.Second
	if !*full {
		warm, window = 2*time.Second, 500*time.Millisecond
	}
	counters := link.NewCounters()
	owners, err := peers.NewOwners(peers.OwnersConfig{Count: links, Rate: rate, Run: 150, Counters: counters})
	assert.NilError(t, err)
	defer owners.Close()
	worker := freeAddress(t)
	start(t, filepath.Join(bin, "standin"), "worker", "--listen", worker)
	path := filepath.Join(t.TempDir(), "agent.ini")
	text := fmt.Sprintf("[place]\nregion = south\ndomain = domain-00\n[agent]\nname = measured\nentries = %s\nworker = %s\n",
		strings.Join(owners.Addresses(), ", "), worker)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	pid := start(t, filepath.Join(bin, "lavendercourse"), "agent", "--settings", path)
	time.Sleep(warm)
	cpu, ended, began := cpuTime(t, pid), owners.Ended(), time.Now()
	frames0, bytes0 := controlTraffic(counters)
	time.Sleep(window)
	span := time.Since(began).Seconds()
	frames1, bytes1 := controlTraffic(counters)
	return point{
		x: x, cpu: 100 * (cpuTime(t, pid) - cpu) / span, memory: residentMB(t, pid),
		messages: float64(frames1-frames0) / span, bytes: float64(bytes1-bytes0) / span,
		starts: float64(owners.Ended()-ended) / span,
	}
}
