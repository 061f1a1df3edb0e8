package main

import (
	"context"
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show hosts, proxies and services",
		Description: "If there is no leader it shows the possibly outdated state of the control host that\n" +
			"has applied most of the log, and says so.",
		Action: withClient(showStatus),
	}
}

func showStatus(ctx context.Context, inv *invocation, _ *cli.Command) error {
	st, err := inv.LeaderStatus(ctx)
	if err != nil {
		return err
	}
	summary := &table{header: []string{"CONTROL HOST", "LEADS", "TERM", "COMMITTED", "APPLIED", "CONFIG"}}
	summary.add(st.Host, yesNo(st.Leading), st.Term, st.Commit, st.Applied, st.ConfigVersion)
	return inv.out.print(st, summary, hostTable(st.Hosts), proxyTable(st), serviceTable(st), targetTable(st, ""))
}

func hostTable(hosts []api.Host) *table {
	t := &table{header: []string{"HOST", "ADDRESS", "AVAILABILITY ZONE", "ROLE", "LEADER"}}
	for _, h := range hosts {
		t.add(h.Host, h.Address, h.AvailabilityZone, h.Role, yesNo(h.Leader))
	}
	return t
}

func proxyTable(st api.Status) *table {
	t := &table{header: []string{"PROXY", "AVAILABILITY ZONE", "LEASE", "HAS VIEW", "ACTS ON", "CONFIG IN FORCE"}}
	for _, p := range st.Proxies {
		t.add(p.Host, p.AvailabilityZone, leaseState(st, p), p.ViewVersion, p.AppliedVersion, appliedConfig(st, p))
	}
	return t
}

// leaseState returns the lease state of a proxy, which only the leader knows.
func leaseState(st api.Status, p api.Proxy) string {
	switch {
	case !st.Leading:
		return "unknown"
	case p.LeaseLive:
		return "live"
	}
	return "none"
}

// appliedConfig returns which version of the configuration a proxy has applied.
func appliedConfig(st api.Status, p api.Proxy) string {
	switch {
	case !st.Leading:
		return "unknown"
	case !p.LeaseLive:
		return "serves nothing"
	case p.AppliedVersion >= st.ConfigSince:
		return fmt.Sprint(st.ConfigVersion)
	}
	return fmt.Sprintf("older than %d", st.ConfigVersion)
}

func serviceTable(st api.Status) *table {
	t := &table{header: []string{"SERVICE", "PHASE", "TERM", "PRIMARY", "TARGETS"}}
	for _, svc := range st.Services {
		t.add(svc.Name, svc.Phase, svc.Term, svc.Primary, fmt.Sprintf("%d of %d", len(svc.Targets), svc.Members))
	}
	return t
}

func targetTable(st api.Status, service string) *table {
	t := &table{header: []string{
		"TARGET", "ADDRESS", "AVAILABILITY ZONE", "STATE", "ROLE", "TERM", "POSITION", "BEHIND", "FAILING", "HEARD AGO",
	}}
	for _, svc := range st.Services {
		if service != "" && svc.Name != service {
			continue
		}
		for _, tg := range svc.Targets {
			t.add(svc.Name+"/"+tg.Name, tg.Address, tg.AvailabilityZone, tg.State, tg.Role, tg.Term,
				tg.Position, tg.Behind, yesNo(tg.Failing), tg.SinceLastContact.Round(time.Millisecond))
		}
	}
	return t
}
