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

const publishPollInterval = 20 * time.Millisecond

// errConfigUnread is returned until the configuration has been read, since an entry that has just started could
// otherwise show an older version than operators have already seen.
var errConfigUnread = eris.New("entry has not read the configuration yet")

// operatorService implements the RPC service for operators.
type operatorService struct {
	*core
	follower *logFollower
}

// PublishConfig implements dispatchv1connect.OperatorServiceHandler.
func (o *operatorService) PublishConfig(ctx context.Context, req *connect.Request[dispatchv1.PublishConfigRequest]) (*connect.Response[dispatchv1.PublishConfigResponse], error) {
	m := req.Msg
	if err := config.CheckSetting(m.GetKey(), m.GetValue()); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(o.publishAndLog(ctx, config.Record{
		ID: m.GetId(), Key: m.GetKey(), Value: m.GetValue(), Base: m.GetBase(), Force: m.GetForce(),
	})), nil
}

// SetDomain implements dispatchv1connect.OperatorServiceHandler.
func (o *operatorService) SetDomain(ctx context.Context, req *connect.Request[dispatchv1.SetDomainRequest]) (*connect.Response[dispatchv1.PublishConfigResponse], error) {
	value := config.Serving
	if req.Msg.GetDrained() {
		value = config.Drained
	}
	key := config.DomainKey(req.Msg.GetDomain())
	if err := config.CheckSetting(key, value); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(o.publishAndLog(ctx, config.Record{ID: req.Msg.GetId(), Key: key, Value: value, Force: true})), nil
}

// GetConfig implements dispatchv1connect.OperatorServiceHandler.
func (o *operatorService) GetConfig(context.Context, *connect.Request[dispatchv1.GetConfigRequest]) (*connect.Response[dispatchv1.GetConfigResponse], error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.configState.Complete() {
		return nil, connect.NewError(connect.CodeUnavailable, errConfigUnread)
	}
	return connect.NewResponse(&dispatchv1.GetConfigResponse{
		Version: o.configState.Version(), Entries: configEntries(o.configState.Settings()), AgeMs: uint64(o.clock.Now() - o.configConfirmedAt),
	}), nil
}

// ConfigHistory implements dispatchv1connect.OperatorServiceHandler.
func (o *operatorService) ConfigHistory(_ context.Context, req *connect.Request[dispatchv1.ConfigHistoryRequest]) (*connect.Response[dispatchv1.ConfigHistoryResponse], error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.configState.Complete() {
		return nil, connect.NewError(connect.CodeUnavailable, errConfigUnread)
	}
	h := o.configState.History(int(req.Msg.GetCount()))
	return connect.NewResponse(&dispatchv1.ConfigHistoryResponse{Entries: configEntries(h)}), nil
}

// ListDomains implements dispatchv1connect.OperatorServiceHandler.
func (o *operatorService) ListDomains(context.Context, *connect.Request[dispatchv1.ListDomainsRequest]) (*connect.Response[dispatchv1.ListDomainsResponse], error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.configState.Complete() {
		return nil, connect.NewError(connect.CodeUnavailable, errConfigUnread)
	}
	domains := map[string]*dispatchv1.Domain{}
	domainNamed := func(name string) *dispatchv1.Domain {
		if domains[name] == nil {
			domains[name] = &dispatchv1.Domain{Name: name}
		}
		return domains[name]
	}
	for _, a := range o.fleet.Agents() {
		d := domainNamed(a.Hello().Domain)
		d.Workers++
		d.Running += uint32(a.Load().Running)
	}
	for _, a := range o.replaced {
		domainNamed(a.hello.Domain).Running += uint32(a.running)
	}
	for name := range o.configState.DrainedDomains() {
		domainNamed(name).Drained = true
	}
	resp := &dispatchv1.ListDomainsResponse{}
	for _, d := range domains {
		resp.Domains = append(resp.Domains, d)
	}
	sort.Slice(resp.Domains, func(i, j int) bool { return resp.Domains[i].Name < resp.Domains[j].Name })
	return connect.NewResponse(resp), nil
}

// ListWorkers implements dispatchv1connect.OperatorServiceHandler.
func (o *operatorService) ListWorkers(context.Context, *connect.Request[dispatchv1.ListWorkersRequest]) (*connect.Response[dispatchv1.ListWorkersResponse], error) {
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

// publishAndLog publishes a configuration change and logs its outcome.
func (o *operatorService) publishAndLog(ctx context.Context, rec config.Record) *dispatchv1.PublishConfigResponse {
	resp := o.publish(ctx, rec)
	e := event.ConfigRefused
	switch {
	case resp.GetAccepted():
		e = event.ConfigPublished
	case resp.GetUnknown():
		e = event.ConfigOutcomeUnknown
	}
	e.On(o.logger).Str("key", rec.Key).Str("value", rec.Value).Uint64("version", resp.GetVersion()).
		Str("cause", resp.GetMessage()).Send()
	return resp
}

// publish appends a configuration change to the log and waits until a majority of the entries has it, it is certain not
// to take effect, or publishTimeout has passed.
func (o *operatorService) publish(ctx context.Context, rec config.Record) *dispatchv1.PublishConfigResponse {
	if rec.ID == "" {
		rec.ID = string(lavendercourse.NewIncarnation())
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout.Duration())
	defer cancel()
	o.mu.Lock()
	now := o.clock.Now()
	ready := o.holdsLease(now) && o.configState.Complete()
	o.mu.Unlock()
	if !ready {
		return &dispatchv1.PublishConfigResponse{Message: "not published: this entry reaches no majority of the entries"}
	}
	b, err := config.Encode(rec)
	if err != nil {
		return &dispatchv1.PublishConfigResponse{Message: "not published: " + err.Error()}
	}
	appendErr := o.appendRecord(ctx, b)
	if appendErr != nil {
		return &dispatchv1.PublishConfigResponse{Message: "not published: " + appendErr.Error()}
	}
	return o.awaitOutcome(ctx, rec)
}

// appendRecord retries the append until the log accepts the record or ctx ends. The id in the record makes a duplicate
// harmless. It returns an error only if the record is certainly not in the log.
func (o *operatorService) appendRecord(ctx context.Context, b []byte) error {
	mayBeAppended := false
	for {
		_, err := o.cfg.Log.Append(ctx, config.Stream, b)
		if err == nil {
			return nil
		}
		mayBeAppended = mayBeAppended || !eris.Is(err, logservice.ErrRejected)
		if !mayBeAppended {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(logReadPeriod.Duration()):
		}
	}
}

// awaitOutcome waits until the record was read back from the log and either was not applied, or was applied and a
// majority of the entries has its version.
func (o *operatorService) awaitOutcome(ctx context.Context, rec config.Record) *dispatchv1.PublishConfigResponse {
	for {
		// After a failed read the result is still unknown, and the next round reads again.
		_ = o.follower.readConfig(ctx)
		o.mu.Lock()
		result, found := o.configState.PublishResult(rec.ID)
		adopted := found && result.Applied() && o.quorum.MajorityHas(o.entryNames, result.Version)
		o.mu.Unlock()
		switch {
		case found && !result.Applied():
			return &dispatchv1.PublishConfigResponse{Message: "not published: the key has changed since the base version"}
		case adopted:
			return &dispatchv1.PublishConfigResponse{Accepted: true, Version: result.Version}
		}
		select {
		case <-ctx.Done():
			return &dispatchv1.PublishConfigResponse{
				Unknown: true, Message: "it is not known yet whether the change comes into force; ask again with id " + rec.ID,
			}
		case <-time.After(publishPollInterval):
		}
	}
}

func configEntries(settings []config.Setting) []*dispatchv1.ConfigEntry {
	entries := make([]*dispatchv1.ConfigEntry, len(settings))
	for i, s := range settings {
		entries[i] = &dispatchv1.ConfigEntry{Key: s.Key, Value: s.Value, Version: s.Version}
	}
	return entries
}
