// Command paddlectl is the operators' command-line client of the control hosts.
package main

import (
	"context"
	"strings"
	"time"

	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/internal/cmdline"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/urfave/cli/v3"
)

const description = `paddlectl calls the HTTP ports of the control hosts, one after the other,
until the leader answers. The addresses are given with --control, in the
environment variable PADDLE_CONTROL, or in a YAML file:

   control: [10.20.0.1:7401, 10.20.0.2:7401, 10.20.0.3:7401]
   security:
     key_file: /etc/camphorpaddle/cluster.key

Exit codes: 0 success, 1 failure, 2 usage error, 3 invalid file, 4 conflict with
another change, 5 not found, 6 no leader reachable, 7 refused, 8 cluster key
missing or wrong, 9 outcome unknown (send the same call again).`

// defaultTimeout limits the run time of a whole command.
const defaultTimeout = 15 * time.Second

func main() { cmdline.Main(newCommand()) }

func newCommand() *cli.Command {
	return &cli.Command{
		Name:        "paddlectl",
		Usage:       "operate camphorpaddle",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "settings `FILE` of paddlectl (YAML)"},
			&cli.StringFlag{
				Name: "control", Sources: cli.EnvVars("PADDLE_CONTROL"),
				Usage: "`ADDRESSES` of the control hosts' HTTP ports, separated by commas",
			},
			&cli.StringFlag{Name: "key-file", Sources: cli.EnvVars("PADDLE_KEY_FILE"), Usage: "`FILE` with the cluster key"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "`FORMAT`: table or json"},
			&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "maximum run time of the command"},
		},
		Commands: []*cli.Command{
			configCommand(), profileCommand(), organisationCommand(), statusCommand(), serviceCommand(),
			targetCommand(), promoteCommand(), hostCommand(), explainCommand(),
		},
	}
}

// invocation holds the client and the printer of one run of a command.
type invocation struct {
	*api.Client
	out printer
}

// action implements a command that calls the control hosts.
type action func(ctx context.Context, inv *invocation, cmd *cli.Command) error

// withClient adapts an action to the command line: it creates the printer and the
// client and applies --timeout.
func withClient(run action) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		out, err := newPrinter(cmd)
		if err != nil {
			return err
		}
		client, err := newClient(cmd)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
		defer cancel()
		return run(ctx, &invocation{Client: client, out: out}, cmd)
	}
}

// newClient returns a client configured by the flags and the settings file; flags
// take precedence.
func newClient(cmd *cli.Command) (*api.Client, error) {
	s := &settings.Client{}
	if name := cmd.String("config"); name != "" {
		data, err := cmdline.ReadFile(name)
		if err != nil {
			return nil, err
		}
		if s, err = settings.ParseClient(name, data); err != nil {
			return nil, err
		}
	}
	var addresses []string
	for _, a := range s.Control {
		addresses = append(addresses, string(a))
	}
	if list := cmd.String("control"); list != "" {
		addresses = strings.Split(list, ",")
	}
	if len(addresses) == 0 {
		return nil, cmdline.UsageErrorf("no control host is given; use --control, PADDLE_CONTROL or --config")
	}
	if name := cmd.String("key-file"); name != "" {
		s.Security.KeyFile = name
	}
	return api.NewSecureClient(addresses, s.Security)
}
