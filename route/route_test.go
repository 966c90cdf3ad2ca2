package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/platform"
	"github.com/lavendercourse/lavendercourse/route"
)

func config(version, prefix string) []byte {
	return []byte(`{"version":` + version + `,"routes":[{"name":"all","host":"h","pathPrefix":"/","service":"s"},
		{"name":"one","host":"h","pathPrefix":"` + prefix + `","service":"s"}]}`)
}

func change(key string, offset uint64, value []byte) lavendercourse.Changes {
	return lavendercourse.Changes{Changes: []lavendercourse.Change{{Key: key, Value: value, Offset: offset}}, Next: offset + 1}
}

// Guards against a request that gets the queue of a shorter prefix or of another host.
func TestMatch(t *testing.T) {
	r := route.New(platform.DecodeControl)
	r.Apply(change("config", 0, config("3", "/a/")))
	for _, c := range []struct{ host, path, queue, rest string }{
		{"h", "/a/x", "one", "x"}, {"h", "/b/x", "all", "b/x"}, {"other", "/a/x", "", ""},
	} {
		q, rest, ok := r.Match(c.host, c.path)
		assert.Equal(t, q.Name, c.queue)
		assert.Equal(t, rest, c.rest)
		assert.Equal(t, ok, c.queue != "")
	}
}

// Guards against a state that goes back: stale answers of the store, peers that are behind, records that come twice, and
// a version below the one in force.
func TestStateNeverGoesBack(t *testing.T) {
	r := route.New(platform.DecodeControl)
	r.Apply(change("config", 4, config("7", "/new/")))
	r.Apply(change("evacuate/d1", 5, []byte("{}")))
	stale := lavendercourse.Contents{End: 3, Settings: []lavendercourse.Setting{{Key: "config", Value: config("3", "/old/"), Offset: 2}}}
	r.Replace(stale)
	r.Apply(change("config", 4, config("7", "/new/")))
	r.Apply(change("config", 6, config("6", "/lower/")))
	assert.Equal(t, r.Version(), int64(7))
	assert.Assert(t, r.Drained("d1"))
	_, rest, _ := r.Match("h", "/new/x")
	assert.Equal(t, rest, "x")

	r.Apply(change("evacuate/d1", 8, nil))
	assert.Assert(t, !r.Drained("d1"))
	r.Apply(change("evacuate/d1", 5, []byte("{}")))
	assert.Assert(t, !r.Drained("d1"), "a removed record does not come back")
}

// Guards against a failure domain that stays drained because its removal was among the records that the store forgot.
func TestReplaceFindsRemovals(t *testing.T) {
	r := route.New(platform.DecodeControl)
	r.Apply(change("evacuate/d1", 5, []byte("{}")))
	r.Replace(lavendercourse.Contents{End: 5})
	assert.Assert(t, r.Drained("d1"), "the contents are older than the record")
	r.Replace(lavendercourse.Contents{End: 9})
	assert.Assert(t, !r.Drained("d1"))
	assert.Equal(t, r.Next(), uint64(9))
}

// Guards against a record of another writer that stops the reading of others.
func TestUnreadableRecordIsSkipped(t *testing.T) {
	r := route.New(platform.DecodeControl)
	assert.Equal(t, len(r.Apply(change("config", 1, []byte("{")))), 1)
	assert.Equal(t, len(r.Apply(change("wave/1", 2, []byte("{}")))), 0)
	assert.Assert(t, !r.Ready())
	r.Apply(change("config", 3, config("2", "/a/")))
	assert.Assert(t, r.Ready())
}
