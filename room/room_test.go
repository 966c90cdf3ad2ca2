package room_test

import (
	"errors"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/room"
)

const (
	entryName        = "e1"
	workerName       = "w1"
	firstIncarnation = 1000
	// epoch is the time of day, in ms since the Unix epoch, at time 0 of the runner's clock.
	epoch = 1700000000000
)

var (
	errNoAnswer = errors.New("no answer")
	capacity    = lavendercourse.Resources{CPU: 32000, Memory: 65536}
	need        = lavendercourse.Resources{CPU: 3100, Memory: 64}
)

// harness drives a Table with a simulated worker whose clock is 100 s ahead of the runner's.
type harness struct {
	*testing.T
	table   *room.Table
	now     clock.Millis
	lastEnd int64
	seq     int64
	// percent is the progress that the worker lists for its runs, incarnation the one that it answers with.
	percent     int
	incarnation int64
}

func newHarness(t *testing.T) *harness {
	return &harness{T: t, table: room.New(room.Config{Epoch: epoch}), now: 10 * clock.Second, incarnation: firstIncarnation}
}

// newReadyHarness returns a harness whose worker accepts runs.
func newReadyHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.inherit(workerName)
	h.heartbeat(firstIncarnation, false)
	h.renew(lavendercourse.ReplyAccepted)
	h.renew(lavendercourse.ReplyAccepted)
	assert.Assert(t, h.table.AcceptsRuns(h.now))
	return h
}

// inherit simulates the record of a predecessor of the runner that has called the given worker.
func (h *harness) inherit(worker string) {
	report := lavendercourse.WorkerReport{ID: worker, Incarnation: firstIncarnation, Service: "s", Domain: "d", Capacity: capacity}
	if worker != workerName {
		report.Incarnation -= 500
	}
	h.table.InheritReport(h.now, report)
}

func (h *harness) workerStatus() lavendercourse.WorkerStatus {
	return lavendercourse.WorkerStatus{Clock: h.now + 100*clock.Second, Incarnation: h.incarnation}
}

func (h *harness) heartbeat(incarnation int64, draining bool) []room.Action {
	h.seq++
	actions, _ := h.table.HandleHeartbeat(h.now, lavendercourse.WorkerReport{
		ID: workerName, Incarnation: incarnation, Service: "s", Domain: "d", Capacity: capacity, Draining: draining, Sequence: h.seq,
	})
	return actions
}

// renew simulates a renewal that the worker answers after 1 ms, listing the given runs as running.
func (h *harness) renew(reply lavendercourse.Reply, running ...lavendercourse.RunID) []room.Action {
	return h.renewWith(reply, running, nil)
}

// renewWith is like renew, with a list of ended runs as well.
func (h *harness) renewWith(reply lavendercourse.Reply, running []lavendercourse.RunID, ended []lavendercourse.End) []room.Action {
	sent := h.now
	_, renewal, _ := h.table.NextRenewal(sent)
	h.now++
	workerRuns := lavendercourse.WorkerRuns{Status: h.workerStatus(), Ended: ended}
	for _, id := range running {
		workerRuns.Running = append(workerRuns.Running, lavendercourse.Running{Run: id, Percent: h.percent})
	}
	return h.table.HandleRenewalReply(h.now, sent, renewal, workerRuns, reply)
}

func (h *harness) order(ids ...lavendercourse.RunID) []room.Action {
	return h.table.HandleOrder(h.now, entryName, message.Order{Stamp: h.now, Payload: "p", Need: need, Estimate: 2000, Runs: ids})
}

// end simulates a renewal in whose answer the worker lists the end of a run, and the other given runs as running.
func (h *harness) end(id lavendercourse.RunID, kind lavendercourse.EndKind, running ...lavendercourse.RunID) []room.Action {
	h.lastEnd++
	return h.renewWith(lavendercourse.ReplyAccepted, running, []lavendercourse.End{{Number: h.lastEnd, Run: id, Kind: kind}})
}

// refuseUntilLeaseExpires simulates a worker that refuses all connections until its lease has expired.
func (h *harness) refuseUntilLeaseExpires() []room.Action {
	actions := h.table.HandleRefusedConnection(h.now, h.now)
	for end := h.now + 1500; h.now < end; {
		h.now += 25
		h.table.RenewOwnerLease(entryName, h.now)
		actions = append(actions, h.table.HandleRefusedConnection(h.now, h.now)...)
		actions = append(actions, h.table.Tick(h.now)...)
	}
	return actions
}

// restart simulates a heartbeat of a new incarnation of the worker and its first answer, which comes at once.
func (h *harness) restart() []room.Action {
	h.incarnation++
	return append(h.heartbeat(h.incarnation, false), h.renew(lavendercourse.ReplyAccepted)...)
}

func runID(task int) lavendercourse.RunID { return lavendercourse.RunID{Job: "j1", Task: task, Run: 1} }

// describe returns a short text for each action, so that whole sequences can be compared.
func describe(actions []room.Action) []string {
	all := []string{}
	for _, a := range actions {
		switch a := a.(type) {
		case room.StartRun:
			all = append(all, "start "+strconv.Itoa(a.Order.Run.Task))
		case room.StopRun:
			all = append(all, "stop "+strconv.Itoa(a.Run.Task))
		case room.ReportEnd:
			all = append(all, a.Kind.String()+" "+strconv.Itoa(a.Run.Task))
		}
	}
	return all
}

// Guards against starts beside the runs that a killed runner left behind: the free capacity is unknown until the worker
// has listed its runs under this runner's token.
func TestNothingStartsBeforeWorkerListsItsRuns(t *testing.T) {
	h := newHarness(t)
	h.inherit(workerName)
	h.heartbeat(firstIncarnation, false)
	h.renew(lavendercourse.ReplyStaleToken)
	assert.DeepEqual(t, describe(h.order(runID(0))), []string{"refused 0"})
	leftover := lavendercourse.RunID{Job: "old", Task: 7, Run: 1}
	assert.DeepEqual(t, describe(h.renew(lavendercourse.ReplyAccepted, leftover)), []string{"stop 7"})
	assert.DeepEqual(t, describe(h.order(runID(0))), []string{"refused 0"})
	h.renew(lavendercourse.ReplyAccepted)
	assert.DeepEqual(t, describe(h.order(runID(0))), []string{"start 0"})
}

// Guards against runs beyond the worker's capacity, and against reuse of the capacity of a stopped run before its end.
func TestCapacityIsNeverExceeded(t *testing.T) {
	h := newReadyHarness(t)
	var ids []lavendercourse.RunID
	for i := range 11 {
		ids = append(ids, runID(i))
	}
	started := h.order(ids...)
	assert.Equal(t, len(started), 11)
	assert.Equal(t, describe(started)[9], "start 9")
	assert.Equal(t, describe(started)[10], "refused 10")
	for _, id := range ids[:10] {
		h.table.HandleStartReply(h.now, id, h.table.Token(), h.workerStatus(), lavendercourse.ReplyAccepted, nil)
	}
	h.now += 5
	assert.DeepEqual(t, describe(h.table.HandleRecall(h.now, entryName, h.now, ids[:1])), []string{"stop 0"})
	h.table.HandleStopReply(h.now, ids[0], h.table.Token(), h.workerStatus(), lavendercourse.ReplyAccepted, nil)
	assert.DeepEqual(t, describe(h.order(ids[10])), []string{"refused 10"})
	assert.DeepEqual(t, describe(h.end(ids[0], lavendercourse.EndStopped, ids[1:10]...)), []string{"stopped 0"})
	assert.DeepEqual(t, describe(h.order(ids[10])), []string{"start 10"})
}

// Guards against two simultaneous runs of a task: a start whose answer was lost may have been carried out, so the run
// is stopped and stays in the table until the worker no longer lists it.
func TestUnansweredStartIsStopped(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0))
	for range 7 {
		assert.DeepEqual(t, describe(h.table.HandleStartReply(h.now, runID(0), h.table.Token(), lavendercourse.WorkerStatus{}, lavendercourse.ReplyOther, errNoAnswer)), []string{"start 0"})
	}
	assert.DeepEqual(t, describe(h.table.HandleStartReply(h.now, runID(0), h.table.Token(), lavendercourse.WorkerStatus{}, lavendercourse.ReplyOther, errNoAnswer)), []string{"stop 0"})
	assert.Assert(t, h.table.MayHaveRuns(entryName))
	h.table.HandleStopReply(h.now, runID(0), h.table.Token(), lavendercourse.WorkerStatus{}, lavendercourse.ReplyOther, errNoAnswer)
	h.now += 150
	assert.DeepEqual(t, describe(h.table.Tick(h.now)), []string{"stop 0"})
	h.table.HandleStopReply(h.now, runID(0), h.table.Token(), h.workerStatus(), lavendercourse.ReplyAccepted, nil)
	assert.DeepEqual(t, describe(h.renew(lavendercourse.ReplyAccepted, runID(0))), []string{})
	assert.DeepEqual(t, describe(h.renew(lavendercourse.ReplyAccepted)), []string{"stopped 0"})
	assert.Assert(t, !h.table.MayHaveRuns(entryName))
}

// Guards against an order that is carried out long after its entry has abandoned it, because the VM was suspended or
// the order was delayed in transit.
func TestOldOrderIsRefused(t *testing.T) {
	h := newReadyHarness(t)
	stamp := h.now
	h.now += room.DefaultOrderValidity + 1
	h.renew(lavendercourse.ReplyAccepted)
	actions := h.table.HandleOrder(h.now, entryName, message.Order{Stamp: stamp, Need: need, Runs: []lavendercourse.RunID{runID(0)}})
	assert.DeepEqual(t, describe(actions), []string{"refused 0"})
}

// Guards against runs that continue after their entry has stopped sending, or after its link has ended.
func TestRunsEndWithTheirEntry(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0), runID(1))
	for i := range 2 {
		h.table.HandleStartReply(h.now, runID(i), h.table.Token(), h.workerStatus(), lavendercourse.ReplyAccepted, nil)
	}
	for range 4 {
		h.now += 200
		h.percent += 10
		h.renew(lavendercourse.ReplyAccepted, runID(0), runID(1))
		assert.Equal(t, len(h.table.Tick(h.now)), 0)
	}
	h.now += 200
	assert.DeepEqual(t, describe(h.table.Tick(h.now)), []string{"stop 0", "stop 1"})

	other := newReadyHarness(t)
	other.order(runID(0))
	other.table.HandleStartReply(other.now, runID(0), other.table.Token(), other.workerStatus(), lavendercourse.ReplyAccepted, nil)
	assert.DeepEqual(t, describe(other.table.EntryDisconnected(other.now, entryName)), []string{"stop 0"})
	assert.Assert(t, other.table.MayHaveRuns(entryName))
	assert.DeepEqual(t, describe(other.end(runID(0), lavendercourse.EndStopped)), []string{})
	assert.Assert(t, !other.table.MayHaveRuns(entryName))
}

// Guards against runs of an unresponsive worker that are given up before its lease has expired, or never.
func TestRunsOfSilentWorkerExpireWithItsLease(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0))
	h.table.HandleStartReply(h.now, runID(0), h.table.Token(), h.workerStatus(), lavendercourse.ReplyAccepted, nil)
	orderedAt := h.now
	for h.now < orderedAt+room.DefaultWorkerLease {
		h.now += 50
		h.table.RenewOwnerLease(entryName, h.now)
		assert.DeepEqual(t, describe(h.table.Tick(h.now)), []string{})
	}
	h.now += 200
	h.table.RenewOwnerLease(entryName, h.now)
	assert.DeepEqual(t, describe(h.table.Tick(h.now)), []string{"expired 0"})
}

// Guards against runs that are assumed to continue in a new incarnation of the worker, and against delayed heartbeats
// of an earlier incarnation.
func TestNewIncarnationEndsAllRuns(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0))
	h.table.HandleStartReply(h.now, runID(0), h.table.Token(), h.workerStatus(), lavendercourse.ReplyAccepted, nil)
	assert.DeepEqual(t, describe(h.heartbeat(firstIncarnation-1, false)), []string{})
	assert.DeepEqual(t, describe(h.heartbeat(firstIncarnation+1, false)), []string{})
	assert.Assert(t, !h.table.AcceptsRuns(h.now))
	h.incarnation = firstIncarnation + 1
	assert.DeepEqual(t, describe(h.renew(lavendercourse.ReplyAccepted)), []string{"crashed 0"})
	assert.Assert(t, !h.table.AcceptsRuns(h.now))
}

// Guards against starts after the worker has reported that it is draining.
func TestDrainingWorkerGetsNoRuns(t *testing.T) {
	h := newReadyHarness(t)
	h.heartbeat(firstIncarnation, true)
	assert.DeepEqual(t, describe(h.order(runID(0))), []string{"refused 0"})
}

// Guards against runs that stay on a stalled or slow worker, and against a worker that is considered slow because one
// estimate was too low.
func TestRunsOnSlowWorkerAreStopped(t *testing.T) {
	for _, c := range []struct {
		name     string
		runs     int
		progress int
		wantSlow bool
	}{
		{"worker is stalled", 4, 0, true},
		{"worker is five times slower", 4, 2, true},
		{"worker is as fast as estimated", 4, 10, false},
		{"one job was estimated too low", 1, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newReadyHarness(t)
			var ids []lavendercourse.RunID
			for i := range c.runs {
				id := runID(i)
				id.Job += strconv.Itoa(i)
				ids = append(ids, id)
			}
			h.order(ids...)
			for _, id := range ids {
				h.table.HandleStartReply(h.now, id, h.table.Token(), h.workerStatus(), lavendercourse.ReplyAccepted, nil)
			}
			stopped := 0
			for range 3 {
				h.now += 200
				h.percent += c.progress
				h.table.RenewOwnerLease(entryName, h.now)
				stopped += len(h.renew(lavendercourse.ReplyAccepted, ids...))
			}
			assert.Equal(t, stopped > 0, c.wantSlow)
			assert.Equal(t, h.table.LoadReport(h.now).Slow, c.wantSlow)
		})
	}
}

// Guards against runs that are given up because the first heartbeat of a new incarnation arrives after the worker's
// first answer in it: the runs continue and are also ordered elsewhere. Guards as well against starts in a new
// incarnation before its capacity is known, which may differ.
func TestHeartbeatAfterFirstAnswerOfNewIncarnation(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0))
	h.table.HandleStartReply(h.now, runID(0), h.table.Token(), h.workerStatus(), lavendercourse.ReplyAccepted, nil)
	h.incarnation = firstIncarnation + 5
	assert.DeepEqual(t, describe(h.renew(lavendercourse.ReplyAccepted)), []string{"crashed 0"})
	h.renew(lavendercourse.ReplyAccepted)
	assert.DeepEqual(t, describe(h.order(runID(1))), []string{"refused 1"})
	assert.DeepEqual(t, describe(h.heartbeat(firstIncarnation, false)), []string{})
	assert.DeepEqual(t, describe(h.order(runID(1))), []string{"refused 1"})
	h.seq = 0
	assert.DeepEqual(t, describe(h.heartbeat(firstIncarnation+5, false)), []string{})
	assert.DeepEqual(t, describe(h.order(runID(1))), []string{"start 1"})
	assert.DeepEqual(t, describe(h.heartbeat(firstIncarnation+5, false)), []string{})
	assert.Assert(t, h.table.MayHaveRuns(entryName))
}

// Guards against an entry that is notified that no runs of an earlier link are left while runs of a killed runner
// continue: the entry would order them elsewhere.
func TestRunsOfKilledRunnerCountAsUnfinished(t *testing.T) {
	h := newHarness(t)
	h.inherit(workerName)
	h.heartbeat(firstIncarnation, false)
	assert.Assert(t, h.table.MayHaveRuns(entryName))
	h.renew(lavendercourse.ReplyStaleToken)
	assert.Assert(t, h.table.MayHaveRuns(entryName))
	h.renew(lavendercourse.ReplyAccepted, lavendercourse.RunID{Job: "old", Task: 7, Run: 1})
	assert.Assert(t, h.table.MayHaveRuns(entryName))
	h.renew(lavendercourse.ReplyAccepted)
	assert.Assert(t, !h.table.MayHaveRuns(entryName))
}

// Guards against a worker that is never used again after it was slow: the single runs with which entries probe it must
// continue until they show its current pace.
func TestSlowWorkerRecovers(t *testing.T) {
	h := newReadyHarness(t)
	var ids []lavendercourse.RunID
	for i := range 4 {
		ids = append(ids, lavendercourse.RunID{Job: "j" + strconv.Itoa(i), Run: 1})
	}
	h.order(ids...)
	for _, id := range ids {
		h.table.HandleStartReply(h.now, id, h.table.Token(), h.workerStatus(), lavendercourse.ReplyAccepted, nil)
	}
	for range 2 {
		h.now += 200
		h.table.RenewOwnerLease(entryName, h.now)
		h.renew(lavendercourse.ReplyAccepted, ids...)
	}
	assert.Assert(t, h.table.LoadReport(h.now).Slow)
	for _, id := range ids {
		h.end(id, lavendercourse.EndStopped)
	}
	probe := lavendercourse.RunID{Job: "trial", Run: 1}
	assert.DeepEqual(t, describe(h.order(probe)), []string{"start 0"})
	h.table.HandleStartReply(h.now, probe, h.table.Token(), h.workerStatus(), lavendercourse.ReplyAccepted, nil)
	for range 3 {
		h.now += 40
		h.percent += 2
		assert.DeepEqual(t, describe(h.renew(lavendercourse.ReplyAccepted, probe)), []string{})
	}
	assert.Assert(t, !h.table.LoadReport(h.now).Slow)
}

// Guards against a start that is in flight when the worker restarts and is carried out by the new incarnation, although
// its entry was notified that the run is lost.
func TestUnansweredStartAcrossIncarnations(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0))
	assert.DeepEqual(t, describe(h.restart()), []string{})
	assert.Assert(t, h.table.MayHaveRuns(entryName))
}

// Guards against a run that is reported as lost while its unanswered start is carried out by the worker's new
// incarnation, and against a run whose end is never reported.
func TestStartIsInDoubtUntilNewIncarnationListsItsRuns(t *testing.T) {
	for _, c := range []struct {
		name    string
		running []lavendercourse.RunID
		want    []string
	}{
		{name: "not carried out", want: []string{"crashed 0"}},
		{name: "carried out", running: []lavendercourse.RunID{runID(0)}, want: []string{"stop 0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newReadyHarness(t)
			h.order(runID(0))
			before := h.table.Token()
			assert.DeepEqual(t, describe(h.restart()), []string{})
			h.table.HandleStartReply(h.now, runID(0), h.table.Token(), lavendercourse.WorkerStatus{}, lavendercourse.ReplyOther, errNoAnswer)
			worker, renewal, _ := h.table.NextRenewal(h.now)
			assert.Equal(t, worker, workerName)
			assert.Assert(t, renewal.Token > before, "starts and stops sent to the earlier incarnation must be refused")
			assert.DeepEqual(t, describe(h.renew(lavendercourse.ReplyAccepted, c.running...)), c.want)
		})
	}
}

// Guards against a run whose end is never reported because its worker does not come back.
func TestInDoubtStartTimesOutWhenWorkerIsGone(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0))
	h.table.HandleRefusedConnection(h.now, h.now)
	// The time-out is 900 + 900 + 100 ms.
	h.now += 1800
	assert.DeepEqual(t, describe(h.table.Tick(h.now)), []string{})
	h.now += 100
	assert.DeepEqual(t, describe(h.table.Tick(h.now)), []string{"crashed 0"})
}

// Guards against a time-out of runs in doubt that ignores the configured leases: with longer ones, a run would be
// reported as ended while its start can still be carried out.
func TestInDoubtTimeoutFollowsConfig(t *testing.T) {
	h := newHarness(t)
	h.table = room.New(room.Config{Epoch: epoch, WorkerLease: 1200, OrderValidity: 1500})
	h.inherit(workerName)
	h.heartbeat(firstIncarnation, false)
	h.renew(lavendercourse.ReplyAccepted)
	h.renew(lavendercourse.ReplyAccepted)
	h.order(runID(0))
	h.table.HandleRefusedConnection(h.now, h.now)
	h.now += 2799
	assert.DeepEqual(t, describe(h.table.Tick(h.now)), []string{})
	h.now++
	assert.DeepEqual(t, describe(h.table.Tick(h.now)), []string{"crashed 0"})
}

// Guards against a worker that is never used again because its time of day was set back between two incarnations, and
// against a heartbeat of the earlier incarnation that arrives after that.
func TestTimeOfDayStepsBackBetweenIncarnations(t *testing.T) {
	h := newReadyHarness(t)
	h.incarnation = firstIncarnation - 100
	h.renew(lavendercourse.ReplyAccepted)
	h.renew(lavendercourse.ReplyAccepted)
	h.renew(lavendercourse.ReplyAccepted)
	h.seq++
	_, changed := h.table.HandleHeartbeat(h.now, lavendercourse.WorkerReport{ID: workerName, Incarnation: firstIncarnation, Capacity: capacity, Sequence: h.seq})
	assert.Assert(t, !changed)
	assert.Assert(t, !h.table.AcceptsRuns(h.now), "the capacity of this incarnation is not known")
	h.heartbeat(h.incarnation, false)
	assert.Assert(t, h.table.AcceptsRuns(h.now))
}

// Guards against a restarted runner that accepts no runs until its worker's next heartbeat, and against one that uses
// its predecessor's report for another incarnation of the worker, or for too long.
func TestInheritedWorkerReport(t *testing.T) {
	h := newHarness(t)
	report := lavendercourse.WorkerReport{
		ID: workerName, Incarnation: firstIncarnation, Service: "s", Domain: "d", Capacity: capacity, Clock: h.workerStatus().Clock,
	}
	h.table.InheritReport(h.now, report)
	assert.Assert(t, !h.table.AcceptsRuns(h.now), "the worker has not answered")
	h.renew(lavendercourse.ReplyAccepted)
	assert.DeepEqual(t, describe(h.order(runID(0))), []string{"start 0"})
	for range 4 {
		h.now += 250
		h.renew(lavendercourse.ReplyAccepted, runID(0))
	}
	assert.Assert(t, !h.table.AcceptsRuns(h.now), "no heartbeat has arrived")
	h.heartbeat(firstIncarnation, false)
	assert.Assert(t, h.table.AcceptsRuns(h.now))

	h = newHarness(t)
	h.incarnation = firstIncarnation + 1
	h.table.InheritReport(h.now, report)
	h.renew(lavendercourse.ReplyAccepted)
	_, described := h.table.Worker()
	assert.Assert(t, !described, "the report is of an earlier incarnation")
}

// Guards against a runner whose token is refused for a long time after the time of day was set back.
func TestTokenRisesUntilItIsAccepted(t *testing.T) {
	h := newHarness(t)
	h.inherit(workerName)
	workerToken := int64(epoch) + int64(h.now) + 5000
	for range 3 {
		_, renewal, _ := h.table.NextRenewal(h.now)
		reply := lavendercourse.ReplyAccepted
		if renewal.Token < workerToken {
			reply = lavendercourse.ReplyStaleToken
		}
		h.table.HandleRenewalReply(h.now, h.now, renewal, lavendercourse.WorkerRuns{Status: h.workerStatus()}, reply)
	}
	assert.Assert(t, h.table.Token() >= workerToken)
	assert.Assert(t, !h.table.MayHaveRuns(entryName), "the worker has listed what it runs")
}

// Guards against a malformed order that raises the free capacity, so that later orders exceed what the worker has.
func TestOrderWithNegativeNeedIsRefused(t *testing.T) {
	h := newReadyHarness(t)
	actions := h.table.HandleOrder(h.now, entryName, message.Order{
		Stamp: h.now, Need: lavendercourse.Resources{CPU: -1000}, Runs: []lavendercourse.RunID{runID(0)},
	})
	assert.DeepEqual(t, describe(actions), []string{"refused 0"})
	assert.Equal(t, h.table.Free(), capacity)
}

// Guards against a list that arrives late and is taken for the present state: a run in it that has ended would count as
// foreign, and nothing would start until the next list.
func TestOldListIsIgnored(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0))
	h.table.HandleStartReply(h.now, runID(0), h.table.Token(), h.workerStatus(), lavendercourse.ReplyAccepted, nil)
	_, renewal, _ := h.table.NextRenewal(h.now)
	running := []lavendercourse.Running{{Run: runID(0), Percent: 90}}
	for _, clockAhead := range []clock.Millis{0, 1} {
		sent, oldList := h.now, lavendercourse.WorkerRuns{Status: h.workerStatus(), Running: running}
		h.now += clockAhead
		assert.Equal(t, len(h.end(runID(0), lavendercourse.EndDone)) == 1, clockAhead == 0)
		assert.DeepEqual(t, describe(h.table.HandleRenewalReply(h.now, sent, renewal, oldList, lavendercourse.ReplyAccepted)), []string{})
		assert.Assert(t, h.table.AcceptsRuns(h.now))
	}
}

// Guards against a late answer to the first start of a run that is taken for one of another incarnation, since the
// worker's clock has advanced by the time the start is repeated: all runs would be given up while they run.
func TestLateAnswerToRepeatedStart(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0))
	first := h.workerStatus()
	h.now += 20
	h.renew(lavendercourse.ReplyAccepted)
	retried := h.table.HandleStartReply(h.now, runID(0), h.table.Token(), lavendercourse.WorkerStatus{}, lavendercourse.ReplyOther, errNoAnswer)
	assert.DeepEqual(t, describe(retried), []string{"start 0"})
	first.Incarnation = 0
	assert.DeepEqual(t, describe(h.table.HandleStartReply(h.now, runID(0), h.table.Token(), first, lavendercourse.ReplyAccepted, nil)), []string{})
	assert.DeepEqual(t, describe(h.table.HandleStartReply(h.now, runID(0), h.table.Token(), h.workerStatus(), lavendercourse.ReplyUnavailable, nil)), []string{})
	assert.Assert(t, h.table.AcceptsRuns(h.now))
	assert.Equal(t, h.table.UnfinishedRuns(), 1)
}

// Guards against starts in a failure domain that is out of service, and against a worker that stays closed after that.
func TestDrainedDomainGetsNoRuns(t *testing.T) {
	h := newReadyHarness(t)
	before := lavendercourse.RunID{Job: "before", Run: 1}
	order := func(id lavendercourse.RunID) []room.Action {
		return h.table.HandleOrder(h.now, entryName, message.Order{Stamp: h.now, Job: id.Job, Need: need, Runs: []lavendercourse.RunID{id}})
	}
	_, started := order(before)[0].(room.StartRun)
	assert.Assert(t, started)
	h.table.SetDomainDrained(true)
	assert.Assert(t, !h.table.LoadReport(h.now).AcceptsRuns)
	assert.Equal(t, h.table.UnfinishedRuns(), 1, "runs that have started go on")
	for _, isolated := range []bool{false, true} {
		id := lavendercourse.RunID{Job: "during", Run: 1}
		o := message.Order{Stamp: h.now, Job: id.Job, Need: need, Runs: []lavendercourse.RunID{id}}
		handle := h.table.HandleOrder
		if isolated {
			handle = h.table.HandleIsolatedOrder
		}
		end, refused := handle(h.now, entryName, o)[0].(room.ReportEnd)
		assert.Assert(t, refused)
		assert.Equal(t, end.Kind, lavendercourse.EndRefused)
		assert.Equal(t, end.Reason, lavendercourse.ReplyUnavailable)
	}
	h.table.SetDomainDrained(false)
	_, started = order(lavendercourse.RunID{Job: "after", Run: 1})[0].(room.StartRun)
	assert.Assert(t, started)
}

// Guards against starts on a worker that came back under its id as one of another kind: entries that are not told of it
// go on ordering runs for the labels that it had, and so do orders that were on their way.
func TestRestartedWorkerIsDescribedAgain(t *testing.T) {
	old := lavendercourse.WorkerReport{ID: workerName, Incarnation: firstIncarnation, Service: "s", Capacity: capacity, Labels: []string{"a"}, Sequence: 1}
	for _, c := range []struct {
		name   string
		change func(r *lavendercourse.WorkerReport)
		// answersFirst is set if the worker answers a call before it sends its heartbeat.
		answersFirst bool
	}{
		{"other labels", func(r *lavendercourse.WorkerReport) { r.Labels = []string{"b"} }, false},
		{"other labels, known from an answer", func(r *lavendercourse.WorkerReport) { r.Labels = []string{"b"} }, true},
		{"another service", func(r *lavendercourse.WorkerReport) { r.Service = "other" }, false},
		{"nothing else", func(*lavendercourse.WorkerReport) {}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.inherit(workerName)
			_, changed := h.table.HandleHeartbeat(h.now, old)
			assert.Assert(t, changed)
			h.renew(lavendercourse.ReplyAccepted)
			h.now += 100
			repeated := old
			repeated.Sequence = 2
			_, changed = h.table.HandleHeartbeat(h.now, repeated)
			assert.Assert(t, !changed, "nothing has changed")

			onItsWay := message.Order{Stamp: h.now, Need: need, Runs: []lavendercourse.RunID{runID(0)}}
			h.table.HandleRefusedConnection(h.now, h.now)
			h.now += 100
			h.incarnation = firstIncarnation + 500
			if c.answersFirst {
				h.renew(lavendercourse.ReplyAccepted)
				h.renew(lavendercourse.ReplyAccepted)
			}
			restarted := old
			restarted.Incarnation = h.incarnation
			c.change(&restarted)
			_, changed = h.table.HandleHeartbeat(h.now, restarted)
			described := h.renew(lavendercourse.ReplyAccepted)
			assert.Assert(t, changed || slices.Contains(described, room.Action(room.DescribeWorker{})))
			h.renew(lavendercourse.ReplyAccepted)
			assert.Assert(t, h.table.AcceptsRuns(h.now))
			assert.DeepEqual(t, describe(h.table.HandleOrder(h.now, entryName, onItsWay)), []string{"refused 0"})
			assert.DeepEqual(t, describe(h.order(runID(0))), []string{"start 0"})
		})
	}
}
