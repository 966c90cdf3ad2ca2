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

// variant is a deliberately broken reader. The sound one is "".
type variant string

const (
	// forcing readers let every change win.
	forcing variant = "conditions ignored"
	// forgetful readers apply a repeated record again.
	forgetful variant = "publish ids ignored"
	// careless readers take a peer's state for one record newer than it is.
	careless variant = "adopted one record too far"
	// gapped readers do not notice that the log has dropped records.
	gapped variant = "dropped records unnoticed"
	// hasty readers take any page for the end of the log.
	hasty variant = "read without the end of the log"
)

var keys = []string{"domain.a", "team.t.quota"}

var values = map[string][]string{"domain.a": {config.Drained, config.Serving}, "team.t.quota": {"1", "2"}}

// publication is one change as its publisher sees it. It is an operation on the register that the key stands for.
type publication struct {
	rec            config.Record
	reader         *reader
	call, returned int
	fate           config.Publication
}

// model is what a simple replay of the whole log holds after a record.
type model struct {
	version  uint64
	settings map[string]config.Setting
	fates    map[string]uint64
}

func (m model) next(data []byte) model {
	n := model{version: m.version, settings: map[string]config.Setting{}, fates: map[string]uint64{}}
	for k, v := range m.settings {
		n.settings[k] = v
	}
	for k, v := range m.fates {
		n.fates[k] = v
	}
	rec, err := config.Decode(data)
	if _, seen := n.fates[rec.ID]; err != nil || rec.Snapshot != nil || seen {
		return n
	}
	if rec.ID != "" {
		n.fates[rec.ID] = 0
	}
	if config.CheckSetting(rec.Key, rec.Value) == nil && (rec.Force || n.settings[rec.Key].Version == rec.Base) {
		n.version++
		if rec.ID != "" {
			n.fates[rec.ID] = n.version
		}
		n.settings[rec.Key] = config.Setting{Key: rec.Key, Value: rec.Value, Version: n.version}
	}
	return n
}

type reader struct {
	state *config.State
	// pages are the answers of the log that are under way, and calls the times of their requests.
	pages []lavendercourse.Page
	calls []int
	last  uint64
}

type world struct {
	t       *rapid.T
	broken  variant
	now     int
	first   uint64
	log     []lavendercourse.Record
	models  []model
	readers []*reader
	// late are appends and states that are under way.
	late   [][]byte
	states []config.Snapshot
	open   []*publication
	ops    []porcupine.Operation
	err    error
}

// pick returns 0 to n-1. It draws bit by bit, because rapid prefers the low end of a range.
func (w *world) pick(label string, n int) int {
	value := 0
	for range bits.Len(uint(n-1)) + 2 {
		value <<= 1
		if rapid.Bool().Draw(w.t, label) {
			value++
		}
	}
	return value % n
}

func (w *world) append(data []byte) {
	w.log = append(w.log, lavendercourse.Record{Offset: uint64(len(w.log) + 1), Data: data})
	w.models = append(w.models, w.models[len(w.models)-1].next(data))
}

func (w *world) encode(rec config.Record) []byte {
	b, err := config.Encode(rec)
	if err != nil {
		w.t.Fatal(err)
	}
	return b
}

func (w *world) publish(r *reader) {
	key := keys[w.pick("key", len(keys))]
	rec := config.Record{
		ID: fmt.Sprint("p", w.now), Key: key, Value: values[key][w.pick("value", 2)], Force: w.pick("force", 3) == 0,
	}
	if old, ok := r.state.Get(key); ok && !rec.Force {
		rec.Base = old.Version
	}
	if w.pick("invalid", 20) == 0 {
		rec.Value = "nonsense"
	}
	w.open = append(w.open, &publication{rec: rec, reader: r, call: w.now})
	b := w.encode(rec)
	// Without an answer the publisher appends again.
	for range 1 + w.pick("lost answers", 3) {
		w.late = append(w.late, b)
	}
}

// appendUnnamed appends a change without a publish id, which no reader can recognise.
func (w *world) appendUnnamed() {
	rec := config.Record{Key: keys[0], Value: values[keys[0]][w.pick("value", 2)], Force: true}
	w.append(w.encode(rec))
	fate := config.Publication{Version: w.models[len(w.models)-1].version}
	w.ops = append(w.ops, porcupine.Operation{Input: rec, Output: fate, Call: int64(w.now), Return: int64(w.now)})
}

// fetch reads a page of the log, which is applied later.
func (w *world) fetch(r *reader, limit int) {
	page := lavendercourse.Page{First: w.first, Next: uint64(len(w.log) + 1)}
	from := max(r.state.Offset()+1, w.first)
	for i := from; i < page.Next && len(page.Records) < limit; i++ {
		page.Records = append(page.Records, w.log[i-1])
	}
	r.pages, r.calls = append(r.pages, page), append(r.calls, w.now)
}

// apply applies the first page under way. A page that reaches the end of the log is a read of all registers.
func (w *world) apply(r *reader) {
	if len(r.pages) == 0 {
		return
	}
	page, call := r.pages[0], r.calls[0]
	r.pages, r.calls = r.pages[1:], r.calls[1:]
	r.state.Apply(w.spoil(page))
	if r.state.Based() && (r.state.Offset()+1 >= page.Next || w.broken == hasty) {
		for _, key := range keys {
			v, _ := r.state.Get(key)
			w.ops = append(w.ops, porcupine.Operation{
				Input: config.Record{Key: key}, Output: v, Call: int64(call), Return: int64(w.now),
			})
		}
	}
	w.check(r)
}

// spoil changes a page for the broken variants.
func (w *world) spoil(page lavendercourse.Page) lavendercourse.Page {
	if w.broken == gapped {
		page.First = 1
	}
	if w.broken != forcing && w.broken != forgetful {
		return page
	}
	records := append([]lavendercourse.Record(nil), page.Records...)
	for i := range records {
		rec, err := config.Decode(records[i].Data)
		if err != nil || rec.Snapshot != nil {
			continue
		}
		rec.Force = rec.Force || w.broken == forcing
		if w.broken == forgetful {
			rec.ID = ""
		}
		records[i].Data = w.encode(rec)
	}
	page.Records = records
	return page
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

// check compares a reader with the model and settles the publications whose fate it knows.
func (w *world) check(r *reader) {
	s := r.state
	if s.Version() < r.last {
		w.fail("version falls from %d to %d", r.last, s.Version())
	}
	r.last = s.Version()
	if !s.Based() {
		return
	}
	if s.Offset() > uint64(len(w.log)) {
		w.fail("offset %d of a log with %d records", s.Offset(), len(w.log))
		return
	}
	m := w.models[s.Offset()]
	got := map[string]config.Setting{}
	for _, v := range s.Settings() {
		got[v.Key] = v
	}
	if s.Version() != m.version || !reflect.DeepEqual(got, m.settings) {
		w.fail("offset %d: version %d of %v, want %d of %v", s.Offset(), s.Version(), got, m.version, m.settings)
	}
	for id, version := range m.fates {
		if fate, ok := s.Fate(id); !ok || fate.Version != version {
			w.fail("offset %d: fate of %s is %v, want version %d", s.Offset(), id, fate, version)
		}
	}
	w.settle(r)
}

func (w *world) settle(r *reader) {
	var open []*publication
	for _, p := range w.open {
		fate, ok := r.state.Fate(p.rec.ID)
		if !ok || p.reader != r {
			open = append(open, p)
			continue
		}
		w.ops = append(w.ops, porcupine.Operation{Input: p.rec, Output: fate, Call: int64(p.call), Return: int64(w.now)})
	}
	w.open = open
}

func (w *world) adopt(r *reader) {
	if len(w.states) == 0 {
		return
	}
	snap := w.states[w.pick("state", len(w.states))]
	if w.broken == careless {
		snap.Offset++
	}
	if r.state.Adopt(snap) {
		w.check(r)
	}
}

func (w *world) step() {
	w.now++
	r := w.readers[w.pick("reader", len(w.readers))]
	switch w.pick("step", 16) {
	case 0, 1, 2:
		w.publish(r)
	case 3, 4, 5, 6:
		if n := len(w.late); n > 0 {
			i := w.pick("append", n)
			w.append(w.late[i])
			w.late = append(w.late[:i], w.late[i+1:]...)
		}
	case 7, 8:
		w.fetch(r, 1+w.pick("limit", 6))
	case 9, 10, 11:
		w.apply(r)
	case 12:
		if snap := r.state.Snapshot(); r.state.Based() {
			w.states = append(w.states, snap)
			w.late = append(w.late, w.encode(config.Record{Snapshot: &snap}))
		}
	case 13:
		w.adopt(r)
	case 14:
		w.first += uint64(w.pick("dropped", 1+len(w.log)+1-int(w.first)))
	case 15:
		switch w.pick("odd", 3) {
		case 0:
			w.readers = append(w.readers, &reader{state: config.New()})
		case 1:
			w.append([]byte{0xff, byte(w.now)})
		case 2:
			w.appendUnnamed()
		}
	}
}

// finish lets every reader read the whole log and a last snapshot of a reader that is complete.
func (w *world) finish() {
	for _, data := range w.late {
		w.append(data)
	}
	for round := range 2 {
		for _, r := range w.readers {
			w.now++
			w.fetch(r, len(w.log))
			for len(r.pages) > 0 {
				w.apply(r)
			}
			if r.state.Offset() != uint64(len(w.log)) {
				w.fail("a reader stays at offset %d of %d", r.state.Offset(), len(w.log))
			}
			if snap := r.state.Snapshot(); r.state.Based() && round == 0 {
				w.append(w.encode(config.Record{Snapshot: &snap}))
			}
		}
	}
	complete := 0
	for _, r := range w.readers {
		if r.state.Based() {
			complete++
		}
	}
	if complete > 0 && complete < len(w.readers) {
		w.fail("only %d of %d readers are complete after a snapshot", complete, len(w.readers))
	}
}

// register is one configuration key. The state is its setting.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, len(keys))
		for _, op := range history {
			for i, key := range keys {
				if op.Input.(config.Record).Key == key {
					parts[i] = append(parts[i], op)
				}
			}
		}
		return parts
	},
	Init: func() any { return config.Setting{} },
	Step: func(state, input, output any) (bool, any) {
		now, rec := state.(config.Setting), input.(config.Record)
		fate, published := output.(config.Publication)
		if !published {
			return output.(config.Setting) == now, now
		}
		wins := config.CheckSetting(rec.Key, rec.Value) == nil && (rec.Force || rec.Base == now.Version)
		if !wins || !fate.Won() {
			return wins == fate.Won(), now
		}
		return fate.Version > now.Version, config.Setting{Key: rec.Key, Value: rec.Value, Version: fate.Version}
	},
}

// replay runs one random history and returns the first broken promise.
func replay(t *rapid.T, broken variant) error {
	w := &world{t: t, broken: broken, first: 1, models: []model{{settings: map[string]config.Setting{}}}}
	for range 3 {
		w.readers = append(w.readers, &reader{state: config.New()})
	}
	steps := 90
	if broken == hasty {
		// The search for an order that does not exist takes exponential time.
		steps = 50
	}
	for i := 0; i < steps && w.err == nil; i++ {
		w.step()
	}
	if w.err == nil {
		w.finish()
	}
	// Publications that no reader has settled may have taken effect at any time.
	for _, p := range w.open {
		if m := w.models[len(w.models)-1]; w.err == nil {
			if version, ok := m.fates[p.rec.ID]; ok {
				w.ops = append(w.ops, porcupine.Operation{
					Input: p.rec, Output: config.Publication{ID: p.rec.ID, Version: version}, Call: int64(p.call), Return: int64(w.now + 1),
				})
			}
		}
	}
	if w.err == nil && !porcupine.CheckOperations(register, w.ops) {
		w.fail("the configuration is not linearizable")
	}
	return w.err
}

// Guards against readers that disagree, versions that fall, accepted changes that revert, lost changes that leave a
// trace, and a history that no single register could have, under racing and repeated records, malformed records,
// snapshots, retention, late readers and states adopted from a peer.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := replay(t, ""); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against checks of TestReadersAgree that cannot fail.
func TestReaderChecksCatchBrokenReaders(t *testing.T) {
	for broken, want := range map[variant]string{
		forcing: "version", forgetful: "fate of", careless: "offset", gapped: "version", hasty: "not linearizable",
	} {
		t.Run(string(broken), func(t *testing.T) {
			histories := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint(replay(t, broken)) })
			for seed := range 200 {
				if report := histories.Example(seed); strings.Contains(report, want) {
					t.Logf("history %d: %s", seed, report)
					return
				}
			}
			t.Fatal("no history shows the fault")
		})
	}
}

// Guards against a register model that accepts every history: a read that misses an earlier change must not pass.
func TestRegisterRejectsStaleRead(t *testing.T) {
	rec := config.Record{ID: "p", Key: keys[0], Value: config.Drained}
	history := []porcupine.Operation{
		{Input: rec, Output: config.Publication{ID: "p", Version: 1}, Call: 1, Return: 2},
		{Input: config.Record{Key: keys[0]}, Output: config.Setting{}, Call: 3, Return: 4},
	}
	assert.Assert(t, !porcupine.CheckOperations(register, history))
	history[1].Call = 1
	assert.Assert(t, porcupine.CheckOperations(register, history))
}

// Guards against a reader of an emptied stream that never reaches its end, or that takes itself for complete.
func TestEmptiedStream(t *testing.T) {
	s := config.New()
	s.Apply(lavendercourse.Page{First: 5, Next: 5})
	assert.Equal(t, s.Offset(), uint64(4))
	assert.Assert(t, !s.Based())
	assert.Assert(t, !s.Adopt(config.Snapshot{Version: 1, Offset: 3}), "record 4 is missing")
	assert.Assert(t, s.Adopt(config.Snapshot{Version: 1, Offset: 4}))
	assert.Assert(t, s.Based())
	s.Apply(lavendercourse.Page{First: 5, Next: 5})
	assert.Assert(t, s.Based(), "nothing was missed")
}
