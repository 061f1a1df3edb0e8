package main

import (
	"context"

	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/internal/cmdline"
	"github.com/urfave/cli/v3"
)

func hostCommand() *cli.Command {
	return &cli.Command{
		Name: "host", Usage: "the control hosts",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the control hosts", Action: online(listHosts)},
			{
				Name: "remove", Usage: "take a control host out of the cluster", ArgsUsage: "HOST",
				Description: "Its identity never votes again. A spare that has caught up takes its place.",
				Action:      online(removeHost),
			},
		},
	}
}

func listHosts(ctx context.Context, s *session, _ *cli.Command) error {
	var hosts []api.Host
	if err := s.Call(ctx, "GET", api.PathHosts, nil, &hosts); err != nil {
		return err
	}
	return s.out.print(hosts, hostTable(hosts))
}

func removeHost(ctx context.Context, s *session, cmd *cli.Command) error {
	args, err := cmdline.Args(cmd, "HOST")
	if err != nil {
		return err
	}
	if err := s.Call(ctx, "DELETE", api.HostPath(args[0]), nil, nil); err != nil {
		return err
	}
	done := struct {
		Removed string `json:"removed"`
	}{args[0]}
	return s.out.line(done, "%s removed", done.Removed)
}
