package cmdline

import (
	"context"
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/urfave/cli/v3"
)

// runner is a daemon that runs until its context is canceled.
type runner interface {
	Run(ctx context.Context) error
}

// RunCommand returns the command that runs a daemon with the settings file named by
// ConfigFlag.
func RunCommand[D runner](usage string, role settings.Role, newDaemon func(s *settings.Daemon, version string) (D, error)) *cli.Command {
	return &cli.Command{
		Name: "run", Usage: usage, Flags: []cli.Flag{ConfigFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			flush, err := LogToStdout()
			if err != nil {
				return err
			}
			defer flush()
			s, err := DaemonSettings(cmd, role)
			if err != nil {
				return err
			}
			d, err := newDaemon(s, cmd.Root().Version)
			if err != nil {
				return err
			}
			return d.Run(ctx)
		},
	}
}

// CheckCommand returns the command that validates a daemon's settings file without
// starting the daemon.
func CheckCommand(daemon string, role settings.Role) *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "validate the settings file and exit", Flags: []cli.Flag{ConfigFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			s, err := DaemonSettings(cmd, role)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "%s: valid settings of %s %s\n", cmd.String("config"), daemon, s.Host)
			return err
		},
	}
}
