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
			Description: "RATE is in operations a second over all proxies. LIMIT is how many operations may\n" +
				"begin within PERIOD, HELD how many of these the proxies may begin without asking, and\n" +
				"USED how many of those held began within it.",
			Action: withClient(listOrganisations),
		}},
	}
}

func listOrganisations(ctx context.Context, inv *invocation, _ *cli.Command) error {
	var all []api.Organisation
	if err := inv.Call(ctx, "GET", api.PathOrganisations, nil, &all); err != nil {
		return err
	}
	t := &table{header: []string{"ORGANISATION", "KEYS", "PRIORITY", "RATE", "BURST", "LIMIT", "HELD", "USED", "PERIOD"}}
	for _, o := range all {
		rate, burst, use := "-", "-", []any{"-", "-", "-", "-"}
		if o.Rate > 0 {
			rate, burst = fmt.Sprint(o.Rate), fmt.Sprint(o.Burst)
		}
		if o.Use != nil {
			use = []any{o.Use.Limit, o.Use.Held, o.Use.Used, o.Use.Period}
		}
		t.add(append([]any{o.Name, o.Keys, o.Priority, rate, burst}, use...)...)
	}
	return inv.out.print(all, t)
}
