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

// propagationBound is the time within which a drain, a configuration change or the departure of an agent must take
// effect everywhere.
const propagationBound = 4 * time.Second

// journal lists the starts of tasks and calls that backend servers recorded.
type journal []worker.Start

// duplicateStarts returns a finding for each task and each non-idempotent call that started more than once. Such calls
// are identified by their payload, which starts with "once".
func (j journal) duplicateStarts() []string {
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
	for item, n := range count {
		if n > 1 {
			findings = append(findings, fmt.Sprintf("%s started %d times", item, n))
		}
	}
	return findings
}

// startsBetween returns a finding for each start in a failure domain between from and until.
func (j journal) startsBetween(domain string, from, until time.Time) []string {
	var findings []string
	for _, s := range j {
		if s.Domain == domain && s.Time.After(from) && s.Time.Before(until) {
			findings = append(findings, fmt.Sprintf("%s started %s/%d %s after the time from which no start is allowed", s.Worker, s.Job, s.Task, s.Time.Sub(from)))
		}
	}
	return findings
}

// startCount returns the number of starts of a job's tasks.
func (j journal) startCount(job string) int {
	n := 0
	for _, s := range j {
		if s.Job == job {
			n++
		}
	}
	return n
}

// ledger records the answers that callers got, in the order of their arrival.
type ledger struct {
	mu      sync.Mutex
	answers []answer
}

type answer struct {
	// request is nil for answers to status and cancel requests.
	request *dispatchv1.SubmitRequest
	id      string
	verdict *dispatchv1.Verdict
	results [][]byte
	// conflicting is set if the body of the request differed from that of the first request with this id.
	conflicting bool
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

// verify checks the answers against each other and against the journal. It returns a finding for each contradiction.
func (l *ledger) verify(j journal) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	findings := j.duplicateStarts()
	failedIDs, refusedIDs := map[string]bool{}, map[string]bool{}
	for _, a := range l.answers {
		outcome := a.verdict.GetOutcome()
		switch {
		case outcome == dispatchv1.Outcome_OUTCOME_COMPLETE && a.request != nil && !resultsMatchRequest(a):
			findings = append(findings, "complete answer with missing or wrong results for "+a.id)
		case outcome != dispatchv1.Outcome_OUTCOME_COMPLETE && len(a.results) > 0:
			findings = append(findings, "results in an answer that is not complete for "+a.id)
		case outcome == dispatchv1.Outcome_OUTCOME_COMPLETE && (failedIDs[a.id] || refusedIDs[a.id]):
			findings = append(findings, "complete after a failed or refused answer for "+a.id)
		case a.conflicting:
			continue
		}
		failedIDs[a.id] = failedIDs[a.id] || outcome == dispatchv1.Outcome_OUTCOME_FAILED
		refusedIDs[a.id] = refusedIDs[a.id] || outcome == dispatchv1.Outcome_OUTCOME_REFUSED ||
			(outcome == dispatchv1.Outcome_OUTCOME_FAILED && a.verdict.GetRan() == dispatchv1.Ran_RAN_NOTHING)
	}
	for id := range refusedIDs {
		if refusedIDs[id] && j.startCount(id) > 0 {
			findings = append(findings, fmt.Sprintf("answered \"not run\" for job %s, which has %d starts", id, j.startCount(id)))
		}
	}
	return findings
}

// resultsMatchRequest reports whether the results are the payloads of all tasks, in their order.
func resultsMatchRequest(a answer) bool {
	return slices.EqualFunc(a.request.GetTasks(), a.results, func(t *dispatchv1.TaskSpec, r []byte) bool {
		return bytes.Equal(t.GetPayload(), r)
	})
}

// checkNoFindings fails the test if there are findings, and prints the first ten.
func checkNoFindings(t *testing.T, findings []string) {
	t.Helper()
	if len(findings) > 0 {
		t.Errorf("%d findings:\n%s", len(findings), strings.Join(findings[:min(len(findings), 10)], "\n"))
	}
}

// TestJudge guards against checks that pass whatever happened: each must report a falsified journal or ledger.
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
	notRun := answer{request: request, id: "job", verdict: verdict(dispatchv1.Outcome_OUTCOME_FAILED, dispatchv1.Ran_RAN_NOTHING)}
	withResults := func(a answer, results ...string) answer {
		a.results = nil
		for _, r := range results {
			a.results = append(a.results, []byte(r))
		}
		return a
	}
	valid := journal{{Job: "job", Task: 0, Domain: "south", Time: at}, {Job: "job", Task: 1, Domain: "north", Time: at}}
	scenarios := []struct {
		name     string
		journal  journal
		answers  []answer
		findings int
	}{
		{"sound", valid, []answer{complete, complete}, 0},
		{"failed with starts", valid, []answer{failed}, 0},
		{"refused without starts", nil, []answer{refused}, 0},
		{"task started twice", append(valid, valid[0]), nil, 1},
		{"call started twice", journal{{Call: true, Payload: "once 1"}, {Call: true, Payload: "once 1"}}, nil, 1},
		{"partial answer", valid, []answer{withResults(complete, "1 a")}, 1},
		{"results swapped", valid, []answer{withResults(complete, "1 b", "1 a")}, 1},
		{"failed with results", valid, []answer{withResults(failed, "1 a")}, 1},
		{"complete after failed", valid, []answer{failed, complete}, 1},
		{"refused but started", valid, []answer{refused}, 1},
		{"failed, not run, but started", valid, []answer{notRun}, 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			l := &ledger{answers: s.answers}
			assert.Equal(t, len(l.verify(s.journal)), s.findings, "%v", l.verify(s.journal))
		})
	}
	assert.Equal(t, len(valid.startsBetween("north", at.Add(-time.Second), at.Add(time.Second))), 1)
	assert.Equal(t, len(valid.startsBetween("north", at.Add(time.Second), at.Add(2*time.Second))), 0)
}
