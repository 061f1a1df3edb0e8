// Command paddle-platform runs a proxy or a control host on the users' platform,
// which supplies the settings.
package main

import (
	"context"

	"github.com/camphorpaddle/camphorpaddle/daemon"
	"github.com/camphorpaddle/camphorpaddle/internal/cmdline"
	"github.com/camphorpaddle/camphorpaddle/platform"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

const description = `Settings are read from the file that the platform names in the environment.
SIGHUP reloads the addresses of the control hosts. SIGTERM shuts down gracefully.

Exit codes: 0 stopped on request, 1 failure, 2 usage error, 5 settings file missing.`

func main() {
	cmdline.Main(&cli.Command{
		Name:        "paddle-platform",
		Usage:       "camphorpaddle on the users' platform",
		Description: description,
		Commands: []*cli.Command{
			{Name: "proxy", Usage: "serve callers", Action: withLog(runProxy)},
			{Name: "control", Usage: "run a control host", Action: withLog(runControl)},
		},
	})
}

// withLog wraps the action of a daemon so that it logs to standard output and
// flushes the log before it returns.
func withLog(run cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		flush, err := cmdline.LogToStdout()
		if err != nil {
			return err
		}
		defer flush()
		return run(ctx, cmd)
	}
}

func runProxy(ctx context.Context, cmd *cli.Command) error {
	s, err := platform.ReadSettings(settings.RoleProxy)
	if err != nil {
		return err
	}
	s.LimitMemory()
	p, err := daemon.NewProxyWithEdge(platform.ProxyEdge(s), &s.Daemon, cmd.Root().Version)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}

func runControl(ctx context.Context, cmd *cli.Command) error {
	s, err := platform.ReadSettings(settings.RoleControl)
	if err != nil {
		return err
	}
	s.LimitMemory()
	if len(s.Founders) > 0 {
		// An initialized data folder means that the host was restarted.
		if err := daemon.FoundControl(&s.Daemon, s.Founders); err != nil && !trace.IsAlreadyExists(err) {
			return err
		}
	}
	c, err := daemon.NewControlWithEdge(platform.ControlEdge(s), &s.Daemon, cmd.Root().Version)
	if err != nil {
		return err
	}
	return c.Run(ctx)
}
