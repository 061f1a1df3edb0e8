package cmdline

import (
	"context"
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/urfave/cli/v3"
)

// runner is a daemon that serves until its context ends.
type runner interface {
	Run(ctx context.Context) error
}

// RunCommand is the command that starts a daemon with the settings file that
// ConfigFlag names.
func RunCommand[D runner](usage string, role settings.Role, open func(s *settings.Daemon, version string) (D, error)) *cli.Command {
	return &cli.Command{
		Name: "run", Usage: usage, Flags: []cli.Flag{ConfigFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			flush, err := LogToStandardOutput()
			if err != nil {
				return err
			}
			defer flush()
			s, err := DaemonSettings(cmd, role)
			if err != nil {
				return err
			}
			d, err := open(s, cmd.Root().Version)
			if err != nil {
				return err
			}
			return d.Run(ctx)
		},
	}
}

// CheckCommand is the command that checks a daemon's settings file and ends.
func CheckCommand(what string, role settings.Role) *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check the settings file and end", Flags: []cli.Flag{ConfigFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			s, err := DaemonSettings(cmd, role)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "%s: valid settings of %s %s\n", cmd.String("config"), what, s.Host)
			return err
		},
	}
}
