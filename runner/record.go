package runner

import (
	"bytes"
	"context"
	"reflect"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/daemon"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/message"
)

// syncRecord keeps the last report of the worker in the store, so that a successor of this runner can take runs before
// the next heartbeat. It first reads the record that a predecessor has stored.
func (r *Runner) syncRecord(ctx context.Context) error {
	outageLog := daemon.NewOutageLog(r.log, r.cfg.WorkerStream)
	r.inheritRecord(ctx, outageLog)
	for ctx.Err() == nil {
		r.mu.Lock()
		desired := r.desiredRecord
		upToDate := desired == nil || (r.storedRecord != nil && bytes.Equal(desired, r.storedRecord))
		r.mu.Unlock()
		if upToDate {
			select {
			case <-ctx.Done():
			case <-r.recordChanged:
			}
			continue
		}
		if outageLog.RecordResult(ctx, r.cfg.Store.Put(ctx, r.cfg.WorkerStream, r.cfg.Name, desired)) {
			daemon.Sleep(ctx, lookupPeriod)
			continue
		}
		r.mu.Lock()
		r.storedRecord = desired
		r.mu.Unlock()
	}
	return ctx.Err()
}

// inheritRecord reads the record that a predecessor has stored, and repeats failed reads until the worker has reported.
func (r *Runner) inheritRecord(ctx context.Context, outageLog *daemon.OutageLog) {
	for ctx.Err() == nil {
		c, err := r.cfg.Store.Contents(ctx, r.cfg.WorkerStream)
		failed := outageLog.RecordResult(ctx, err)
		r.mu.Lock()
		if !failed {
			r.useRecord(c)
		}
		known := r.desiredRecord != nil
		r.mu.Unlock()
		if !failed || known {
			return
		}
		daemon.Sleep(ctx, retryPause)
	}
}

// useRecord passes the stored record of this runner to the run table, unless the worker has reported. The caller holds
// the mutex.
func (r *Runner) useRecord(c lavendercourse.Contents) {
	r.storedRecord = []byte{}
	for _, rec := range c.Records {
		if rec.Key != r.cfg.Name || len(rec.Value) == 0 {
			continue
		}
		w, err := decodeRecord(rec.Value)
		if err != nil {
			r.log.On(event.WorkerRecordInvalid).Str("source", sourceStore).Err(err).Send()
			return
		}
		r.storedRecord = rec.Value
		if r.desiredRecord != nil {
			return
		}
		r.desiredRecord = rec.Value
		r.table.InheritReport(r.cfg.Clock.Now(), w)
		r.log.On(event.ReportInherited).Str("worker", w.ID).Int64("born", w.Incarnation).Int("cpu", w.Capacity.CPU).Send()
		if current, known := r.table.Worker(); known && current.ID != w.ID {
			r.updateRecord(current)
		}
		for name, g := range r.gateways {
			r.enrollIfReady(name, g)
		}
	}
}

// updateRecord sets the record that the store should hold to the given report. The record of a draining worker is
// removed, so that no successor takes runs for it. The caller holds the mutex.
func (r *Runner) updateRecord(w lavendercourse.WorkerReport) {
	// A successor takes the lists of the worker in the record for complete, so the record must not name another worker than the one that
	// takes runs. Without a record the successor waits for the lease of its predecessor.
	removed := w.Draining || r.table.BeingReplaced() || !r.table.EarlierRunsEnded() && r.recordNamesOther(w)
	if !removed && !r.table.EarlierRunsEnded() {
		return
	}
	desired := []byte{}
	if !removed {
		described := r.enrollment(w)
		if r.recordDescribes(described) && w.Clock-r.recordClock < recordRefreshPeriod {
			return
		}
		described.Clock = w.Clock
		b, err := message.Encode(message.TypeEnroll, 0, described)
		if err != nil {
			r.log.On(event.WorkerRecordInvalid).Str("source", sourceWorker).Err(err).Send()
			return
		}
		desired = b
		r.recordClock = w.Clock
	}
	if r.desiredRecord != nil && bytes.Equal(desired, r.desiredRecord) {
		return
	}
	r.desiredRecord = desired
	select {
	case r.recordChanged <- struct{}{}:
	default:
	}
}

// recordNamesOther reports whether desiredRecord names another worker.
func (r *Runner) recordNamesOther(w lavendercourse.WorkerReport) bool {
	recorded, err := decodeRecord(r.desiredRecord)
	return err == nil && recorded.ID != w.ID
}

// recordDescribes reports whether desiredRecord holds the given description of the worker, apart from the clock reading.
func (r *Runner) recordDescribes(e message.Enroll) bool {
	w, err := decodeRecord(r.desiredRecord)
	if err != nil {
		// There is no record yet, or it was removed.
		return false
	}
	return reflect.DeepEqual(r.enrollment(w), e)
}

// enrollment returns the description of the worker that gateways are sent and that the store keeps for a successor.
func (r *Runner) enrollment(w lavendercourse.WorkerReport) message.Enroll {
	return message.Enroll{
		Name: r.cfg.Name, Domain: r.cfg.Domain, Service: w.Service, Worker: w.ID, Incarnation: w.Incarnation, Capacity: w.Capacity, Labels: w.Labels,
		Isolates: true,
	}
}

func decodeRecord(b []byte) (lavendercourse.WorkerReport, error) {
	f, err := message.Decode(b)
	if err != nil {
		return lavendercourse.WorkerReport{}, err
	}
	var e message.Enroll
	if err := f.DecodeBody(&e); err != nil {
		return lavendercourse.WorkerReport{}, err
	}
	return lavendercourse.WorkerReport{
		ID: e.Worker, Incarnation: e.Incarnation, Service: e.Service, Domain: e.Domain, Capacity: e.Capacity, Labels: e.Labels,
		Clock: e.Clock,
	}, nil
}
