// Command paddle-proxy runs a proxy, which forwards the requests of callers to
// the targets.
package main

import (
	"github.com/camphorpaddle/camphorpaddle/daemon"
	"github.com/camphorpaddle/camphorpaddle/internal/cmdline"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/urfave/cli/v3"
)

const description = `Callers connect with the PostgreSQL protocol; the database name selects the
service. The proxy receives its configuration from the control hosts and serves
only while it holds a lease from them.

SIGTERM shuts it down gracefully: it accepts no new sessions, completes the
requests in flight, and exits after drain_limit at the latest. A second SIGTERM
has no effect.

Exit codes: 0 stopped on request, 1 failure, 2 usage error, 3 invalid
settings, 5 settings file missing.`

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
