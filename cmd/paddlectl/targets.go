package main

import (
	"context"
	"strings"

	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/internal/cmdline"
	"github.com/urfave/cli/v3"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "show the database groups",
		Commands: []*cli.Command{{Name: "list", Usage: "list the services", Action: withClient(listServices)}},
	}
}

func targetCommand() *cli.Command {
	return &cli.Command{
		Name: "target", Usage: "manage the members of database groups",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the targets", ArgsUsage: "[SERVICE]", Action: withClient(listTargets)},
			{
				Name: "drain", Usage: "stop sending new requests to a target", ArgsUsage: "SERVICE/TARGET",
				Description: "A primary hands over to another target first. The target's own announcements do not\n" +
					"end the drain.",
				Action: withClient(drainTarget("PUT", "draining")),
			},
			{
				Name: "undrain", Usage: "send requests to a target again", ArgsUsage: "SERVICE/TARGET",
				Action: withClient(drainTarget("DELETE", "active")),
			},
		},
	}
}

func promoteCommand() *cli.Command {
	return &cli.Command{
		Name: "promote", Usage: "change the primary of a service in a planned handover", ArgsUsage: "SERVICE [TARGET]",
		Description: "Requests in flight on the primary complete, new writes wait, and the named target\n" +
			"becomes primary once it has the whole log. Without a target, control chooses one.",
		Action: withClient(promote),
	}
}

func listServices(ctx context.Context, inv *invocation, _ *cli.Command) error {
	st, err := inv.LeaderStatus(ctx)
	if err != nil {
		return err
	}
	return inv.out.print(st.Services, serviceTable(st))
}

func listTargets(ctx context.Context, inv *invocation, cmd *cli.Command) error {
	st, err := inv.LeaderStatus(ctx)
	if err != nil {
		return err
	}
	service := cmd.Args().First()
	var selected []api.Service
	for _, svc := range st.Services {
		if service == "" || svc.Name == service {
			selected = append(selected, svc)
		}
	}
	if service != "" && len(selected) == 0 {
		return &api.Error{Kind: api.ErrNotFound, Message: "service " + service + " does not exist"}
	}
	return inv.out.print(selected, targetTable(st, service))
}

// drainTarget returns the action that starts or ends the drain of a target, with
// the method of the call and the state to print.
func drainTarget(method, state string) action {
	return func(ctx context.Context, inv *invocation, cmd *cli.Command) error {
		args, err := cmdline.ExactArgs(cmd, "SERVICE/TARGET")
		if err != nil {
			return err
		}
		service, target, ok := strings.Cut(args[0], "/")
		if !ok || service == "" || target == "" {
			return cmdline.UsageErrorf("%q must be SERVICE/TARGET", args[0])
		}
		if err := inv.Call(ctx, method, api.DrainPath(service, target), nil, nil); err != nil {
			return err
		}
		result := struct {
			Target string `json:"target"`
			State  string `json:"state"`
		}{args[0], state}
		return inv.out.line(result, "%s is %s", result.Target, result.State)
	}
}

func promote(ctx context.Context, inv *invocation, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 1 || len(args) > 2 {
		return cmdline.UsageErrorf("promote takes SERVICE [TARGET], got %d arguments; see --help", len(args))
	}
	in := api.Promote{Service: args[0]}
	if len(args) == 2 {
		in.To = args[1]
	}
	if err := inv.Call(ctx, "POST", api.PathPromote, in, nil); err != nil {
		return err
	}
	return inv.out.line(in, "change of primary ordered for service %s", in.Service)
}
