package demo

import (
	"fmt"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// promiseLimit is the time in ms within which drains, departures and configuration changes must be in force.
const promiseLimit = 4 * clock.Second

// Finding is what a run showed of one promise of the design page.
type Finding struct {
	Number  int    `json:"number"`
	Promise string `json:"promise"`
	Held    bool   `json:"held"`
	// Seen counts the events that the promise was checked on. A promise that was not checked does not count as held.
	Seen     string   `json:"seen"`
	Breaches []string `json:"breaches,omitempty"`
}

// Judge checks the nine promises. It uses only the record, never what the system counts itself.
func Judge(r Record) []Finding {
	findings := []Finding{
		r.startsOnce(), r.wholeOrFailed(), r.drained(), r.ownResponses(), r.refusals(),
		r.callsOnce(), r.departures(), r.uncut(), r.configuration(),
	}
	for i := range findings {
		findings[i].Number = i + 1
	}
	return findings
}

// Held tells whether every promise was checked and held.
func Held(findings []Finding) bool {
	for _, f := range findings {
		if !f.Held {
			return false
		}
	}
	return len(findings) > 0
}

// finding collects the breaches of one promise.
type finding struct {
	promise  string
	breaches []string
	// checked is false if the run had no event that could have broken the promise.
	checked bool
}

func (f *finding) breach(format string, args ...any) {
	f.breaches = append(f.breaches, fmt.Sprintf(format, args...))
}

func (f *finding) end(format string, args ...any) Finding {
	return Finding{
		Promise: f.promise, Held: f.checked && len(f.breaches) == 0,
		Seen: fmt.Sprintf(format, args...), Breaches: f.breaches,
	}
}

func (r Record) startsOnce() Finding {
	f := finding{promise: "every task starts at most once, even when resubmitted"}
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
	repeated := len(r.Submissions) - len(r.byID())
	f.checked = starts > 0 && repeated > 0
	return f.end("%d starts of %d tasks, %d resubmissions", starts, len(tasks), repeated)
}

func (r Record) wholeOrFailed() Finding {
	f := finding{promise: "every response is complete or failed, never partial"}
	started := map[string]bool{}
	for _, s := range r.Journal {
		started[taskName(s.Job, s.Task)] = true
	}
	complete, other := 0, 0
	for _, s := range r.Submissions {
		switch {
		case s.Response.Lost != "":
			// Reported by ownResponses.
		case s.Response.Outcome != lavendercourse.Complete:
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
	return f.end("%d complete, %d others without results", complete, other)
}

func (r Record) drained() Finding {
	f := finding{promise: "no task starts in a failure domain 4 s after it was drained"}
	before, late, after := 0, clock.Millis(0), 0
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
				late = max(late, s.Time-d.Accepted)
				if s.Time-d.Accepted > promiseLimit {
					f.breach("%s started in %s %d ms after the drain", taskName(s.Job, s.Task), s.Domain, s.Time-d.Accepted)
				}
			}
		}
		// Without work before the drain, or time after the limit, nothing could have been broken.
		f.checked = f.checked && before > 0 && d.Restored-d.Accepted > promiseLimit
	}
	return f.end("%d starts there before, the last one %d ms after the drain, %d after the return", before, late, after)
}

func (r Record) ownResponses() Finding {
	f := finding{promise: "every caller gets the whole response to its own request"}
	results := 0
	check := func(what string, payloads []string, resp Response) {
		if resp.Lost != "" {
			f.breach("%s got no response: %s", what, resp.Lost)
			return
		}
		if resp.Outcome != lavendercourse.Complete {
			return
		}
		if len(resp.Results) != len(payloads) {
			f.breach("%s got %d results for %d payloads", what, len(resp.Results), len(payloads))
			return
		}
		for i, p := range payloads {
			if resp.Results[i] != p {
				f.breach("%s sent %q and got %q", what, p, resp.Results[i])
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
	return f.end("%d results match their payloads", results)
}

func (r Record) refusals() Finding {
	f := finding{promise: `a refusal that says "not run" is true`}
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
	return f.end("%d submissions and %d calls refused as not run", jobs, calls)
}

func (r Response) saysNotRun() bool {
	return r.Lost == "" && r.Outcome != lavendercourse.Unknown && !r.Ran
}

func (r Record) callsOnce() Finding {
	f := finding{promise: "a non-idempotent call runs at most once"}
	runs := map[string]int{}
	for _, s := range r.Journal {
		if s.Call {
			runs[s.Payload]++
		}
	}
	single := 0
	for _, c := range r.Calls {
		if c.Response.Outcome == lavendercourse.Complete && runs[c.Payload] == 0 {
			f.breach("call %s is complete and never ran", c.Payload)
		}
		if c.Idempotent {
			continue
		}
		single++
		if runs[c.Payload] > 1 {
			f.breach("call %s ran %d times", c.Payload, runs[c.Payload])
		}
	}
	f.checked = single > 0
	return f.end("%d non-idempotent calls", single)
}

func (r Record) departures() Finding {
	f := finding{promise: "a leaving backend server gets no new work after 4 s"}
	before, late := 0, clock.Millis(0)
	f.checked = len(r.Departures) > 0
	for _, d := range r.Departures {
		for _, s := range r.Journal {
			switch {
			case s.Worker != d.Worker || s.Time >= d.Back:
			case s.Time < d.Told:
				before++
			default:
				late = max(late, s.Time-d.Told)
				if s.Time-d.Told > promiseLimit {
					f.breach("%s started on %s %d ms after it was told to leave", taskName(s.Job, s.Task), s.Worker, s.Time-d.Told)
				}
			}
		}
		f.checked = f.checked && before > 0 && d.Back-d.Told > promiseLimit
	}
	return f.end("%d starts there before, the last one %d ms after", before, late)
}

func (r Record) uncut() Finding {
	f := finding{promise: "a graceful shutdown cuts off no request"}
	requests := 0
	check := func(what string, resp Response) {
		if resp.Outcome != lavendercourse.Complete {
			f.breach("%s ended with outcome %d, reason %d", what, resp.Outcome, resp.Reason)
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
	return f.end("%d requests complete, %d agents stopped", requests, len(r.Departures))
}

func (r Record) configuration() Finding {
	f := finding{promise: "an accepted configuration is in force everywhere within 4 s and never reverts"}
	newest, contents := map[string]uint64{}, map[uint64]string{}
	late := clock.Millis(0)
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
			if v.Asked < c.Accepted || v.Version >= c.Version {
				continue
			}
			late = max(late, v.Asked-c.Accepted)
			if v.Asked-c.Accepted > promiseLimit {
				f.breach("%s does not have version %d %d ms after it was accepted", v.Entry, c.Version, v.Asked-c.Accepted)
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
	return f.end("%d changes seen by %d entries in %d views, the latest %d ms after", len(r.Changes), len(newest), len(r.Views), late)
}

func (r Record) byID() map[string]int {
	n := map[string]int{}
	for _, s := range r.Submissions {
		n[s.ID]++
	}
	return n
}
