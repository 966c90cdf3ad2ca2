package interference

import (
	"math"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// variables is the number of variables of a sample: the presence of each kind, then the load, its square and the logarithm
// of the run time relative to the estimate.
const (
	loadVariable   = MaxRecorderKinds
	squareVariable = MaxRecorderKinds + 1
	ratioVariable  = MaxRecorderKinds + 2
	variables      = MaxRecorderKinds + 3
)

// RunStart describes a run that starts on the worker.
type RunStart struct {
	Run  lavendercourse.RunID
	Kind Kind
	// Estimate is the expected run time in ms, or 0 if it is not known.
	Estimate clock.Millis
	// Load is the share of the worker's CPU that the run needs.
	Load float64
	// CPU is the need in thousandths of a core.
	CPU int
	// OrderSize is the number of runs in the order of the run. They share an estimate and its error, and count as one sample.
	OrderSize int
}

// integrals holds sums over time since the recorder was made, in ms: the time for which each kind had at least one or at
// least two runs, and the load and its square.
type integrals struct {
	one, two     [MaxRecorderKinds]float64
	load, square float64
}

// observedRun is a run on the worker. at and before are the time and the integrals at its start. slot is that of its kind,
// or -1 if the kind is not told apart.
type observedRun struct {
	start  RunStart
	slot   int
	at     clock.Millis
	before integrals
}

// slot is the record of one kind. products are sums over its runs, weighted by 1/OrderSize.
type slot struct {
	kind     Kind
	running  int
	lastSeen clock.Millis
	orders   float64
	work     float64
	sums     [variables]float64
	products [variables][variables]float64
}

// Recorder measures, on one worker, how long runs take and which kinds run beside them. Its memory is bounded by
// MaxRecorderKinds and the runs on the worker. It is not safe for concurrent use.
type Recorder struct {
	slots [MaxRecorderKinds]slot
	runs  map[lavendercourse.RunID]*observedRun
	load  float64
	total integrals
	at    clock.Millis
	// takenAt is the time of the last message, or of the first run.
	takenAt clock.Millis
}

// NewRecorder returns a recorder of a worker without runs.
func NewRecorder() *Recorder { return &Recorder{runs: map[lavendercourse.RunID]*observedRun{}} }

// advance adds the time since the last event to the integrals.
func (r *Recorder) advance(now clock.Millis) {
	span := float64(now - r.at)
	r.at = now
	for i := range r.slots {
		if r.slots[i].running >= 1 {
			r.total.one[i] += span
		}
		if r.slots[i].running >= 2 {
			r.total.two[i] += span
		}
	}
	r.total.load += span * r.load
	r.total.square += span * r.load * r.load
}

// Start records that a run has started.
func (r *Recorder) Start(now clock.Millis, s RunStart) {
	if r.runs[s.Run] != nil {
		return
	}
	r.advance(now)
	if r.takenAt == 0 {
		r.takenAt = now
	}
	run := &observedRun{start: s, slot: r.slotOf(now, s.Kind), at: now}
	run.before = r.total
	r.load += s.Load
	if run.slot >= 0 {
		r.slots[run.slot].running++
	}
	r.runs[s.Run] = run
}

// slotOf returns the slot of a kind, which it assigns if one is free, or -1.
func (r *Recorder) slotOf(now clock.Millis, kind Kind) int {
	free := -1
	for i := range r.slots {
		if kind != 0 && r.slots[i].kind == kind {
			r.slots[i].lastSeen = now
			return i
		}
		if r.slots[i].kind == 0 && free < 0 {
			free = i
		}
	}
	if kind == 0 || free < 0 {
		return -1
	}
	r.slots[free] = slot{kind: kind, lastSeen: now}
	return free
}

// End records that a run has ended. It is a sample if sample is set: it ended well, and neither its worker was slow nor was
// its start repeated.
func (r *Recorder) End(now clock.Millis, id lavendercourse.RunID, sample bool) {
	run := r.runs[id]
	if run == nil {
		return
	}
	r.advance(now)
	delete(r.runs, id)
	r.load -= run.start.Load
	if len(r.runs) == 0 {
		// Rounding errors would add up.
		r.load = 0
	}
	if run.slot < 0 {
		return
	}
	r.slots[run.slot].running--
	r.slots[run.slot].lastSeen = now
	if sample && run.start.Estimate > 0 && now > run.at {
		r.addSample(run, float64(now-run.at))
	}
}

// addSample adds a run that took the given time in ms to the sums of its kind.
func (r *Recorder) addSample(run *observedRun, took float64) {
	var v [variables]float64
	for i := range r.slots {
		if i == run.slot {
			v[i] = (r.total.two[i] - run.before.two[i]) / took
			continue
		}
		v[i] = (r.total.one[i] - run.before.one[i]) / took
	}
	v[loadVariable] = (r.total.load - run.before.load) / took
	v[squareVariable] = (r.total.square - run.before.square) / took
	v[ratioVariable] = max(-maxLogRatio, min(math.Log(took/float64(run.start.Estimate)), maxLogRatio))
	s := &r.slots[run.slot]
	weight := 1 / float64(max(run.start.OrderSize, 1))
	s.orders += weight
	s.work += float64(run.start.CPU) * took / 1e6
	for i := range v {
		s.sums[i] += weight * v[i]
		for j := i; j < variables; j++ {
			s.products[i][j] += weight * v[i] * v[j]
		}
	}
}

// Take returns the sums for entries and begins a new block, if BlockPeriod has passed. It returns false if there is nothing
// to send. Kinds with too few orders are kept for the next block.
func (r *Recorder) Take(now clock.Millis) (message.Mix, bool) {
	if r.takenAt == 0 || now-r.takenAt < BlockPeriod {
		return message.Mix{}, false
	}
	r.takenAt = now
	var m message.Mix
	var used []int
	for i := range r.slots {
		if r.slots[i].kind != 0 {
			used = append(used, i)
			m.Kinds = append(m.Kinds, uint32(r.slots[i].kind))
		}
	}
	vars := append(append([]int(nil), used...), loadVariable, squareVariable, ratioVariable)
	for n, i := range used {
		s := &r.slots[i]
		if s.orders < minBlockOrders {
			continue
		}
		sums := message.MixSums{Victim: n, Orders: float32(s.orders), Work: float32(s.work)}
		for a, x := range vars {
			for _, y := range vars[a:] {
				sums.Products = append(sums.Products, float32(s.products[x][y]-s.sums[x]*s.sums[y]/s.orders))
			}
		}
		m.Sums = append(m.Sums, sums)
		s.clear()
	}
	r.forget(now)
	return m, len(m.Sums) > 0
}

// clear removes the sums of a slot.
func (s *slot) clear() {
	s.orders, s.work, s.sums, s.products = 0, 0, [variables]float64{}, [variables][variables]float64{}
}

// forget frees the slots of kinds that have not run for kindTimeout. Sums that are kept for the next block name slots, so
// they are removed as well.
func (r *Recorder) forget(now clock.Millis) {
	freed := false
	for i := range r.slots {
		if s := &r.slots[i]; s.kind != 0 && s.running == 0 && now-s.lastSeen >= kindTimeout {
			s.kind, freed = 0, true
		}
	}
	for i := range r.slots {
		if freed {
			r.slots[i].clear()
		}
	}
}
