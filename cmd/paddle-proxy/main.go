// Command paddle-proxy serves callers between them and the targets.
package main

import (
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
			cmdline.RunCommand("serve callers", settings.RoleProxy, daemon.NewProxy),
			cmdline.CheckCommand("proxy", settings.RoleProxy),
		},
	})
}
