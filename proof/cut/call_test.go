package cut_test

import (
	"errors"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/room"
)

// call is a call of a runner to its worker.
type call struct {
	r           *runner
	conn        *conn
	sentAt      clock.Millis
	maxWait     clock.Millis
	ended, late bool
	handle      func(err error)
	// onRefused is called when the worker's address has refused the connection, before handle.
	onRefused func()
}

// callWorker mirrors runner.callWorker. execute is called when the request arrives at the worker; it calls answer with what
// has to be done with the answer. A cut holds the request or the answer: the request is carried out at the end of the cut,
// unless the runner resets the connection when it gives up.
func (r *runner) callWorker(maxWait, timeout clock.Millis, execute func(b *worker, answer func(store func())), handle func(err error)) *call {
	b, host := r.calledProcess()
	c := &call{r: r, sentAt: r.w.now, maxWait: maxWait, handle: handle, onRefused: func() {}}
	c.conn = r.w.connect(r.host, host, func() bool { return r.m.workerCut > 0 })
	request, reply := &c.conn.ends[0], &c.conn.ends[1]
	request.onEnd = func() { c.finish(errNoAnswer) }
	if timeout < maxWait+room.MaxCallTimeout {
		r.after(timeout, func() {
			if !c.ended {
				c.late = true
				r.table.RecordLostAnswer()
				handle(errTimeout)
			}
		})
	}
	r.after(maxWait+room.MaxCallTimeout, func() { c.finish(errNoAnswer) })
	request.send(func() {
		if b == nil {
			reply.send(func() { c.finish(lavendercourse.ErrWorkerRefused) })
			return
		}
		execute(b, func(store func()) {
			reply.send(func() {
				if !c.ended {
					store()
					c.finish(nil)
				}
			})
		})
	})
	return c
}

// finish passes the result of a call to the table.
func (c *call) finish(err error) {
	if c.ended {
		return
	}
	c.ended = true
	r := c.r
	if request := &c.conn.ends[0]; r.w.rng.IntN(2) == 0 {
		request.reset()
	} else {
		request.close()
	}
	took := r.w.now - c.sentAt - c.maxWait
	refused := errors.Is(err, lavendercourse.ErrWorkerRefused)
	if refused {
		r.w.oracle.refusals++
		c.onRefused()
	}
	switch {
	case err != nil && c.late && !refused:
		return
	case err == nil && c.late:
		r.table.RecordLateAnswer(took)
	case err == nil && took >= 0:
		r.table.RecordAnswerTime(took)
	case refused:
		before := r.table.Unreachable()
		r.perform(r.table.HandleRefusedConnection(r.w.now, c.sentAt))
		if !before && r.table.Unreachable() {
			r.w.noteFault("%s finds that its worker refuses connections", r.name)
			r.reportToAll()
		}
	case err != nil:
		r.table.RecordLostAnswer()
	}
	c.handle(err)
}

// renew renews the lease of the worker in a loop while the condition holds.
func (r *runner) renew(refusals int, condition func() bool) {
	if !condition() {
		r.moreRenewals = false
		return
	}
	sentAt := r.w.now
	id, renewal, timeout := r.table.NextRenewal(sentAt)
	var runs lavendercourse.WorkerRuns
	var reply lavendercourse.Reply
	first := true
	r.callWorker(renewal.MaxWait, timeout, func(b *worker, answer func(func())) {
		if b.isOther(id) {
			answer(func() { reply = lavendercourse.ReplyIncarnation })
			return
		}
		b.renew(renewal, func(l lavendercourse.WorkerRuns, code lavendercourse.Reply) {
			answer(func() { runs, reply = l, code })
		})
	}, func(err error) {
		if err == nil {
			r.perform(r.table.HandleRenewalReply(r.w.now, sentAt, renewal, runs, reply))
		}
		if !first {
			return
		}
		first = false
		r.after(r.renewalPause(err, reply, &refusals), func() { r.renew(refusals, condition) })
	})
}

// renewalPause returns the time in ms until the next renewal.
func (r *runner) renewalPause(err error, reply lavendercourse.Reply, refusals *int) clock.Millis {
	switch {
	case err != nil:
		if !errors.Is(err, errTimeout) || !r.table.AnsweredWithin(r.w.now, silentAfter) {
			return retryPause
		}
		return 0
	case reply == lavendercourse.ReplyAccepted:
		*refusals = 0
		return 0
	}
	*refusals++
	if *refusals > 1 || reply != lavendercourse.ReplyStaleToken {
		return retryPause
	}
	return 0
}

func (r *runner) startRun(a room.StartRun) {
	r.w.note(a.Order.Run.Job, "%s starts %v for %s", r.name, a.Order.Run, a.Entry)
	var status lavendercourse.WorkerStatus
	var reply lavendercourse.Reply
	r.callWorker(0, a.Timeout, func(b *worker, answer func(func())) {
		switch {
		case b.isOther(a.Worker):
			answer(func() { reply = lavendercourse.ReplyIncarnation })
		case !r.holdStart(a, b):
			code, s := b.startRun(a.Order, a.Entry, false), b.status(false)
			answer(func() { status, reply = s, code })
		}
	}, func(err error) {
		if err != nil {
			status, reply = lavendercourse.WorkerStatus{}, lavendercourse.ReplyOther
		}
		r.perform(r.table.HandleStartReply(r.w.now, a.Order.Run, a.Order.Token, status, reply, err))
	}).onRefused = func() { r.table.HandleUndeliveredStart(a.Order.Run) }
}

func (r *runner) stopRun(a room.StopRun) {
	r.w.note(a.Run.Job, "%s stops %v: %s", r.name, a.Run, r.table.StopCause(a.Run))
	var status lavendercourse.WorkerStatus
	var reply lavendercourse.Reply
	r.callWorker(0, a.Timeout, func(b *worker, answer func(func())) {
		if b.isOther(a.Worker) {
			answer(func() { reply = lavendercourse.ReplyIncarnation })
			return
		}
		code, s := b.stopRun(a.Run, a.Token), b.status(false)
		answer(func() { status, reply = s, code })
	}, func(err error) {
		if err != nil {
			status, reply = lavendercourse.WorkerStatus{}, lavendercourse.ReplyOther
		}
		r.perform(r.table.HandleStopReply(r.w.now, a.Run, a.Token, status, reply, err))
	})
}
