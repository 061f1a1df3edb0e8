// Command paddle-proxy serves callers between them and the targets.
package main

import (
	"context"
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/daemon"
	"github.com/camphorpaddle/camphorpaddle/internal/cmdline"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/urfave/cli/v3"
)

const description = `Callers connect with the PostgreSQL protocol; the database name picks the
service. The proxy takes its configuration from the control hosts and serves
only while it holds a lease from them.

SIGTERM stops it gracefully: it takes no new sessions, finishes what is in
flight, and ends at the latest after drain_limit. Another SIGTERM changes
nothing.

Exit codes: 0 stopped as asked, 1 failure, 2 wrong use, 3 wrong settings,
5 settings file missing.`

func main() {
	cmdline.Main(&cli.Command{
		Name:        "paddle-proxy",
		Usage:       "database proxy with session consistency",
		Description: description,
		Commands: []*cli.Command{
			{Name: "run", Usage: "serve callers", Flags: []cli.Flag{cmdline.ConfigFlag()}, Action: run},
			{Name: "check", Usage: "check the settings file and end", Flags: []cli.Flag{cmdline.ConfigFlag()}, Action: check},
		},
	})
}

func run(ctx context.Context, cmd *cli.Command) error {
	s, err := cmdline.DaemonSettings(cmd, settings.RoleProxy)
	if err != nil {
		return err
	}
	p, err := daemon.NewProxy(s, cmd.Root().Version)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}

func check(_ context.Context, cmd *cli.Command) error {
	s, err := cmdline.DaemonSettings(cmd, settings.RoleProxy)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "%s: valid settings of proxy %s\n", cmd.String("config"), s.Host)
	return err
}
