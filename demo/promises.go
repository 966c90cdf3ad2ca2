package demo

import (
	"fmt"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// promiseLimit is the time in ms within which drains, departures and configuration changes must be in force.
const promiseLimit = 4 * clock.Second

// Finding is the result of checking one promise of the design page.
type Finding struct {
	Number  int    `json:"number"`
	Promise string `json:"promise"`
	Held    bool   `json:"held"`
	// Seen counts the events that the promise was checked on. A promise that was not checked does not count as held.
	Seen     string   `json:"seen"`
	Breaches []string `json:"breaches,omitempty"`
}

// CheckPromises checks the nine promises. It relies only on the record, never on the system's own counters.
func CheckPromises(r Record) []Finding {
	findings := []Finding{
		r.checkTaskStarts(), r.checkNoPartialResponses(), r.checkDrains(), r.checkResponses(), r.checkRefusals(),
		r.checkCalls(), r.checkDepartures(), r.checkGracefulShutdown(), r.checkConfiguration(),
	}
	for i := range findings {
		findings[i].Number = i + 1
	}
	return findings
}

// Held reports whether every promise was checked and held.
func Held(findings []Finding) bool {
	for _, f := range findings {
		if !f.Held {
			return false
		}
	}
	return len(findings) > 0
}

// findingBuilder collects the breaches of one promise.
type findingBuilder struct {
	promise  string
	breaches []string
	// checked is false if the run had no event that could have broken the promise.
	checked bool
}

func (f *findingBuilder) breach(format string, args ...any) {
	f.breaches = append(f.breaches, fmt.Sprintf(format, args...))
}

func (f *findingBuilder) result(format string, args ...any) Finding {
	return Finding{
		Promise: f.promise, Held: f.checked && len(f.breaches) == 0,
		Seen: fmt.Sprintf(format, args...), Breaches: f.breaches,
	}
}

func (r Record) checkTaskStarts() Finding {
	f := findingBuilder{promise: "every task starts at most once, even when resubmitted"}
	starts, tasks := 0, map[string]int{}
	for _, s := range r.Journal {
		if !s.Call {
			starts++
			tasks[taskName(s.Job, s.Task)]++
		}
	}
	for name, n := range tasks {
		if n > 1 {
			f.breach("task %s started %d times", name, n)
		}
	}
	repeated := len(r.Submissions) - len(r.countByID())
	f.checked = starts > 0 && repeated > 0
	return f.result("%d starts of %d tasks, %d resubmissions", starts, len(tasks), repeated)
}

func (r Record) checkNoPartialResponses() Finding {
	f := findingBuilder{promise: "every response is complete or failed, never partial"}
	started := map[string]bool{}
	for _, s := range r.Journal {
		started[taskName(s.Job, s.Task)] = true
	}
	complete, other := 0, 0
	for _, s := range r.Submissions {
		switch {
		case s.Response.Failure != "":
			// Reported by checkResponses.
		case s.Response.Outcome != lavendercourse.OutcomeComplete:
			other++
			if len(s.Response.Results) > 0 {
				f.breach("job %s is not complete and has %d results", s.ID, len(s.Response.Results))
			}
		default:
			complete++
			if len(s.Response.Results) != len(s.Payloads) {
				f.breach("job %s is complete with %d results for %d tasks", s.ID, len(s.Response.Results), len(s.Payloads))
			}
			for i := range s.Payloads {
				if !started[taskName(s.ID, uint32(i))] {
					f.breach("job %s is complete and task %d never started", s.ID, i)
				}
			}
		}
	}
	f.checked = complete > 0 && other > 0
	return f.result("%d complete, %d others without results", complete, other)
}

func (r Record) checkDrains() Finding {
	f := findingBuilder{promise: "no task starts in a failure domain 4 s after it was drained"}
	before, maxDelay, after := 0, clock.Millis(0), 0
	f.checked = len(r.Drains) > 0
	for _, d := range r.Drains {
		for _, s := range r.Journal {
			switch {
			case s.Domain != d.Domain:
			case s.Time < d.Accepted:
				before++
			case s.Time >= d.Restored:
				after++
			default:
				maxDelay = max(maxDelay, s.Time-d.Accepted)
				if s.Time-d.Accepted > promiseLimit {
					f.breach("%s started in %s %d ms after the drain", taskName(s.Job, s.Task), s.Domain, s.Time-d.Accepted)
				}
			}
		}
		// The check proves nothing unless the domain ran work before the drain and stayed drained beyond the limit.
		f.checked = f.checked && before > 0 && d.Restored-d.Accepted > promiseLimit
	}
	return f.result("%d starts there before, the last one %d ms after the drain, %d after the return", before, maxDelay, after)
}

func (r Record) checkResponses() Finding {
	f := findingBuilder{promise: "every caller gets the whole response to its own request"}
	results := 0
	check := func(request string, payloads []string, resp Response) {
		if resp.Failure != "" {
			f.breach("%s got no response: %s", request, resp.Failure)
			return
		}
		if resp.Outcome != lavendercourse.OutcomeComplete {
			return
		}
		if len(resp.Results) != len(payloads) {
			f.breach("%s got %d results for %d payloads", request, len(resp.Results), len(payloads))
			return
		}
		for i, p := range payloads {
			if resp.Results[i] != p {
				f.breach("%s sent %q and got %q", request, p, resp.Results[i])
				continue
			}
			results++
		}
	}
	for _, s := range r.Submissions {
		check("job "+s.ID, s.Payloads, s.Response)
	}
	for _, c := range r.Calls {
		check("call "+c.Payload, []string{c.Payload}, c.Response)
	}
	f.checked = results > 0
	return f.result("%d results match their payloads", results)
}

func (r Record) checkRefusals() Finding {
	f := findingBuilder{promise: `a refusal that says "not run" is true`}
	// Of two bodies with one id, the refused one has more tasks, so a start beyond the tasks of the other is its own.
	allowed := map[string]int{}
	for _, s := range r.Submissions {
		if !s.Response.saysNotRun() {
			allowed[s.ID] = max(allowed[s.ID], len(s.Payloads))
		}
	}
	refused, payloads := map[string]bool{}, map[string]bool{}
	jobs, calls := 0, 0
	for _, s := range r.Submissions {
		if s.Response.saysNotRun() {
			jobs++
			refused[s.ID] = true
		}
	}
	for _, c := range r.Calls {
		if c.Response.saysNotRun() {
			calls++
			payloads[c.Payload] = true
		}
	}
	for _, s := range r.Journal {
		if !s.Call && refused[s.Job] && int(s.Task) >= allowed[s.Job] {
			f.breach("%s was refused as not run and started on %s", taskName(s.Job, s.Task), s.Worker)
		}
		if s.Call && payloads[s.Payload] {
			f.breach("call %s was refused as not run and started on %s", s.Payload, s.Worker)
		}
	}
	f.checked = jobs > 0
	return f.result("%d submissions and %d calls refused as not run", jobs, calls)
}

func (r Response) saysNotRun() bool {
	return r.Failure == "" && r.Outcome != lavendercourse.OutcomeUnknown && !r.Ran
}

func (r Record) checkCalls() Finding {
	f := findingBuilder{promise: "a non-idempotent call runs at most once"}
	runs := map[string]int{}
	for _, s := range r.Journal {
		if s.Call {
			runs[s.Payload]++
		}
	}
	nonIdempotent := 0
	for _, c := range r.Calls {
		if c.Response.Outcome == lavendercourse.OutcomeComplete && runs[c.Payload] == 0 {
			f.breach("call %s is complete and never ran", c.Payload)
		}
		if c.Idempotent {
			continue
		}
		nonIdempotent++
		if runs[c.Payload] > 1 {
			f.breach("call %s ran %d times", c.Payload, runs[c.Payload])
		}
	}
	f.checked = nonIdempotent > 0
	return f.result("%d non-idempotent calls", nonIdempotent)
}

func (r Record) checkDepartures() Finding {
	f := findingBuilder{promise: "a leaving backend server gets no new work after 4 s"}
	before, maxDelay := 0, clock.Millis(0)
	f.checked = len(r.Departures) > 0
	for _, d := range r.Departures {
		for _, s := range r.Journal {
			switch {
			case s.Worker != d.Worker || s.Time >= d.Restarted:
			case s.Time < d.StopRequested:
				before++
			default:
				maxDelay = max(maxDelay, s.Time-d.StopRequested)
				if s.Time-d.StopRequested > promiseLimit {
					f.breach("%s started on %s %d ms after it was told to leave", taskName(s.Job, s.Task), s.Worker, s.Time-d.StopRequested)
				}
			}
		}
		f.checked = f.checked && before > 0 && d.Restarted-d.StopRequested > promiseLimit
	}
	return f.result("%d starts there before, the last one %d ms after", before, maxDelay)
}

func (r Record) checkGracefulShutdown() Finding {
	f := findingBuilder{promise: "a graceful shutdown cuts off no request"}
	requests := 0
	check := func(request string, resp Response) {
		if resp.Outcome != lavendercourse.OutcomeComplete {
			f.breach("%s ended with outcome %d, reason %d", request, resp.Outcome, resp.Reason)
			return
		}
		requests++
	}
	for _, s := range r.Submissions {
		if s.Plain {
			check("job "+s.ID, s.Response)
		}
	}
	for _, c := range r.Calls {
		check("call "+c.Payload, c.Response)
	}
	for _, d := range r.Departures {
		if d.Err != "" {
			f.breach("agent of %s: %s", d.Worker, d.Err)
		}
	}
	f.checked = requests > 0 && len(r.Departures) > 0
	return f.result("%d requests complete, %d agents stopped", requests, len(r.Departures))
}

func (r Record) checkConfiguration() Finding {
	f := findingBuilder{promise: "an accepted configuration is in force everywhere within 4 s and never reverts"}
	newest, contents := map[string]uint64{}, map[uint64]string{}
	maxDelay := clock.Millis(0)
	for _, v := range r.Views {
		if v.Version < newest[v.Entry] {
			f.breach("%s went back from version %d to %d", v.Entry, newest[v.Entry], v.Version)
		}
		newest[v.Entry] = max(newest[v.Entry], v.Version)
		if old, ok := contents[v.Version]; ok && old != v.Content {
			f.breach("%s has another version %d than the others", v.Entry, v.Version)
		}
		contents[v.Version] = v.Content
		for _, c := range r.Changes {
			if v.Requested < c.Accepted || v.Version >= c.Version {
				continue
			}
			maxDelay = max(maxDelay, v.Requested-c.Accepted)
			if v.Requested-c.Accepted > promiseLimit {
				f.breach("%s does not have version %d %d ms after it was accepted", v.Entry, c.Version, v.Requested-c.Accepted)
			}
		}
	}
	for entry, version := range newest {
		for _, c := range r.Changes {
			if version < c.Version {
				f.breach("%s never showed version %d", entry, c.Version)
			}
		}
	}
	f.checked = len(r.Changes) > 0 && len(newest) > 1
	return f.result("%d changes seen by %d entries in %d views, the latest %d ms after", len(r.Changes), len(newest), len(r.Views), maxDelay)
}

func (r Record) countByID() map[string]int {
	n := map[string]int{}
	for _, s := range r.Submissions {
		n[s.ID]++
	}
	return n
}
