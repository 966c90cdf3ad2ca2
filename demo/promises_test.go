package demo

import (
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
)

func complete(results ...string) Response {
	return Response{Outcome: lavendercourse.OutcomeComplete, Ran: true, Results: results}
}

// goodRecord returns the record of a run in which every promise was checked and held.
func goodRecord() Record {
	refused := Response{Outcome: lavendercourse.OutcomeRefused, Reason: lavendercourse.ReasonConflict}
	return Record{
		Journal: []Start{
			{Job: "a", Task: 0, Worker: "w1", Domain: "d1", Time: 1000},
			{Job: "a", Task: 1, Worker: "w2", Domain: "d2", Time: 1000},
			{Job: "b", Task: 0, Worker: "w1", Domain: "d1", Time: 5000},
			{Job: "c.0", Call: true, Worker: "w2", Domain: "d2", Time: 1200, Payload: "c0"},
			{Job: "c.1", Call: true, Worker: "w1", Domain: "d1", Time: 9900, Payload: "c1"},
		},
		Submissions: []Submission{
			{ID: "a", Payloads: []string{"a0", "a1"}, Plain: true, Response: complete("a0", "a1")},
			{ID: "a", Payloads: []string{"a0", "a1"}, Plain: true, Response: complete("a0", "a1")},
			{ID: "a", Payloads: []string{"x0", "x1", "x2"}, Response: refused},
			{ID: "b", Payloads: []string{"b0"}, Response: Response{Outcome: lavendercourse.OutcomeFailed, Ran: true}},
		},
		Calls: []Call{
			{Payload: "c0", Response: complete("c0")},
			{Payload: "c1", Idempotent: true, Response: complete("c1")},
		},
		Drains:     []Drain{{Domain: "d1", Accepted: 2000, Restored: 9000}},
		Departures: []Departure{{Worker: "w2", StopRequested: 2000, Stopped: 2500, Restarted: 8000}},
		Changes:    []Change{{Accepted: 2000, Version: 1}},
		Views: []View{
			{Entry: "e1", Requested: 1000},
			{Entry: "e2", Requested: 5900},
			{Entry: "e1", Requested: 6500, Version: 1, Content: "x"},
			{Entry: "e2", Requested: 6500, Version: 1, Content: "x"},
		},
	}
}

// Guards against CheckPromises reporting a breach in a run that kept every promise.
func TestCheckPromisesAcceptsGoodRecord(t *testing.T) {
	for _, f := range CheckPromises(goodRecord()) {
		assert.Assert(t, f.Held, "%+v", f)
	}
}

// Guards against CheckPromises missing a breach: each case alters the record of a good run and must break exactly the
// promises listed.
func TestCheckPromisesFindsBreaches(t *testing.T) {
	for _, c := range []struct {
		name    string
		falsify func(r *Record)
		broken  []int
	}{
		{"task started twice", func(r *Record) { r.Journal = append(r.Journal, r.Journal[0]) }, []int{1}},
		{"task never started", func(r *Record) { r.Journal = r.Journal[:1] }, []int{2, 6, 7}},
		{"results of a failed job", func(r *Record) { r.Submissions[3].Response.Results = []string{"b0"} }, []int{2}},
		{"result missing", func(r *Record) { r.Submissions[1].Response.Results = []string{"a0"} }, []int{2, 4}},
		{"start in drained domain", func(r *Record) { r.Journal[2].Time = 6001 }, []int{3}},
		{"results crossed", func(r *Record) { r.Submissions[0].Response = complete("a1", "a0") }, []int{4}},
		{"call results crossed", func(r *Record) { r.Calls[0].Response = complete("c1") }, []int{4}},
		{"no response", func(r *Record) { r.Submissions[3].Response = Response{Failure: "timeout"} }, []int{4}},
		{"refused body started", func(r *Record) {
			r.Journal = append(r.Journal, Start{Job: "a", Task: 2, Worker: "w1", Domain: "d1", Time: 1100})
		}, []int{5}},
		{"refused job started", func(r *Record) {
			r.Submissions[3].Response = Response{Outcome: lavendercourse.OutcomeRefused}
		}, []int{5}},
		{"refused call started", func(r *Record) {
			r.Calls[1].Response = Response{Outcome: lavendercourse.OutcomeRefused}
		}, []int{5, 8}},
		{"call ran twice", func(r *Record) { r.Journal = append(r.Journal, r.Journal[3]) }, []int{6}},
		{"call on leaving worker", func(r *Record) { r.Journal[3].Time = 6001 }, []int{7}},
		{"job cut off", func(r *Record) {
			r.Submissions[1].Response = Response{Outcome: lavendercourse.OutcomeFailed, Reason: lavendercourse.ReasonWorker, Ran: true}
		}, []int{8}},
		{"agent did not stop", func(r *Record) { r.Departures[0].Err = "timeout" }, []int{8}},
		{"change came late", func(r *Record) { r.Views[1].Requested = 6001 }, []int{9}},
		{"change never came", func(r *Record) { r.Views = r.Views[:3] }, []int{9}},
		{"version reverted", func(r *Record) { r.Views = append(r.Views, View{Entry: "e1", Requested: 1900}) }, []int{9}},
		{"two contents of a version", func(r *Record) { r.Views[3].Content = "y" }, []int{9}},
		{"nothing seen", func(r *Record) { *r = Record{} }, []int{1, 2, 3, 4, 5, 6, 7, 8, 9}},
		{"drain too short", func(r *Record) { r.Drains[0].Restored = 6000 }, []int{3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := goodRecord()
			c.falsify(&r)
			findings := CheckPromises(r)
			var broken []int
			for _, f := range findings {
				if !f.Held {
					broken = append(broken, f.Number)
				}
			}
			assert.DeepEqual(t, broken, c.broken)
			assert.Assert(t, !Held(findings))
		})
	}
}
