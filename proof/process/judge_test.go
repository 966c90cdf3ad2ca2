package process

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/standin/worker"
)

// bound is the time within which a change must hold everywhere.
const bound = 4 * time.Second

// journal is the starts that workers saw.
type journal []worker.Start

// startedTwice returns a finding for each task, and each call by its payload, that started more than once.
func (j journal) startedTwice() []string {
	count := map[string]int{}
	for _, s := range j {
		switch {
		case !s.Call:
			count[fmt.Sprintf("task %s/%d", s.Job, s.Task)]++
		case strings.HasPrefix(s.Payload, "once"):
			count["call "+s.Payload]++
		}
	}
	var findings []string
	for what, n := range count {
		if n > 1 {
			findings = append(findings, fmt.Sprintf("%s started %d times", what, n))
		}
	}
	return findings
}

// startedBetween returns a finding for each start in a failure domain in the given time.
func (j journal) startedBetween(domain string, from, until time.Time) []string {
	var findings []string
	for _, s := range j {
		if s.Domain == domain && s.Time.After(from) && s.Time.Before(until) {
			findings = append(findings, fmt.Sprintf("%s started %s/%d %s after the bound", s.Worker, s.Job, s.Task, s.Time.Sub(from)))
		}
	}
	return findings
}

// count returns the starts of a job's tasks.
func (j journal) count(job string) int {
	n := 0
	for _, s := range j {
		if s.Job == job {
			n++
		}
	}
	return n
}

// ledger holds the answers that callers got, in the order in which they got them.
type ledger struct {
	mu      sync.Mutex
	answers []answer
}

type answer struct {
	request *dispatchv1.SubmitRequest
	id      string
	verdict *dispatchv1.Verdict
	results [][]byte
	// other is set if the request had another body than the first one with this id.
	other bool
}

func (l *ledger) add(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
}

// outcomes counts the answers by outcome.
func (l *ledger) outcomes() map[dispatchv1.Outcome]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := map[dispatchv1.Outcome]int{}
	for _, a := range l.answers {
		n[a.verdict.GetOutcome()]++
	}
	return n
}

// judge compares the answers with each other and with the journal.
func (l *ledger) judge(j journal) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	findings := j.startedTwice()
	failed, refused := map[string]bool{}, map[string]bool{}
	for _, a := range l.answers {
		out := a.verdict.GetOutcome()
		switch {
		case out == dispatchv1.Outcome_OUTCOME_COMPLETE && a.request != nil && !isWhole(a):
			findings = append(findings, "partial or foreign answer for "+a.id)
		case out != dispatchv1.Outcome_OUTCOME_COMPLETE && len(a.results) > 0:
			findings = append(findings, "results without a complete answer for "+a.id)
		case out == dispatchv1.Outcome_OUTCOME_COMPLETE && (failed[a.id] || refused[a.id]):
			findings = append(findings, "complete after another answer for "+a.id)
		case a.other:
			continue
		}
		failed[a.id] = failed[a.id] || out == dispatchv1.Outcome_OUTCOME_FAILED
		refused[a.id] = refused[a.id] || out == dispatchv1.Outcome_OUTCOME_REFUSED ||
			(out == dispatchv1.Outcome_OUTCOME_FAILED && a.verdict.GetRan() == dispatchv1.Ran_RAN_NOTHING)
	}
	for id := range refused {
		if refused[id] && j.count(id) > 0 {
			findings = append(findings, fmt.Sprintf("said \"not run\" of %s, which has %d starts", id, j.count(id)))
		}
	}
	return findings
}

func isWhole(a answer) bool {
	return slices.EqualFunc(a.request.GetTasks(), a.results, func(t *dispatchv1.TaskSpec, r []byte) bool {
		return bytes.Equal(t.GetPayload(), r)
	})
}

// check fails the test if there is a finding.
func check(t *testing.T, findings []string) {
	t.Helper()
	if len(findings) > 0 {
		t.Errorf("%d findings:\n%s", len(findings), strings.Join(findings[:min(len(findings), 10)], "\n"))
	}
}

// TestJudge shows that each check reports a falsified journal or ledger, so that a passing run means something.
func TestJudge(t *testing.T) {
	at := time.Now()
	request := &dispatchv1.SubmitRequest{Tasks: []*dispatchv1.TaskSpec{{Payload: []byte("1 a")}, {Payload: []byte("1 b")}}}
	verdict := func(o dispatchv1.Outcome, ran dispatchv1.Ran) *dispatchv1.Verdict {
		return &dispatchv1.Verdict{Outcome: o, Ran: ran}
	}
	complete := answer{
		request: request, id: "job", results: [][]byte{[]byte("1 a"), []byte("1 b")},
		verdict: verdict(dispatchv1.Outcome_OUTCOME_COMPLETE, dispatchv1.Ran_RAN_SOME),
	}
	failed := answer{request: request, id: "job", verdict: verdict(dispatchv1.Outcome_OUTCOME_FAILED, dispatchv1.Ran_RAN_SOME)}
	refused := answer{request: request, id: "job", verdict: verdict(dispatchv1.Outcome_OUTCOME_REFUSED, dispatchv1.Ran_RAN_NOTHING)}
	unrun := answer{request: request, id: "job", verdict: verdict(dispatchv1.Outcome_OUTCOME_FAILED, dispatchv1.Ran_RAN_NOTHING)}
	with := func(a answer, results ...string) answer {
		a.results = nil
		for _, r := range results {
			a.results = append(a.results, []byte(r))
		}
		return a
	}
	sound := journal{{Job: "job", Task: 0, Domain: "south", Time: at}, {Job: "job", Task: 1, Domain: "north", Time: at}}
	scenarios := []struct {
		name     string
		journal  journal
		answers  []answer
		findings int
	}{
		{"sound", sound, []answer{complete, complete}, 0},
		{"failed with starts", sound, []answer{failed}, 0},
		{"refused without starts", nil, []answer{refused}, 0},
		{"task started twice", append(sound, sound[0]), nil, 1},
		{"call started twice", journal{{Call: true, Payload: "once 1"}, {Call: true, Payload: "once 1"}}, nil, 1},
		{"partial answer", sound, []answer{with(complete, "1 a")}, 1},
		{"crossed answer", sound, []answer{with(complete, "1 b", "1 a")}, 1},
		{"failed with results", sound, []answer{with(failed, "1 a")}, 1},
		{"complete after failed", sound, []answer{failed, complete}, 1},
		{"refused but started", sound, []answer{refused}, 1},
		{"failed, not run, but started", sound, []answer{unrun}, 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			l := &ledger{answers: s.answers}
			assert.Equal(t, len(l.judge(s.journal)), s.findings, "%v", l.judge(s.journal))
		})
	}
	assert.Equal(t, len(sound.startedBetween("north", at.Add(-time.Second), at.Add(time.Second))), 1)
	assert.Equal(t, len(sound.startedBetween("north", at.Add(time.Second), at.Add(2*time.Second))), 0)
}
