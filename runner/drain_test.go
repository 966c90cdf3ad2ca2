package runner

import (
	"context"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/daemon"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/route"
)

// drainedStore holds one record, which drains the failure domain d1.
type drainedStore struct{ emptyStore }

func (drainedStore) Contents(context.Context, string) (lavendercourse.Contents, error) {
	return lavendercourse.Contents{Records: []lavendercourse.KeyRecord{{Key: "d1", Value: []byte("{}"), Offset: 6}}, End: 7}, nil
}

// Guards against starts in a drained failure domain on orders of a gateway that has not read the newest settings, and
// against a domain that stays drained because the gateway that told so is gone.
func TestNewestDrainCounts(t *testing.T) {
	r := newTestRunner(t, fakeWorker{})
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	current, behind := &gatewayLink{}, &gatewayLink{}
	for _, c := range []struct {
		name  string
		from  *gatewayLink
		drain message.Drain
		want  bool
	}{
		{"nothing is drained", behind, message.Drain{NextOffset: 5, Current: true}, false},
		{"drained", current, message.Drain{NextOffset: 8, Drained: true, Current: true}, true},
		{"gateway that has not read that", behind, message.Drain{NextOffset: 6}, true},
		{"the same offset", behind, message.Drain{NextOffset: 8}, true},
		{"restored, told by the other gateway", behind, message.Drain{NextOffset: 12, Current: true}, false},
		{"old news", current, message.Drain{NextOffset: 9, Drained: true}, false},
	} {
		r.handleDrain(now, c.from, c.name, c.drain)
		assert.Equal(t, r.table.DomainDrained(), c.want, c.name)
		assert.Equal(t, c.from.current, c.drain.Current, c.name)
	}
}

// Guards against starts in a drained failure domain while no gateway that the runner is linked with reads the store, and
// against reads of all runners while one does.
func TestStoreIsReadWithoutCurrentGateway(t *testing.T) {
	for _, c := range []struct {
		name  string
		links []gatewayLink
		want  bool
	}{
		{"no link", nil, false},
		{"no gateway may order runs", []gatewayLink{{}}, false},
		{"one gateway reads the store", []gatewayLink{{enrolled: true}, {current: true}}, false},
		{"no gateway reads the store", []gatewayLink{{enrolled: true}, {enrolled: true}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRunner(t, fakeWorker{})
			r.Kill()
			r.cfg.Domain = "d1"
			r.cfg.Decode = func(key string, _ []byte) (route.Update, error) { return route.Update{DrainedDomain: key}, nil }
			r.mu.Lock()
			for i, g := range c.links {
				g.link = newTestLink(t, discard{})
				r.gateways[strconv.Itoa(i)] = &g
			}
			r.mu.Unlock()
			assert.Equal(t, r.needsStore(), c.want)
			assert.NilError(t, r.readDrain(t.Context(), daemon.NewStreamReader(drainedStore{}, "settings"), route.New(r.cfg.Decode)))
			assert.Assert(t, r.table.DomainDrained())
		})
	}
}
