package inproc

import (
	"math"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/organisation"
	"github.com/camphorpaddle/camphorpaddle/core/probe"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Control is the control component of a standalone proxy: its configuration and
// groups are fixed, and its lease does not expire. It probes the targets like
// any other proxy.
type Control struct {
	cluster *types.ClusterView
	shares  map[types.TargetRef]types.Share
	holders map[types.KeyDigest]types.OrganisationName
	prober  *probe.Prober
}

// NewControl returns the control component for groups whose primaries are
// given. The proxy may use all connections and slots of each target.
func NewControl(config *types.Config, groups ...*types.Group) *Control {
	c := &Control{
		cluster: &types.ClusterView{Version: 1, Config: config, Groups: make(map[types.ServiceName]*types.Group)},
		shares:  make(map[types.TargetRef]types.Share),
		holders: organisation.KeyHolders(config),
		prober:  probe.New(),
	}
	for _, g := range groups {
		c.cluster.Groups[g.Service] = g
		svc := config.Services[g.Service]
		for _, m := range g.Members {
			ref := types.TargetRef{Service: g.Service, Name: m.Name}
			c.shares[ref] = types.Share{Connections: svc.Connections, Slots: svc.Slots}
		}
	}
	return c
}

// Step handles one event and returns its effects.
func (c *Control) Step(in event.Input) []effect.Effect {
	var out []effect.Effect
	if _, ok := in.Event.(event.Start); ok {
		out = c.prober.SetView(c.cluster, in.Now)
	}
	out = append(out, c.prober.Step(in)...)
	switch e := in.Event.(type) {
	case event.Start, event.Probed:
		out = append(out, effect.PublishView{View: c.view()})
	case event.ShardReported:
		out = append(out, c.prober.SetWaiting(waitingServices(e.Report), in.Now)...)
	}
	return out
}

func (c *Control) view() *types.NodeView {
	return &types.NodeView{
		Cluster: c.cluster, LeaseUntil: math.MaxInt64,
		Health: c.prober.Health(), Shares: c.shares, KeyHolders: c.holders,
	}
}

// waitingServices returns the set of services that a shard reports as waiting.
func waitingServices(r event.ShardReport) map[types.ServiceName]bool {
	names := make(map[types.ServiceName]bool)
	for _, name := range r.WaitingServices {
		names[name] = true
	}
	return names
}
