package daemon

import (
	"errors"
	"maps"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/settings"
)

// invalidConfig returns the API error for a configuration file with findings.
func invalidConfig(err error) error {
	out := &api.Error{Kind: api.ErrInvalid, Message: "the configuration is not valid"}
	var invalid *settings.InvalidError
	if errors.As(err, &invalid) {
		out.Findings = invalid.Findings
	}
	return out
}

func apiChangeResult(r *proto.ChangeResult) api.ChangeResult {
	if r == nil {
		return api.ChangeResult{}
	}
	return api.ChangeResult{
		ChangeID: string(r.ID), Accepted: r.Accepted, Version: r.Version, Reason: r.Reason,
	}
}

func apiHistory(st *proto.Status) []api.ChangeResult {
	out := make([]api.ChangeResult, 0, len(st.State.Changes))
	for _, rec := range st.State.Changes {
		r := apiChangeResult(&rec.Result)
		r.Author = rec.Author
		out = append(out, r)
	}
	return out
}

func configVersion(st *proto.Status) uint64 {
	if st.State.Config == nil {
		return 0
	}
	return st.State.Config.Version
}

func apiStatus(st *proto.Status) api.Status {
	out := api.Status{
		Host: string(st.Host), Leader: string(st.Leader), Leading: st.Host == st.Leader,
		Term: uint64(st.Term), Commit: st.Commit, Applied: st.Applied,
		ConfigVersion: configVersion(st), ConfigSince: st.ConfigSince,
		Hosts: []api.Host{}, Proxies: []api.Proxy{}, Services: []api.Service{},
	}
	for _, v := range st.Voters {
		out.Hosts = append(out.Hosts, apiHost(v, st.Leader))
	}
	for _, p := range st.Proxies {
		out.Proxies = append(out.Proxies, api.Proxy{
			Host: string(p.Host), AvailabilityZone: string(p.AvailabilityZone),
			LeaseLive: p.LeaseLive, ViewVersion: p.ViewVersion, AppliedVersion: p.AppliedVersion,
		})
	}
	reports := make(map[types.TargetRef]proto.TargetReport)
	for _, r := range st.Targets {
		reports[r.Ref] = r
	}
	for _, g := range st.State.Groups {
		out.Services = append(out.Services, apiService(g, st.State.Config, reports))
	}
	return out
}

func apiHost(v proto.Voter, leader types.HostID) api.Host {
	role := "voter"
	if v.Learner {
		role = "spare"
	}
	return api.Host{
		Host: string(v.Host), Address: string(v.Address),
		AvailabilityZone: string(v.AvailabilityZone), Role: role, Leader: v.Host == leader,
	}
}

var phaseNames = map[types.GroupPhase]string{
	types.GroupForming:   "forming",
	types.GroupQuiescing: "quiescing",
	types.GroupFencing:   "fencing",
	types.GroupServing:   "serving",
}

var stateNames = map[types.TargetState]string{
	types.TargetActive:  "active",
	types.TargetLeaving: "leaving",
	types.TargetSilent:  "silent",
}

func apiService(
	g *types.Group, cfg *types.Config, reports map[types.TargetRef]proto.TargetReport,
) api.Service {
	out := api.Service{
		Name: string(g.Service), Phase: phaseNames[g.Phase], Term: uint64(g.Term),
		Primary: string(g.Primary), Targets: []api.Target{},
	}
	if cfg != nil {
		out.Members = cfg.Services[g.Service].Members
	}
	maxOffset := uint64(0)
	for _, t := range g.Members {
		r := reports[types.TargetRef{Service: g.Service, Name: t.Name}]
		maxOffset = max(maxOffset, r.Status.Pos.Offset)
	}
	for _, t := range g.Members {
		r, reported := reports[types.TargetRef{Service: g.Service, Name: t.Name}]
		out.Targets = append(out.Targets, apiTarget(g, t, r, reported, maxOffset))
	}
	return out
}

func apiTarget(
	g *types.Group, t types.Target, r proto.TargetReport, reported bool, maxOffset uint64,
) api.Target {
	out := api.Target{
		Name: string(t.Name), Address: string(t.Address),
		AvailabilityZone: string(t.AvailabilityZone), State: stateNames[t.State],
		Role: "replica", Failing: r.Failing, SinceLastContact: r.SinceLastContact,
	}
	if t.Name == g.Primary {
		out.Role = "primary"
	}
	if reported {
		out.Term = uint64(r.Status.Term)
		out.Position = r.Status.Pos.String()
		out.Behind = maxOffset - r.Status.Pos.Offset
	}
	return out
}

// apiOrganisations returns the organisations of the configuration in order of their names.
func apiOrganisations(st *proto.Status) []api.Organisation {
	out := []api.Organisation{}
	if st.State.Config == nil {
		return out
	}
	uses := make(map[types.OrganisationName]*api.OrganisationUse)
	for _, u := range st.Organisations {
		uses[u.Organisation] = &api.OrganisationUse{Limit: u.Limit, Held: u.Held, Used: u.Used, Period: u.Period.String()}
	}
	for _, name := range slices.Sorted(maps.Keys(st.State.Config.Organisations)) {
		o := st.State.Config.Organisations[name]
		out = append(out, api.Organisation{
			Name: string(name), Keys: len(o.Keys), Priority: o.Priority, Rate: o.Rate, Burst: o.Burst, Use: uses[name],
		})
	}
	return out
}
