package daemon

import (
	"context"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/settings"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gravitational/trace"
)

// readyTimeout bounds how long a readiness check waits for the control loop.
const readyTimeout = time.Second

// registerRoutes registers the operators' HTTP interface of a control host.
func (c *Control) registerRoutes(srv *khttp.Server) {
	registerHealth(srv, c.ready, c.recorder.Metrics())
	r := srv.Route("/")
	r.POST(api.PathAnnounce, c.announce)
	r.GET(api.PathConfig, c.showConfig)
	r.PUT(api.PathConfig, c.changeConfig)
	r.GET(api.PathHistory, c.history)
	r.GET(api.PathStatus, c.status)
	r.POST(api.PathPromote, c.promote)
	r.PUT(api.PathDrain, c.drain(true))
	r.DELETE(api.PathDrain, c.drain(false))
	r.GET(api.PathHosts, c.hosts)
	r.DELETE(api.PathHost, c.removeHost)
	r.GET(api.PathOrganisations, c.organisations)
}

// ready reports whether the control loop answers in time and knows a leader.
func (c *Control) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	st, err := c.systemStatus(ctx)
	return err == nil && st.Leader != ""
}

// call sends an operator's request to the control loop and returns its reply.
func (c *Control) call(ctx context.Context, r proto.OperatorRequest) (proto.OperatorReply, error) {
	reply, err := c.host.Call(ctx, r)
	if trace.IsLimitExceeded(err) { // it has not run
		return reply, &api.Error{Kind: api.ErrRefused, Message: err.Error()}
	}
	if err != nil {
		return reply, &api.Error{Kind: api.ErrUnknown, Message: err.Error()}
	}
	return reply, replyError(reply)
}

var errorKinds = map[proto.OperatorError]api.ErrorKind{
	proto.OpErrNotLeader: api.ErrNotLeader,
	proto.OpErrConflict:  api.ErrConflict,
	proto.OpErrNotFound:  api.ErrNotFound,
	proto.OpErrRefused:   api.ErrRefused,
	proto.OpErrUnknown:   api.ErrUnknown,
}

// replyError returns the API error for a reply, or nil if the reply has none.
func replyError(r proto.OperatorReply) error {
	if r.Err == proto.OpErrNone {
		return nil
	}
	out := &api.Error{Kind: errorKinds[r.Err], Message: r.Reason, Leader: string(r.Leader)}
	if r.Change != nil {
		out.Version = r.Change.Version
	}
	if out.Message == "" && r.Err == proto.OpErrNotLeader {
		out.Message = notLeaderMessage(r.Leader)
	}
	return out
}

func notLeaderMessage(leader types.HostID) string {
	if leader == "" {
		return "this control host is not the leader and knows no leader"
	}
	return "this control host is not the leader; the leader is " + string(leader)
}

func (c *Control) systemStatus(ctx context.Context) (*proto.Status, error) {
	reply, err := c.call(ctx, proto.OperatorRequest{Status: &proto.StatusRequest{}})
	if err != nil {
		return nil, err
	}
	if reply.Status == nil {
		return nil, &api.Error{Kind: api.ErrInternal, Message: "the control host returned no status"}
	}
	return reply.Status, nil
}

// leaderStatus is systemStatus on the leader. Other hosts return an error, since their
// state may be stale.
func (c *Control) leaderStatus(ctx context.Context) (*proto.Status, error) {
	st, err := c.systemStatus(ctx)
	if err != nil {
		return nil, err
	}
	if st.Leader != st.Host {
		return nil, replyError(proto.OperatorReply{Err: proto.OpErrNotLeader, Leader: st.Leader})
	}
	return st, nil
}

func (c *Control) announce(ctx khttp.Context) error {
	a, err := bindAnnouncement(ctx)
	if err != nil {
		return err
	}
	if _, err := c.call(ctx, proto.OperatorRequest{Announce: &a}); err != nil {
		return err
	}
	return ctx.Result(200, struct{}{})
}

func (c *Control) showConfig(ctx khttp.Context) error {
	st, err := c.leaderStatus(ctx)
	if err != nil {
		return err
	}
	out := api.Config{Version: configVersion(st), Source: st.State.Source}
	if st.State.Config != nil {
		out.Organisations = len(st.State.Config.Organisations)
	}
	return ctx.Result(200, out)
}

func (c *Control) changeConfig(ctx khttp.Context) error {
	var in api.ConfigChange
	if err := ctx.Bind(&in); err != nil {
		return err
	}
	if in.ChangeID == "" {
		return &api.Error{Kind: api.ErrInvalid, Message: "change_id is missing"}
	}
	cfg, err := settings.ParseConfig(in.File, []byte(in.Source))
	if err != nil {
		return invalidConfig(err)
	}
	reply, err := c.call(ctx, proto.OperatorRequest{Change: &proto.ChangeConfig{
		ID: types.ChangeID(in.ChangeID), Base: in.Base, Config: cfg, Source: in.Source, Author: in.Author,
	}})
	if err != nil {
		return err
	}
	return ctx.Result(200, apiChangeResult(reply.Change))
}

func (c *Control) history(ctx khttp.Context) error {
	st, err := c.leaderStatus(ctx)
	if err != nil {
		return err
	}
	return ctx.Result(200, apiHistory(st))
}

func (c *Control) status(ctx khttp.Context) error {
	st, err := c.systemStatus(ctx)
	if err != nil {
		return err
	}
	return ctx.Result(200, apiStatus(st))
}

func (c *Control) promote(ctx khttp.Context) error {
	var in api.Promote
	if err := ctx.Bind(&in); err != nil {
		return err
	}
	_, err := c.call(ctx, proto.OperatorRequest{Promote: &proto.Promote{
		Service: types.ServiceName(in.Service), To: types.TargetName(in.To),
	}})
	if err != nil {
		return err
	}
	return ctx.Result(200, struct{}{})
}

func (c *Control) drain(on bool) khttp.HandlerFunc {
	return func(ctx khttp.Context) error {
		vars := ctx.Vars()
		_, err := c.call(ctx, proto.OperatorRequest{Drain: &proto.Drain{
			Ref: types.TargetRef{
				Service: types.ServiceName(vars.Get("service")),
				Name:    types.TargetName(vars.Get("target")),
			},
			On: on,
		}})
		if err != nil {
			return err
		}
		return ctx.Result(200, struct{}{})
	}
}

func (c *Control) hosts(ctx khttp.Context) error {
	st, err := c.leaderStatus(ctx)
	if err != nil {
		return err
	}
	return ctx.Result(200, apiStatus(st).Hosts)
}

func (c *Control) removeHost(ctx khttp.Context) error {
	_, err := c.call(ctx, proto.OperatorRequest{RemoveHost: &proto.RemoveHost{
		Host: types.HostID(ctx.Vars().Get("host")),
	}})
	if err != nil {
		return err
	}
	return ctx.Result(200, struct{}{})
}

func (c *Control) organisations(ctx khttp.Context) error {
	st, err := c.leaderStatus(ctx)
	if err != nil {
		return err
	}
	return ctx.Result(200, apiOrganisations(st))
}
