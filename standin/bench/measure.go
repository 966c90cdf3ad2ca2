package bench

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lavendercourse/lavendercourse/message"
	standinworker "github.com/lavendercourse/lavendercourse/standin/worker"
)

const (
	// ratioScale is the number of histogram steps of a ratio of 1.
	ratioScale        = 1000
	maxHistogramValue = 1 << 32
	significantDigits = 3
	// fullUseStep is the interval at which timeToFullUse samples the use of a failure domain that has returned.
	fullUseStep = 10 * time.Millisecond
)

// shapeFaults returns the faults that a workload shape injects into its faulty workers.
func shapeFaults(shape string) standinworker.Faults {
	if shape == "fail" {
		return standinworker.Faults{Fail: true}
	}
	return standinworker.Faults{Lag: lagPercent}
}

// frames counts the frames of all processes by type. Each is counted once, when it is sent.
type frames struct {
	sent     [message.TypeCount]uint64
	received [message.TypeCount]uint64
	bytes    uint64
}

func countFrames(s *system) frames {
	var f frames
	for t := range message.Type(message.TypeCount) {
		c := s.counters.Sent(t)
		f.sent[t] = c.Frames
		f.bytes += c.Bytes
		f.received[t] = s.counters.Received(t).Frames
	}
	return f
}

func (f frames) since(earlier frames) frames {
	for t := range f.sent {
		f.sent[t] -= earlier.sent[t]
		f.received[t] -= earlier.received[t]
	}
	f.bytes -= earlier.bytes
	return f
}

// started is the start of a task or call of the trace, as read from the journal of a worker.
type started struct {
	run
	arrival int
	task    uint32
	call    bool
	// cut is set if the worker was killed before the end.
	cut bool
}

// journal returns the starts of the trace, read from the workers. The journal tells calls apart by their number only,
// so the arrival of a call is not set.
func (r *runner) journal() []started {
	ids := make(map[string]int, len(r.responses))
	for i, g := range r.responses {
		if g.id != "" {
			ids[g.id] = i
		}
	}
	groups := map[string]int{}
	for g, name := range r.sys.net.domains {
		groups[name] = g
	}
	lagging := map[string]bool{}
	for i := range r.faultyWorkers() {
		lagging[r.sys.nodes[i*rackSize].name] = r.cfg.Shape == "straggle"
	}
	var all []started
	for _, w := range r.sys.journals {
		for _, s := range w.Journal() {
			i, ok := ids[s.Job]
			if !ok && !s.Call {
				continue
			}
			v := started{arrival: i, task: s.Task, call: s.Call}
			v.group, v.begin = groups[s.Domain], s.Time.Sub(r.start)
			if !s.Call {
				duration := r.trace[i].runs[s.Task].Duration()
				if lagging[s.Worker] {
					duration = duration * lagPercent / 100
				}
				v.end = v.begin + duration
			}
			if o := r.outage; o != nil && o.kill && v.group == o.group && v.begin < o.leave && v.end > o.leave {
				v.cut = true
			}
			all = append(all, v)
		}
	}
	return all
}

// timeToFullUse returns the time after the return of a failure domain at which its share of slots in use first reached
// that of the whole system, or -1.
func timeToFullUse(runs []run, slots []int, o outage) time.Duration {
	total := 0
	for _, n := range slots {
		total += n
	}
	for at := o.back; at < o.back+4*recoveryWindow; at += fullUseStep {
		here, all := 0, 0
		for _, r := range runs {
			if r.begin <= at && at < r.end {
				all++
				if r.group == o.group {
					here++
				}
			}
		}
		if here > 0 && here*total >= all*slots[o.group] {
			return at - o.back
		}
	}
	return -1
}

func totalRunTime(runs []run, from, to time.Duration) time.Duration {
	var sum time.Duration
	for _, r := range runs {
		sum += r.overlap(from, to)
	}
	return sum
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxHistogramValue, significantDigits)
}

// loadAverage returns the one-minute load average of the machine, or 0 if it is not known.
func loadAverage() float64 {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(b), " ")
	v, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return v
}
