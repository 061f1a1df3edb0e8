package main

import (
	"context"
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/urfave/cli/v3"
)

func organisationCommand() *cli.Command {
	return &cli.Command{
		Name: "organisation", Usage: "show the organisations in effect",
		Commands: []*cli.Command{{
			Name: "list", Usage: "list the organisations with their limits and their use",
			Description: "RATE, ADMITTED and DEMAND are operations a second over all proxies. The use of an\n" +
				"organisation that is far from its limit is not known to the control hosts.",
			Action: withClient(listOrganisations),
		}},
	}
}

func listOrganisations(ctx context.Context, inv *invocation, _ *cli.Command) error {
	var all []api.Organisation
	if err := inv.Call(ctx, "GET", api.PathOrganisations, nil, &all); err != nil {
		return err
	}
	t := &table{header: []string{"ORGANISATION", "KEYS", "PRIORITY", "RATE", "BURST", "ADMITTED", "DEMAND"}}
	for _, o := range all {
		rate, burst, admitted, demand := "-", "-", "-", "-"
		if o.Rate > 0 {
			rate, burst = fmt.Sprint(o.Rate), fmt.Sprint(o.Burst)
		}
		if o.Use != nil {
			admitted, demand = fmt.Sprintf("%.1f", o.Use.Admitted), fmt.Sprintf("%.1f", o.Use.Demand)
		}
		t.add(o.Name, o.Keys, o.Priority, rate, burst, admitted, demand)
	}
	return inv.out.print(all, t)
}
