package main

import (
	"context"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/internal/cmdline"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/urfave/cli/v3"
)

func hostCommand() *cli.Command {
	return &cli.Command{
		Name: "host", Usage: "manage the control hosts",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the control hosts", Action: withClient(listHosts)},
			addHostCommand(),
			{
				Name: "remove", Usage: "remove a control host from the cluster", ArgsUsage: "HOST",
				Description: "A spare that has caught up replaces it. A removed host that is started again with\n" +
					"its data folder rejoins as a spare.",
				Action: withClient(removeHost),
			},
		},
	}
}

func addHostCommand() *cli.Command {
	return &cli.Command{
		Name: "add", Usage: "print the settings file of a new control host", ArgsUsage: "NAME",
		Description: "Start the new host with \"paddle-control run\" on an empty data folder. It joins as\n" +
			"a spare and becomes a voter when one is needed. Nothing changes before it joins.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "availability-zone", Required: true, Usage: "availability `ZONE` of the host"},
			&cli.StringFlag{Name: "region", Required: true, Usage: "`REGION` of the host"},
			&cli.StringFlag{Name: "peers", Required: true, Usage: "`ADDRESS` that the other hosts and the proxies connect to"},
			&cli.StringFlag{Name: "http", Required: true, Usage: "`ADDRESS` of the HTTP port"},
			&cli.StringFlag{Name: "data-folder", Required: true, Usage: "data `FOLDER`, empty or not yet created"},
			&cli.StringFlag{Name: "cluster-key-file", Usage: "`FILE` with the cluster key on the new host"},
		},
		Action: withClient(addHost),
	}
}

func addHost(ctx context.Context, inv *invocation, cmd *cli.Command) error {
	args, err := cmdline.ExactArgs(cmd, "NAME")
	if err != nil {
		return err
	}
	var hosts []api.Host
	if err := inv.Call(ctx, "GET", api.PathHosts, nil, &hosts); err != nil {
		return err
	}
	text, err := joinSettings(cmd, args[0], hosts).YAML()
	if err != nil {
		return err
	}
	if _, err := settings.ParseDaemon("new host", text, settings.RoleControl); err != nil {
		return err
	}
	file := struct {
		Settings string `json:"settings"`
	}{string(text)}
	return inv.out.line(file, "%s", text)
}

// joinSettings returns the settings of a new control host that joins the given
// ones.
func joinSettings(cmd *cli.Command, name string, hosts []api.Host) *settings.Daemon {
	d := &settings.Daemon{
		Role: settings.RoleControl, Host: types.HostID(name),
		AvailabilityZone: types.AvailabilityZone(cmd.String("availability-zone")),
		Region:           cmd.String("region"),
		Listen: settings.Listen{
			Peers: types.Address(cmd.String("peers")), HTTP: types.Address(cmd.String("http")),
		},
		Advertise:  types.Address(cmd.String("peers")),
		DataFolder: cmd.String("data-folder"),
		Security:   settings.Security{KeyFile: cmd.String("cluster-key-file")},
		Target:     settings.DefaultTarget(),
		DrainLimit: settings.DefaultDrainLimit,
	}
	for _, h := range hosts {
		d.Control = append(d.Control, types.Address(h.Address))
	}
	if !slices.Contains(d.Control, d.Advertise) {
		d.Control = append(d.Control, d.Advertise)
	}
	return d
}

func listHosts(ctx context.Context, inv *invocation, _ *cli.Command) error {
	var hosts []api.Host
	if err := inv.Call(ctx, "GET", api.PathHosts, nil, &hosts); err != nil {
		return err
	}
	return inv.out.print(hosts, hostTable(hosts))
}

func removeHost(ctx context.Context, inv *invocation, cmd *cli.Command) error {
	args, err := cmdline.ExactArgs(cmd, "HOST")
	if err != nil {
		return err
	}
	if err := inv.Call(ctx, "DELETE", api.HostPath(args[0]), nil, nil); err != nil {
		return err
	}
	result := struct {
		Removed string `json:"removed"`
	}{args[0]}
	return inv.out.line(result, "%s removed", result.Removed)
}
