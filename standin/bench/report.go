package bench

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lavendercourse/lavendercourse/message"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

// revision is the commit of the program. It is set when the program is linked, since go build does not find it in a
// git worktree:
//
//	go build -ldflags \
//		"-X github.com/lavendercourse/lavendercourse/standin/bench.revision=$(git describe --always --dirty)" \
//		./cmd/standin
var revision = "unknown"

// Report is the result of one run.
type Report struct {
	Config   Config  `json:"config"`
	Revision string  `json:"revision"`
	Seconds  float64 `json:"seconds"`
	// Cores is the mean number of processor cores in use by the whole system and its callers.
	Cores float64 `json:"cores"`
	// LoadAverage is that of the machine before and after the run.
	LoadAverage [2]float64     `json:"loadaverage"`
	Jobs        Ratios         `json:"jobs"`
	Calls       Ratios         `json:"calls"`
	Outcomes    map[string]int `json:"outcomes"`
	Messages    Messages       `json:"messages"`
	Outage      *Outage        `json:"outage,omitempty"`
	// Rows holds one row for each arrival, for the analysis of slow or failed ones.
	Rows []Row `json:"-"`
}

// Row is the result of one arrival. At, Longest, Took and Ideal are in ms.
type Row struct {
	At      float64
	Kind    string
	Class   int
	Team    int
	Tasks   int
	Longest int64
	Took    float64
	Ideal   float64
	Outcome string
}

// Ratios holds the quantiles of measured time divided by ideal time over the complete jobs or calls. AddedP50 and
// AddedP99 are quantiles of the difference in ms; differences below zero count as zero.
type Ratios struct {
	Count    int     `json:"count"`
	P50      float64 `json:"p50"`
	P95      float64 `json:"p95"`
	P99      float64 `json:"p99"`
	Max      float64 `json:"max"`
	AddedP50 float64 `json:"addedp50"`
	AddedP99 float64 `json:"addedp99"`
}

// Messages are the frames between processes, each counted once.
type Messages struct {
	Frames map[string]uint64 `json:"frames"`
	Bytes  uint64            `json:"bytes"`
	// Tasks and Calls are the starts in the journals of the workers.
	Tasks int `json:"tasks"`
	Calls int `json:"calls"`
	// PerStart is the number of frames per started task or call, heartbeats left out; WithHeartbeats includes them.
	PerStart       float64 `json:"perstart"`
	WithHeartbeats float64 `json:"withheartbeats"`
	// WastedFrames is the number of start and done frames beyond the starts in the journals, plus all stop and resume
	// frames. Lost is the number of frames sent and not received.
	WastedFrames int64  `json:"idle"`
	Heartbeats   uint64 `json:"heartbeats"`
	Lost         int64  `json:"lost"`
	// Wasted is the share of WastedFrames among all but heartbeats, in percent. WastedAll counts heartbeats as wasted.
	Wasted    float64 `json:"wasted"`
	WastedAll float64 `json:"wastedall"`
}

// Outage holds the results for a failure domain that went out of service and returned. Done, Possible and UnstartedWork
// are in task-seconds.
type Outage struct {
	Done      float64 `json:"done"`
	Possible  float64 `json:"possible"`
	Share     float64 `json:"share"`
	FullUseMs int64   `json:"fullusems"`
	// Tasks is the number of tasks that ran in the failure domain when it was killed, and AffectedJobs that of their jobs.
	Tasks        int `json:"tasks"`
	AffectedJobs int `json:"touched"`
	// Lost is the number of jobs that did not complete, and LostWithoutAbortedTask that of the lost jobs with no task
	// aborted by the kill.
	Lost                   int `json:"lost"`
	LostWithoutAbortedTask int `json:"elsewhere"`
	// UnstartedWork is the work of the tasks of lost jobs that never started. It is part of Possible.
	UnstartedWork float64 `json:"dropped"`
}

func newReport(r *runner, f frames) *Report {
	rep := &Report{Config: r.cfg, Revision: revision, Outcomes: map[string]int{}}
	slots := r.sys.slotsByDomain()
	usable := append([]int(nil), slots...)
	for i := range r.faultyWorkers() {
		usable[r.sys.nodes[i*rackSize].group] -= r.cfg.Slots
	}
	best := simulateIdeal(r.trace, usable, r.sys.net.callers, r.outage)
	rep.ratios(r, best)
	all := r.journal()
	rep.messages(f, all)
	if r.outage != nil {
		rep.Outage = newOutage(r, best, all, slots)
	}
	return rep
}

// ratios compares the time of each complete response with the ideal one. The ideal time includes the two trips between
// entry and worker and the way back to the caller; the way to the entry is part of the ideal queue.
func (rep *Report) ratios(r *runner, best ideal) {
	trips := 2*r.sys.net.links + r.sys.net.callers
	var ratio, added [2]*hdrhistogram.Histogram
	for k := range ratio {
		ratio[k], added[k] = newHistogram(), newHistogram()
	}
	for i, g := range r.responses {
		rep.Outcomes[outcomeName(r.trace[i], g)]++
		rep.Rows = append(rep.Rows, newRow(r.trace[i], g, best.ends[i]-r.trace[i].at+trips))
		if !g.complete() || best.ends[i] == 0 {
			continue
		}
		k := 0
		if r.trace[i].call {
			k = 1
		}
		want := best.ends[i] - r.trace[i].at + trips
		_ = ratio[k].RecordValue(max(int64(float64(g.took)/float64(want)*ratioScale), 1))
		_ = added[k].RecordValue(max((g.took - want).Microseconds(), 1))
	}
	rep.Jobs, rep.Calls = newRatios(ratio[0], added[0]), newRatios(ratio[1], added[1])
}

func newRow(a arrival, g response, want time.Duration) Row {
	kind, outcome, _ := strings.Cut(outcomeName(a, g), " ")
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return Row{
		At: ms(a.at), Kind: kind, Class: int(a.class), Team: a.team, Tasks: len(a.runs), Longest: int64(slices.Max(a.runs)),
		Took: ms(g.took), Ideal: ms(want), Outcome: outcome,
	}
}

// WriteRows writes one line of comma-separated values for each arrival.
func (rep *Report) WriteRows(w io.Writer) error {
	out := csv.NewWriter(w)
	_ = out.Write([]string{"at", "kind", "class", "team", "tasks", "longest", "took", "ideal", "outcome"})
	for _, r := range rep.Rows {
		_ = out.Write([]string{
			fmt.Sprint(r.At), r.Kind, fmt.Sprint(r.Class), fmt.Sprint(r.Team), fmt.Sprint(r.Tasks), fmt.Sprint(r.Longest),
			fmt.Sprint(r.Took), fmt.Sprint(r.Ideal), r.Outcome,
		})
	}
	out.Flush()
	return out.Error()
}

func newRatios(ratio, added *hdrhistogram.Histogram) Ratios {
	at := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / ratioScale }
	return Ratios{
		Count: int(ratio.TotalCount()), P50: at(ratio, 50), P95: at(ratio, 95), P99: at(ratio, 99), Max: at(ratio, 100),
		AddedP50: at(added, 50), AddedP99: at(added, 99),
	}
}

func (rep *Report) messages(f frames, all []started) {
	m := &rep.Messages
	m.Frames = map[string]uint64{}
	var total uint64
	for t := range message.Type(message.TypeCount) {
		if f.sent[t] > 0 {
			m.Frames[t.String()] = f.sent[t]
		}
		total += f.sent[t]
		m.Lost += int64(f.sent[t]) - int64(f.received[t])
		switch t {
		case message.TypeHeartbeat, message.TypeRenew, message.TypePulse, message.TypeAck:
			m.Heartbeats += f.sent[t]
		case message.TypeStop, message.TypeResume:
			m.WastedFrames += int64(f.sent[t])
		}
	}
	m.Bytes = f.bytes
	for _, s := range all {
		if s.call {
			m.Calls++
		} else {
			m.Tasks++
		}
	}
	n := int64(len(all))
	m.WastedFrames += max(int64(f.sent[message.TypeStart])-n, 0) + max(int64(f.sent[message.TypeDone])-n, 0)
	rest := total - m.Heartbeats
	m.PerStart = quotient(float64(rest), float64(n))
	m.WithHeartbeats = quotient(float64(total), float64(n))
	m.Wasted = 100 * quotient(float64(m.WastedFrames), float64(rest))
	m.WastedAll = 100 * quotient(float64(m.WastedFrames)+float64(m.Heartbeats), float64(total))
}

func newOutage(r *runner, best ideal, all []started, slots []int) *Outage {
	o := r.outage
	out := &Outage{}
	affectedJobs := map[int]bool{}
	var runs []run
	for _, s := range all {
		switch {
		case s.call:
		case s.cut:
			out.Tasks++
			affectedJobs[s.arrival] = true
		default:
			runs = append(runs, s.run)
		}
	}
	out.AffectedJobs = len(affectedJobs)
	begun := map[[2]int]bool{}
	for _, s := range all {
		if !s.call {
			begun[[2]int{s.arrival, int(s.task)}] = true
		}
	}
	for i, g := range r.responses {
		if r.trace[i].call || g.complete() {
			continue
		}
		out.Lost++
		if !affectedJobs[i] {
			out.LostWithoutAbortedTask++
		}
		for n, run := range r.trace[i].runs {
			if !begun[[2]int{i, n}] {
				out.UnstartedWork += run.Duration().Seconds()
			}
		}
	}
	end := o.back + recoveryWindow
	out.Done = totalRunTime(runs, o.leave, end).Seconds()
	out.Possible = totalRunTime(best.runs, o.leave, end).Seconds()
	out.Share = quotient(out.Done, out.Possible)
	out.FullUseMs = timeToFullUse(runs, slots, *o).Milliseconds()
	return out
}

func quotient(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func outcomeName(a arrival, g response) string {
	kind := "job"
	if a.call {
		kind = "call"
	}
	if g.err != nil {
		return kind + " error"
	}
	name := strings.ToLower(strings.TrimPrefix(g.verdict.GetOutcome().String(), "OUTCOME_"))
	if g.verdict.GetReason() != dispatchv1.Reason_REASON_UNSPECIFIED {
		name += " " + strings.ToLower(strings.TrimPrefix(g.verdict.GetReason().String(), "REASON_"))
	}
	return kind + " " + name
}

// Write writes the report as a table.
func (rep *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	c, m := rep.Config, rep.Messages
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	p("%s, %s, policy %s, load %d %%, %d s, seed %d, %d entries, balance %s, calls %g, revision %s", c.Preset, c.Shape,
		c.Policy, c.Load, c.Seconds, c.Seed, c.Entries, c.Balance, c.Calls, rep.Revision)
	p("ran %.1f s, %.2f cores, load average %.1f before and %.1f after", rep.Seconds, rep.Cores, rep.LoadAverage[0],
		rep.LoadAverage[1])
	p("\ntime / ideal\tcount\tp50\tp95\tp99\tmax\tadded p50\tadded p99")
	for _, row := range []struct {
		name string
		r    Ratios
	}{{"jobs", rep.Jobs}, {"calls", rep.Calls}} {
		p("%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f ms\t%.1f ms", row.name, row.r.Count, row.r.P50, row.r.P95, row.r.P99,
			row.r.Max, row.r.AddedP50, row.r.AddedP99)
	}
	p("\noutcome\tcount")
	for _, name := range slices.Sorted(maps.Keys(rep.Outcomes)) {
		p("%s\t%d", name, rep.Outcomes[name])
	}
	n := float64(m.Tasks + m.Calls)
	p("\nmessage\tframes\tper start")
	for typ := range message.Type(message.TypeCount) {
		if sent := m.Frames[typ.String()]; sent > 0 {
			p("%s\t%d\t%.4f", typ, sent, quotient(float64(sent), n))
		}
	}
	p("\nstarted\t%d tasks, %d calls", m.Tasks, m.Calls)
	p("messages per start\t%.3f, with heartbeats %.3f", m.PerStart, m.WithHeartbeats)
	p("wasted\t%.2f %%, with heartbeats %.2f %%", m.Wasted, m.WastedAll)
	p("idle, heartbeats, lost\t%d, %d, %d", m.WastedFrames, m.Heartbeats, m.Lost)
	if o := rep.Outage; o != nil {
		p("\nwork while a failure domain left and returned\t%.1f of %.1f task-seconds, %.4f", o.Done, o.Possible, o.Share)
		p("full use after the return\t%v", time.Duration(o.FullUseMs)*time.Millisecond)
		p("tasks cut, their jobs\t%d, %d", o.Tasks, o.AffectedJobs)
		p("jobs lost, without a task cut\t%d, %d", o.Lost, o.LostWithoutAbortedTask)
		p("work of lost jobs that never started\t%.1f task-seconds", o.UnstartedWork)
	}
	return t.Flush()
}
