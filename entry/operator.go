package entry

import (
	"context"
	"sort"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/config"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/logservice"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

const publishPoll = 20 * time.Millisecond

// errUnread keeps an entry that was just started from showing a version below one that operators saw before.
var errUnread = eris.New("entry has not read the configuration yet")

// operator serves operators.
type operator struct {
	*core
	follower *follower
}

// PublishConfig implements the schema.
func (o *operator) PublishConfig(ctx context.Context, req *connect.Request[dispatchv1.PublishConfigRequest]) (*connect.Response[dispatchv1.PublishConfigResponse], error) {
	m := req.Msg
	if err := config.CheckSetting(m.GetKey(), m.GetValue()); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(o.publishLogged(ctx, config.Record{
		ID: m.GetId(), Key: m.GetKey(), Value: m.GetValue(), Base: m.GetBase(), Force: m.GetForce(),
	})), nil
}

// SetDomain implements the schema.
func (o *operator) SetDomain(ctx context.Context, req *connect.Request[dispatchv1.SetDomainRequest]) (*connect.Response[dispatchv1.PublishConfigResponse], error) {
	value := config.Serving
	if req.Msg.GetDrained() {
		value = config.Drained
	}
	key := config.DomainKey(req.Msg.GetDomain())
	if err := config.CheckSetting(key, value); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(o.publishLogged(ctx, config.Record{ID: req.Msg.GetId(), Key: key, Value: value, Force: true})), nil
}

// GetConfig implements the schema.
func (o *operator) GetConfig(context.Context, *connect.Request[dispatchv1.GetConfigRequest]) (*connect.Response[dispatchv1.GetConfigResponse], error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.state.Based() {
		return nil, connect.NewError(connect.CodeUnavailable, errUnread)
	}
	return connect.NewResponse(&dispatchv1.GetConfigResponse{
		Version: o.state.Version(), Entries: entriesOf(o.state.Settings()), AgeMs: uint64(o.clock.Now() - o.confirmed),
	}), nil
}

// ConfigHistory implements the schema.
func (o *operator) ConfigHistory(_ context.Context, req *connect.Request[dispatchv1.ConfigHistoryRequest]) (*connect.Response[dispatchv1.ConfigHistoryResponse], error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.state.Based() {
		return nil, connect.NewError(connect.CodeUnavailable, errUnread)
	}
	h := o.state.History(int(req.Msg.GetCount()))
	return connect.NewResponse(&dispatchv1.ConfigHistoryResponse{Entries: entriesOf(h)}), nil
}

// ListDomains implements the schema.
func (o *operator) ListDomains(context.Context, *connect.Request[dispatchv1.ListDomainsRequest]) (*connect.Response[dispatchv1.ListDomainsResponse], error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.state.Based() {
		return nil, connect.NewError(connect.CodeUnavailable, errUnread)
	}
	domains := map[string]*dispatchv1.Domain{}
	at := func(name string) *dispatchv1.Domain {
		if domains[name] == nil {
			domains[name] = &dispatchv1.Domain{Name: name}
		}
		return domains[name]
	}
	for _, a := range o.fleet.Agents() {
		d := at(a.Hello().Domain)
		d.Workers++
		d.Running += uint32(a.Load().Running)
	}
	for name := range o.state.Domains() {
		at(name).Drained = true
	}
	resp := &dispatchv1.ListDomainsResponse{}
	for _, d := range domains {
		resp.Domains = append(resp.Domains, d)
	}
	sort.Slice(resp.Domains, func(i, j int) bool { return resp.Domains[i].Name < resp.Domains[j].Name })
	return connect.NewResponse(resp), nil
}

// ListWorkers implements the schema.
func (o *operator) ListWorkers(context.Context, *connect.Request[dispatchv1.ListWorkersRequest]) (*connect.Response[dispatchv1.ListWorkersResponse], error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	resp := &dispatchv1.ListWorkersResponse{}
	for _, a := range o.fleet.Agents() {
		h := a.Hello()
		resp.Workers = append(resp.Workers, &dispatchv1.Worker{
			Name: h.Name, Region: h.Region, Domain: h.Domain, Rack: h.Rack, Slots: uint32(h.Slots),
			Running: uint32(a.Load().Running), Window: uint32(a.Load().Window), Health: a.Health(),
		})
	}
	return connect.NewResponse(resp), nil
}

// publishLogged publishes a change and logs what became of it.
func (o *operator) publishLogged(ctx context.Context, rec config.Record) *dispatchv1.PublishConfigResponse {
	resp := o.publish(ctx, rec)
	e := event.ConfigRefused
	switch {
	case resp.GetAccepted():
		e = event.ConfigPublished
	case resp.GetUnknown():
		e = event.ConfigOpen
	}
	e.On(o.logger).Str("key", rec.Key).Str("value", rec.Value).Uint64("version", resp.GetVersion()).
		Str("cause", resp.GetMessage()).Send()
	return resp
}

// publish appends a change and waits until it is in force on a majority of the entries, or certainly not in force.
func (o *operator) publish(ctx context.Context, rec config.Record) *dispatchv1.PublishConfigResponse {
	if rec.ID == "" {
		rec.ID = string(lavendercourse.NewIncarnation())
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout.Duration())
	defer cancel()
	o.mu.Lock()
	now := o.clock.Now()
	ready := o.mayAnswer(now) && o.state.Based()
	o.mu.Unlock()
	if !ready {
		return &dispatchv1.PublishConfigResponse{Message: "not published: this entry reaches no majority of the entries"}
	}
	b, err := config.Encode(rec)
	if err != nil {
		return &dispatchv1.PublishConfigResponse{Message: "not published: " + err.Error()}
	}
	certain := o.appendRecord(ctx, b)
	if certain != nil {
		return &dispatchv1.PublishConfigResponse{Message: "not published: " + certain.Error()}
	}
	return o.awaitForce(ctx, rec)
}

// appendRecord appends until the log has answered or the time is up. The id in the record makes a second append of it
// harmless. It returns an error only if the record is certainly not in the log.
func (o *operator) appendRecord(ctx context.Context, b []byte) error {
	lost := false
	for {
		_, err := o.cfg.Log.Append(ctx, config.Stream, b)
		if err == nil {
			return nil
		}
		lost = lost || !eris.Is(err, logservice.ErrRejected)
		if !lost {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(logPeriod.Duration()):
		}
	}
}

// awaitForce waits until the record was read back as a winner and a majority of the entries has its version.
func (o *operator) awaitForce(ctx context.Context, rec config.Record) *dispatchv1.PublishConfigResponse {
	for {
		// An error shows in the fate, which stays open.
		_ = o.follower.readConfig(ctx)
		o.mu.Lock()
		fate, read := o.state.Fate(rec.ID)
		adopted := read && fate.Won() && o.quorum.Adopted(o.names, fate.Version)
		o.mu.Unlock()
		switch {
		case read && !fate.Won():
			return &dispatchv1.PublishConfigResponse{Message: "not published: the key has changed since the base version"}
		case adopted:
			return &dispatchv1.PublishConfigResponse{Accepted: true, Version: fate.Version}
		}
		select {
		case <-ctx.Done():
			return &dispatchv1.PublishConfigResponse{
				Unknown: true, Message: "it is not known yet whether the change comes into force; ask again with id " + rec.ID,
			}
		case <-time.After(publishPoll):
		}
	}
}

func entriesOf(settings []config.Setting) []*dispatchv1.ConfigEntry {
	entries := make([]*dispatchv1.ConfigEntry, len(settings))
	for i, s := range settings {
		entries[i] = &dispatchv1.ConfigEntry{Key: s.Key, Value: s.Value, Version: s.Version}
	}
	return entries
}
