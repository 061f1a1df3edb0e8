// Command paddle-control runs a control host, which stores the replicated
// control state, grants leases to proxies and orders promotions.
package main

import (
	"context"
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/daemon"
	"github.com/camphorpaddle/camphorpaddle/internal/cmdline"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/urfave/cli/v3"
)

const description = `The first control host of a cluster is initialized once with "init". Every
other one is started with "run" on an empty data folder: it joins, receives the
log, and becomes a voter when one is needed. Three hosts vote; a fourth is a spare.

A host whose data folder was lost rejoins under a new identity.

Exit codes: 0 stopped on request, 1 failure, 2 usage error, 3 invalid
settings, 5 settings file missing.`

func main() {
	cmdline.Main(&cli.Command{
		Name:        "paddle-control",
		Usage:       "control host of camphorpaddle",
		Description: description,
		Commands: []*cli.Command{
			{
				Name: "init", Usage: "initialize the data folder of the first control host of a new cluster",
				Flags: []cli.Flag{cmdline.ConfigFlag()}, Action: initialize,
			},
			cmdline.RunCommand("run the control host", settings.RoleControl, daemon.NewControl),
			cmdline.CheckCommand("control host", settings.RoleControl),
		},
	})
}

func initialize(_ context.Context, cmd *cli.Command) error {
	s, err := cmdline.DaemonSettings(cmd, settings.RoleControl)
	if err != nil {
		return err
	}
	host, err := daemon.InitControl(s)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "data folder %s set up for control host %s\n", s.DataFolder, host)
	return err
}
