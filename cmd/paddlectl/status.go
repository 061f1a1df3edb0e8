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
		Description: "Without a leader it shows what the most advanced control host knows, which may\n" +
			"be old, and says so.",
		Action: online(showStatus),
	}
}

func showStatus(ctx context.Context, s *session, _ *cli.Command) error {
	st, err := s.LeaderStatus(ctx)
	if err != nil {
		return err
	}
	summary := &table{header: []string{"CONTROL HOST", "LEADS", "TERM", "COMMITTED", "APPLIED", "CONFIG"}}
	summary.add(st.Host, yes(st.Leading), st.Term, st.Commit, st.Applied, st.ConfigVersion)
	return s.out.print(st, summary, hostTable(st.Hosts), proxyTable(st), serviceTable(st), targetTable(st, ""))
}

func hostTable(hosts []api.Host) *table {
	t := &table{header: []string{"HOST", "ADDRESS", "AVAILABILITY ZONE", "ROLE", "LEADER"}}
	for _, h := range hosts {
		t.add(h.Host, h.Address, h.AvailabilityZone, h.Role, yes(h.Leader))
	}
	return t
}

func proxyTable(st api.Status) *table {
	t := &table{header: []string{"PROXY", "AVAILABILITY ZONE", "LEASE", "HAS VIEW", "ACTS ON", "CONFIG IN FORCE"}}
	for _, p := range st.Proxies {
		t.add(p.Host, p.AvailabilityZone, leaseName(st, p), p.Have, p.Seen, inForce(st, p))
	}
	return t
}

// leaseName says whether a proxy holds a lease. Only the leader knows.
func leaseName(st api.Status, p api.Proxy) string {
	switch {
	case !st.Leading:
		return "unknown"
	case p.LeaseLive:
		return "live"
	}
	return "none"
}

// inForce says which configuration a proxy acts on.
func inForce(st api.Status, p api.Proxy) string {
	switch {
	case !st.Leading:
		return "unknown"
	case !p.LeaseLive:
		return "serves nothing"
	case p.Seen >= st.ConfigSince:
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
				tg.Position, tg.Behind, yes(tg.Failing), tg.SinceLastContact.Round(time.Millisecond))
		}
	}
	return t
}
