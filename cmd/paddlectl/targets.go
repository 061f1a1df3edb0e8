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
		Name: "service", Usage: "the database groups",
		Commands: []*cli.Command{{Name: "list", Usage: "list the services", Action: online(listServices)}},
	}
}

func targetCommand() *cli.Command {
	return &cli.Command{
		Name: "target", Usage: "the members of database groups",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the targets", ArgsUsage: "[SERVICE]", Action: online(listTargets)},
			{
				Name: "drain", Usage: "give a target no new work", ArgsUsage: "SERVICE/TARGET",
				Description: "A primary hands over in order first. The target's own announcements don't undo it.",
				Action:      online(drainTarget("PUT", "draining")),
			},
			{
				Name: "undrain", Usage: "give a target work again", ArgsUsage: "SERVICE/TARGET",
				Action: online(drainTarget("DELETE", "active")),
			},
		},
	}
}

func promoteCommand() *cli.Command {
	return &cli.Command{
		Name: "promote", Usage: "change the primary of a service in order", ArgsUsage: "SERVICE [TARGET]",
		Description: "What is under way on the primary finishes, new writes wait, and the named target\n" +
			"takes over once it holds everything. Without a target, control chooses one.",
		Action: online(promote),
	}
}

func listServices(ctx context.Context, s *session, _ *cli.Command) error {
	st, err := s.LeaderStatus(ctx)
	if err != nil {
		return err
	}
	return s.out.print(st.Services, serviceTable(st))
}

func listTargets(ctx context.Context, s *session, cmd *cli.Command) error {
	st, err := s.LeaderStatus(ctx)
	if err != nil {
		return err
	}
	service := cmd.Args().First()
	var found []api.Service
	for _, svc := range st.Services {
		if service == "" || svc.Name == service {
			found = append(found, svc)
		}
	}
	if service != "" && len(found) == 0 {
		return &api.Error{Kind: api.ErrNotFound, Message: "service " + service + " does not exist"}
	}
	return s.out.print(found, targetTable(st, service))
}

func drainTarget(method, state string) action {
	return func(ctx context.Context, s *session, cmd *cli.Command) error {
		args, err := cmdline.Args(cmd, "SERVICE/TARGET")
		if err != nil {
			return err
		}
		service, target, ok := strings.Cut(args[0], "/")
		if !ok || service == "" || target == "" {
			return cmdline.Usage("%q must be SERVICE/TARGET", args[0])
		}
		if err := s.Call(ctx, method, api.DrainPath(service, target), nil, nil); err != nil {
			return err
		}
		done := struct {
			Target string `json:"target"`
			State  string `json:"state"`
		}{args[0], state}
		return s.out.line(done, "%s is %s", done.Target, done.State)
	}
}

func promote(ctx context.Context, s *session, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 1 || len(args) > 2 {
		return cmdline.Usage("promote takes SERVICE [TARGET]; see --help")
	}
	in := api.Promote{Service: args[0]}
	if len(args) == 2 {
		in.To = args[1]
	}
	if err := s.Call(ctx, "POST", api.PathPromote, in, nil); err != nil {
		return err
	}
	return s.out.line(in, "change of primary of %s ordered", in.Service)
}
