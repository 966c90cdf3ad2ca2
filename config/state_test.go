package config_test

import (
	"fmt"
	"math/bits"
	"reflect"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/config"
)

// fault is a fault that a simulation injects into its readers, to verify that its checks detect it. "" injects none.
type fault string

const (
	// baseIgnored: every change is applied, whatever its base version.
	baseIgnored fault = "base versions ignored"
	// publishIDsIgnored: a repeated record is applied again.
	publishIDsIgnored fault = "publish ids ignored"
	// adoptOffsetTooHigh: a peer's state is adopted with an offset that is one record too high.
	adoptOffsetTooHigh fault = "adopted offset too high"
	// gapUnnoticed: the reader does not notice that the log has dropped records.
	gapUnnoticed fault = "dropped records unnoticed"
	// logEndIgnored: the reader takes any page for the end of the log.
	logEndIgnored fault = "read without the end of the log"
)

var settingKeys = []string{"domain.a", "team.t.quota"}

var settingValues = map[string][]string{"domain.a": {config.Drained, config.Serving}, "team.t.quota": {"1", "2"}}

// publication is one change as its publisher sees it: a write to the register that models the key. Times are in steps
// of the simulation.
type publication struct {
	rec                  config.Record
	reader               *reader
	calledAt, returnedAt int
	result               config.Publication
}

// model is the expected state after a record, derived by a simple replay of the whole log.
type model struct {
	version  uint64
	settings map[string]config.Setting
	// results holds, by publish id, the version that the change produced, or 0 if it was rejected.
	results map[string]uint64
}

// apply returns the state after the given record.
func (m model) apply(data []byte) model {
	n := model{version: m.version, settings: map[string]config.Setting{}, results: map[string]uint64{}}
	for k, v := range m.settings {
		n.settings[k] = v
	}
	for k, v := range m.results {
		n.results[k] = v
	}
	rec, err := config.Decode(data)
	if _, known := n.results[rec.ID]; err != nil || rec.Snapshot != nil || known {
		return n
	}
	if rec.ID != "" {
		n.results[rec.ID] = 0
	}
	if config.CheckSetting(rec.Key, rec.Value) == nil && (rec.Force || n.settings[rec.Key].Version == rec.Base) {
		n.version++
		if rec.ID != "" {
			n.results[rec.ID] = n.version
		}
		n.settings[rec.Key] = config.Setting{Key: rec.Key, Value: rec.Value, Version: n.version}
	}
	return n
}

type reader struct {
	state *config.State
	// pages holds the pages that were read from the log and not applied yet, and readTimes the times of these reads.
	pages     []lavendercourse.Page
	readTimes []int
	// lastVersion is the version at the previous check.
	lastVersion uint64
}

// simulation is a log and its readers, with the histories that the checks examine.
type simulation struct {
	t        *rapid.T
	injected fault
	// now is the number of steps simulated so far.
	now int
	// firstOffset is the offset of the oldest record that the log has kept.
	firstOffset uint64
	log         []lavendercourse.Record
	models      []model
	readers     []*reader
	// pendingAppends holds the records that were sent to the log and are not appended yet.
	pendingAppends [][]byte
	// peerStates holds the states that readers have sent to their peers.
	peerStates []config.Snapshot
	// unresolved holds the publications whose result their publisher has not read yet.
	unresolved []*publication
	operations []porcupine.Operation
	err        error
}

// pick returns 0 to n-1. It draws bit by bit, because rapid prefers the low end of a range.
func (sim *simulation) pick(label string, n int) int {
	value := 0
	for range bits.Len(uint(n-1)) + 2 {
		value <<= 1
		if rapid.Bool().Draw(sim.t, label) {
			value++
		}
	}
	return value % n
}

func (sim *simulation) append(data []byte) {
	sim.log = append(sim.log, lavendercourse.Record{Offset: uint64(len(sim.log) + 1), Data: data})
	sim.models = append(sim.models, sim.models[len(sim.models)-1].apply(data))
}

func (sim *simulation) encode(rec config.Record) []byte {
	b, err := config.Encode(rec)
	if err != nil {
		sim.t.Fatal(err)
	}
	return b
}

func (sim *simulation) publish(r *reader) {
	key := settingKeys[sim.pick("key", len(settingKeys))]
	rec := config.Record{
		ID: fmt.Sprint("p", sim.now), Key: key, Value: settingValues[key][sim.pick("value", 2)], Force: sim.pick("force", 3) == 0,
	}
	if old, ok := r.state.Get(key); ok && !rec.Force {
		rec.Base = old.Version
	}
	if sim.pick("invalid", 20) == 0 {
		rec.Value = "nonsense"
	}
	sim.unresolved = append(sim.unresolved, &publication{rec: rec, reader: r, calledAt: sim.now})
	b := sim.encode(rec)
	// A publisher that receives no answer appends the record again.
	for range 1 + sim.pick("lost answers", 3) {
		sim.pendingAppends = append(sim.pendingAppends, b)
	}
}

// appendWithoutID appends a change without a publish id. Readers cannot look up its result, so it is taken from the
// model.
func (sim *simulation) appendWithoutID() {
	rec := config.Record{Key: settingKeys[0], Value: settingValues[settingKeys[0]][sim.pick("value", 2)], Force: true}
	sim.append(sim.encode(rec))
	result := config.Publication{Version: sim.models[len(sim.models)-1].version}
	sim.operations = append(sim.operations, porcupine.Operation{Input: rec, Output: result, Call: int64(sim.now), Return: int64(sim.now)})
}

// fetch reads a page of at most limit records, which is applied later.
func (sim *simulation) fetch(r *reader, limit int) {
	page := lavendercourse.Page{First: sim.firstOffset, Next: uint64(len(sim.log) + 1)}
	from := max(r.state.Offset()+1, sim.firstOffset)
	for i := from; i < page.Next && len(page.Records) < limit; i++ {
		page.Records = append(page.Records, sim.log[i-1])
	}
	r.pages, r.readTimes = append(r.pages, page), append(r.readTimes, sim.now)
}

// apply applies the oldest page that the reader has fetched. If it reaches the end of the log, this counts as a read of
// all registers.
func (sim *simulation) apply(r *reader) {
	if len(r.pages) == 0 {
		return
	}
	page, readAt := r.pages[0], r.readTimes[0]
	r.pages, r.readTimes = r.pages[1:], r.readTimes[1:]
	r.state.Apply(sim.injectFault(page))
	if r.state.Complete() && (r.state.Offset()+1 >= page.Next || sim.injected == logEndIgnored) {
		for _, key := range settingKeys {
			v, _ := r.state.Get(key)
			sim.operations = append(sim.operations, porcupine.Operation{
				Input: config.Record{Key: key}, Output: v, Call: int64(readAt), Return: int64(sim.now),
			})
		}
	}
	sim.check(r)
}

// injectFault changes a page as the injected fault requires.
func (sim *simulation) injectFault(page lavendercourse.Page) lavendercourse.Page {
	if sim.injected == gapUnnoticed {
		page.First = 1
	}
	if sim.injected != baseIgnored && sim.injected != publishIDsIgnored {
		return page
	}
	records := append([]lavendercourse.Record(nil), page.Records...)
	for i := range records {
		rec, err := config.Decode(records[i].Data)
		if err != nil || rec.Snapshot != nil {
			continue
		}
		rec.Force = rec.Force || sim.injected == baseIgnored
		if sim.injected == publishIDsIgnored {
			rec.ID = ""
		}
		records[i].Data = sim.encode(rec)
	}
	page.Records = records
	return page
}

func (sim *simulation) failf(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf(format, args...)
	}
}

// check compares the state of a reader with the model, and resolves the publications of that reader whose results it
// has read.
func (sim *simulation) check(r *reader) {
	s := r.state
	if s.Version() < r.lastVersion {
		sim.failf("version decreases from %d to %d", r.lastVersion, s.Version())
	}
	r.lastVersion = s.Version()
	if !s.Complete() {
		return
	}
	if s.Offset() > uint64(len(sim.log)) {
		sim.failf("reader is at offset %d of a log with %d records", s.Offset(), len(sim.log))
		return
	}
	m := sim.models[s.Offset()]
	got := map[string]config.Setting{}
	for _, v := range s.Settings() {
		got[v.Key] = v
	}
	if s.Version() != m.version || !reflect.DeepEqual(got, m.settings) {
		sim.failf("offset %d: version %d of %v, want %d of %v", s.Offset(), s.Version(), got, m.version, m.settings)
	}
	for id, version := range m.results {
		if result, ok := s.PublishResult(id); !ok || result.Version != version {
			sim.failf("offset %d: result of %s is %v, want version %d", s.Offset(), id, result, version)
		}
	}
	sim.resolve(r)
}

// resolve completes the operations of the publications whose results the reader, their publisher, has read.
func (sim *simulation) resolve(r *reader) {
	var unresolved []*publication
	for _, p := range sim.unresolved {
		result, ok := r.state.PublishResult(p.rec.ID)
		if !ok || p.reader != r {
			unresolved = append(unresolved, p)
			continue
		}
		sim.operations = append(sim.operations, porcupine.Operation{Input: p.rec, Output: result, Call: int64(p.calledAt), Return: int64(sim.now)})
	}
	sim.unresolved = unresolved
}

func (sim *simulation) adoptPeerState(r *reader) {
	if len(sim.peerStates) == 0 {
		return
	}
	snap := sim.peerStates[sim.pick("state", len(sim.peerStates))]
	if sim.injected == adoptOffsetTooHigh {
		snap.Offset++
	}
	if r.state.Adopt(snap) {
		sim.check(r)
	}
}

func (sim *simulation) step() {
	sim.now++
	r := sim.readers[sim.pick("reader", len(sim.readers))]
	switch sim.pick("step", 16) {
	case 0, 1, 2:
		sim.publish(r)
	case 3, 4, 5, 6:
		if n := len(sim.pendingAppends); n > 0 {
			i := sim.pick("append", n)
			sim.append(sim.pendingAppends[i])
			sim.pendingAppends = append(sim.pendingAppends[:i], sim.pendingAppends[i+1:]...)
		}
	case 7, 8:
		sim.fetch(r, 1+sim.pick("limit", 6))
	case 9, 10, 11:
		sim.apply(r)
	case 12:
		if snap := r.state.Snapshot(); r.state.Complete() {
			sim.peerStates = append(sim.peerStates, snap)
			sim.pendingAppends = append(sim.pendingAppends, sim.encode(config.Record{Snapshot: &snap}))
		}
	case 13:
		sim.adoptPeerState(r)
	case 14:
		sim.firstOffset += uint64(sim.pick("dropped", 1+len(sim.log)+1-int(sim.firstOffset)))
	case 15:
		switch sim.pick("odd", 3) {
		case 0:
			sim.readers = append(sim.readers, &reader{state: config.New()})
		case 1:
			sim.append([]byte{0xff, byte(sim.now)})
		case 2:
			sim.appendWithoutID()
		}
	}
}

// readToEnd appends the outstanding records and lets every reader read the whole log. Complete readers then append a
// snapshot, and all readers read on to the end.
func (sim *simulation) readToEnd() {
	for _, data := range sim.pendingAppends {
		sim.append(data)
	}
	for round := range 2 {
		for _, r := range sim.readers {
			sim.now++
			sim.fetch(r, len(sim.log))
			for len(r.pages) > 0 {
				sim.apply(r)
			}
			if r.state.Offset() != uint64(len(sim.log)) {
				sim.failf("a reader is at offset %d after reading a log with %d records", r.state.Offset(), len(sim.log))
			}
			if snap := r.state.Snapshot(); r.state.Complete() && round == 0 {
				sim.append(sim.encode(config.Record{Snapshot: &snap}))
			}
		}
	}
	complete := 0
	for _, r := range sim.readers {
		if r.state.Complete() {
			complete++
		}
	}
	if complete > 0 && complete < len(sim.readers) {
		sim.failf("%d of %d readers are complete after all have read a snapshot", complete, len(sim.readers))
	}
}

// registerModel models one configuration key as a register, whose value is the setting.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, len(settingKeys))
		for _, op := range history {
			for i, key := range settingKeys {
				if op.Input.(config.Record).Key == key {
					parts[i] = append(parts[i], op)
				}
			}
		}
		return parts
	},
	Init: func() any { return config.Setting{} },
	Step: func(state, input, output any) (bool, any) {
		current, rec := state.(config.Setting), input.(config.Record)
		result, isPublish := output.(config.Publication)
		if !isPublish {
			return output.(config.Setting) == current, current
		}
		applies := config.CheckSetting(rec.Key, rec.Value) == nil && (rec.Force || rec.Base == current.Version)
		if !applies || !result.Applied() {
			return applies == result.Applied(), current
		}
		return result.Version > current.Version, config.Setting{Key: rec.Key, Value: rec.Value, Version: result.Version}
	},
}

// simulate simulates one random history and returns the first violation found.
func simulate(t *rapid.T, injected fault) error {
	sim := &simulation{t: t, injected: injected, firstOffset: 1, models: []model{{settings: map[string]config.Setting{}}}}
	for range 3 {
		sim.readers = append(sim.readers, &reader{state: config.New()})
	}
	steps := 90
	if injected == logEndIgnored {
		// If no linearization exists, the search for one takes exponential time.
		steps = 50
	}
	for i := 0; i < steps && sim.err == nil; i++ {
		sim.step()
	}
	if sim.err == nil {
		sim.readToEnd()
	}
	// A publication whose result its publisher has not read may have taken effect at any time since its call.
	for _, p := range sim.unresolved {
		if m := sim.models[len(sim.models)-1]; sim.err == nil {
			if version, ok := m.results[p.rec.ID]; ok {
				sim.operations = append(sim.operations, porcupine.Operation{
					Input: p.rec, Output: config.Publication{ID: p.rec.ID, Version: version}, Call: int64(p.calledAt), Return: int64(sim.now + 1),
				})
			}
		}
	}
	if sim.err == nil && !porcupine.CheckOperations(registerModel, sim.operations) {
		sim.failf("the history of the configuration is not linearizable")
	}
	return sim.err
}

// Guards against readers that disagree, versions that decrease, accepted changes that are reverted, rejected changes
// that take effect, and histories that are not linearizable. Records compete, repeat or are malformed, the log drops
// old records, readers start late, and states come from snapshots and peers.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulate(t, ""); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against checks in TestReadersAgree that never fail.
func TestReaderChecksDetectInjectedFaults(t *testing.T) {
	for injected, want := range map[fault]string{
		baseIgnored: "version", publishIDsIgnored: "result of", adoptOffsetTooHigh: "offset", gapUnnoticed: "version", logEndIgnored: "not linearizable",
	} {
		t.Run(string(injected), func(t *testing.T) {
			histories := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint(simulate(t, injected)) })
			for seed := range 200 {
				if violation := histories.Example(seed); strings.Contains(violation, want) {
					t.Logf("history %d: %s", seed, violation)
					return
				}
			}
			t.Fatal("no history in 200 violates the checks")
		})
	}
}

// Guards against a register model that accepts every history: it must reject a read that misses an earlier change.
func TestRegisterModelRejectsStaleRead(t *testing.T) {
	rec := config.Record{ID: "p", Key: settingKeys[0], Value: config.Drained}
	history := []porcupine.Operation{
		{Input: rec, Output: config.Publication{ID: "p", Version: 1}, Call: 1, Return: 2},
		{Input: config.Record{Key: settingKeys[0]}, Output: config.Setting{}, Call: 3, Return: 4},
	}
	assert.Assert(t, !porcupine.CheckOperations(registerModel, history))
	history[1].Call = 1
	assert.Assert(t, porcupine.CheckOperations(registerModel, history))
}

// Guards against a reader of a stream whose records were all dropped that never reaches its end, or that reports itself
// complete.
func TestStreamWithAllRecordsDropped(t *testing.T) {
	s := config.New()
	s.Apply(lavendercourse.Page{First: 5, Next: 5})
	assert.Equal(t, s.Offset(), uint64(4))
	assert.Assert(t, !s.Complete())
	assert.Assert(t, !s.Adopt(config.Snapshot{Version: 1, Offset: 3}), "record 4 is missing")
	assert.Assert(t, s.Adopt(config.Snapshot{Version: 1, Offset: 4}))
	assert.Assert(t, s.Complete())
	s.Apply(lavendercourse.Page{First: 5, Next: 5})
	assert.Assert(t, s.Complete(), "nothing was missed")
}
