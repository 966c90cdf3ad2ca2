package route_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/platform"
	"github.com/lavendercourse/lavendercourse/route"
)

// stream holds all records of the configuration stream; the index of a record is its offset.
type stream []lavendercourse.Change

// contents returns the newest record of each key before the offset end.
func (s stream) contents(end int) lavendercourse.Contents {
	newest := map[string]lavendercourse.Change{}
	for _, c := range s[:end] {
		newest[c.Key] = c
	}
	c := lavendercourse.Contents{End: uint64(end)}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if r := newest[key]; len(r.Value) > 0 {
			c.Records = append(c.Records, lavendercourse.KeyRecord{Key: r.Key, Value: r.Value, Offset: r.Offset})
		}
	}
	return c
}

// state returns the version and the drained failure domains after all records before the offset end, applied in order.
func (s stream) state(end int) (int64, []string) {
	t := route.New(platform.DecodeConfig)
	for _, c := range s[:end] {
		t.Apply(lavendercourse.Changes{Changes: []lavendercourse.Change{c}, Next: c.Offset + 1})
	}
	return t.Version(), t.DrainedDomains()
}

// Compares two gateways with the stream after random records, reads, delayed answers and copies from each other. Guards
// against a version that decreases, a drained failure domain that counts as serving, and so gets orders, before it is
// restored, and one that stays drained after that.
func TestRandomReadOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records stream
		version := int64(0)
		tables := []*route.Table{route.New(platform.DecodeConfig), route.New(platform.DecodeConfig)}
		highestVersion := make([]int64, len(tables))
		// delayed holds answers that have been sent but not yet delivered.
		var delayed []func(*route.Table)
		appendRecord := func(key string, value []byte) {
			records = append(records, lavendercourse.Change{Key: key, Value: value, Offset: uint64(len(records))})
		}
		randomDomainKey := func(t *rapid.T) string {
			return "evacuate/d" + strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "domain"))
		}
		randomTable := func(t *rapid.T) *route.Table { return tables[rapid.IntRange(0, 1).Draw(t, "table")] }
		// deliver applies an answer to the table that requested it, now or in a later action.
		deliver := func(t *rapid.T, table *route.Table, apply func(*route.Table)) {
			if rapid.Bool().Draw(t, "late") {
				delayed = append(delayed, func(*route.Table) { apply(table) })
				return
			}
			apply(table)
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				version += int64(rapid.IntRange(1, 3).Draw(t, "step"))
				appendRecord("config", configJSON(strconv.FormatInt(version, 10), fmt.Sprintf("/v%d/", version)))
			},
			"drain":   func(t *rapid.T) { appendRecord(randomDomainKey(t), []byte("{}")) },
			"restore": func(t *rapid.T) { appendRecord(randomDomainKey(t), nil) },
			// foreign writes a malformed value to a key that the decoder ignores.
			"foreign": func(*rapid.T) { appendRecord("other", []byte("{")) },
			"read changes": func(t *rapid.T) {
				table := randomTable(t)
				from := int(table.Next())
				end := rapid.IntRange(from, len(records)).Draw(t, "end")
				c := lavendercourse.Changes{Changes: slices.Clone(records[from:end]), Next: uint64(end)}
				deliver(t, table, func(r *route.Table) { r.Apply(c) })
			},
			"read all": func(t *rapid.T) {
				c := records.contents(len(records))
				deliver(t, randomTable(t), func(r *route.Table) { r.Replace(c) })
			},
			"ask other gateway": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "asker")
				c := tables[1-i].Contents()
				deliver(t, tables[i], func(r *route.Table) { r.Replace(c) })
			},
			// arrive delivers a random one of the delayed answers.
			"arrive": func(t *rapid.T) {
				if len(delayed) == 0 {
					return
				}
				i := rapid.IntRange(0, len(delayed)-1).Draw(t, "answer")
				apply := delayed[i]
				delayed = slices.Delete(delayed, i, i+1)
				apply(nil)
			},
			"": func(t *rapid.T) {
				for i, r := range tables {
					if r.Version() < highestVersion[i] {
						t.Fatalf("gateway %d: version decreased from %d to %d", i, highestVersion[i], r.Version())
					}
					highestVersion[i] = r.Version()
					wantVersion, want := records.state(int(r.Next()))
					if r.Version() != wantVersion || !slices.Equal(r.DrainedDomains(), want) {
						t.Fatalf("gateway %d at offset %d: version %d, drained %v; want %d, %v", i, r.Next(), r.Version(),
							r.DrainedDomains(), wantVersion, want)
					}
				}
			},
		})
	})
}
