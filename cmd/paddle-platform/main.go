// Command paddle-platform runs a proxy or a control host on the users' platform.
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

const description = `The settings come from the file that the platform names in the environment.
SIGHUP reads the addresses of the control hosts again. SIGTERM stops gracefully.

Exit codes: 0 stopped as asked, 1 failure, 2 wrong use, 5 settings file missing.`

func main() {
	cmdline.Main(&cli.Command{
		Name:        "paddle-platform",
		Usage:       "camphorpaddle on the users' platform",
		Description: description,
		Commands: []*cli.Command{
			{Name: "proxy", Usage: "serve callers", Action: logged(runProxy)},
			{Name: "control", Usage: "run a control host", Action: logged(runControl)},
		},
	})
}

// logged runs a daemon with its log on standard output.
func logged(run cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		flush, err := cmdline.LogToStandardOutput()
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
	p, err := daemon.NewProxyWithEdge(platform.ProxyEdge(), &s.Daemon, cmd.Root().Version)
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
	if s.Bootstrap {
		// A folder that is set up already shows a restart.
		if _, err := daemon.InitControl(&s.Daemon); err != nil && !trace.IsAlreadyExists(err) {
			return err
		}
	}
	c, err := daemon.NewControlWithEdge(platform.ControlEdge(s), &s.Daemon, cmd.Root().Version)
	if err != nil {
		return err
	}
	return c.Run(ctx)
}
