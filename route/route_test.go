package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/platform"
	"github.com/lavendercourse/lavendercourse/route"
)

// configJSON returns a configuration with the queues "all" for the prefix / and "one" for the given prefix.
func configJSON(version, prefix string) []byte {
	return []byte(`{"version":` + version + `,"routes":[{"name":"all","host":"h","pathPrefix":"/","service":"s"},
		{"name":"one","host":"h","pathPrefix":"` + prefix + `","service":"s"}]}`)
}

// singleChange returns the answer to a read that found one record.
func singleChange(key string, offset uint64, value []byte) lavendercourse.Changes {
	return lavendercourse.Changes{Changes: []lavendercourse.Change{{Key: key, Value: value, Offset: offset}}, Next: offset + 1}
}

// Guards against a request that is matched to a queue with a shorter prefix or of another host.
func TestMatchLongestPrefix(t *testing.T) {
	r := route.New(platform.DecodeConfig)
	r.Apply(singleChange("config", 0, configJSON("3", "/a/")))
	for _, c := range []struct{ host, path, queue, rest string }{
		{"h", "/a/x", "one", "x"}, {"h", "/b/x", "all", "b/x"}, {"other", "/a/x", "", ""},
	} {
		q, rest, ok := r.Match(c.host, c.path)
		assert.Equal(t, q.Name, c.queue)
		assert.Equal(t, rest, c.rest)
		assert.Equal(t, ok, c.queue != "")
	}
}

// Guards against a return to older state: by a stale answer of the store or of a gateway that has read less, a record
// that arrives twice, or a configuration with a lower version than the current one.
func TestStaleRecordsAreIgnored(t *testing.T) {
	r := route.New(platform.DecodeConfig)
	r.Apply(singleChange("config", 4, configJSON("7", "/new/")))
	r.Apply(singleChange("evacuate/d1", 5, []byte("{}")))
	stale := lavendercourse.Contents{End: 3, Records: []lavendercourse.KeyRecord{{Key: "config", Value: configJSON("3", "/old/"), Offset: 2}}}
	r.Replace(stale)
	r.Apply(singleChange("config", 4, configJSON("7", "/new/")))
	r.Apply(singleChange("config", 6, configJSON("6", "/lower/")))
	assert.Equal(t, r.Version(), int64(7))
	assert.Assert(t, r.Drained("d1"))
	_, rest, _ := r.Match("h", "/new/x")
	assert.Equal(t, rest, "x")

	r.Apply(singleChange("evacuate/d1", 8, nil))
	assert.Assert(t, !r.Drained("d1"))
	r.Apply(singleChange("evacuate/d1", 5, []byte("{}")))
	assert.Assert(t, !r.Drained("d1"), "an old record brought a removed key back")
}

// Guards against a failure domain that stays drained because the store no longer keeps the record that restored it.
func TestReplaceRemovesAbsentKeys(t *testing.T) {
	r := route.New(platform.DecodeConfig)
	r.Apply(singleChange("evacuate/d1", 5, []byte("{}")))
	r.Replace(lavendercourse.Contents{End: 5})
	assert.Assert(t, r.Drained("d1"), "contents older than the record removed it")
	r.Replace(lavendercourse.Contents{End: 9})
	assert.Assert(t, !r.Drained("d1"))
	assert.Equal(t, r.Next(), uint64(9))
}

// Guards against a malformed record, or one with an unknown key, that keeps later records from being applied.
func TestMalformedRecordIsSkipped(t *testing.T) {
	r := route.New(platform.DecodeConfig)
	assert.Equal(t, len(r.Apply(singleChange("config", 1, []byte("{")))), 1)
	assert.Equal(t, len(r.Apply(singleChange("wave/1", 2, []byte("{}")))), 0)
	assert.Assert(t, !r.HasConfig())
	r.Apply(singleChange("config", 3, configJSON("2", "/a/")))
	assert.Assert(t, r.HasConfig())
}
