// Command measure takes figures from real processes on loopback: the failover
// gap, and the time until a change of configuration is in force everywhere.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/camphorpaddle/camphorpaddle/internal/cmdline"
	"github.com/camphorpaddle/camphorpaddle/internal/lab"
	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

// What is measured.
const (
	configFile  = "examples/magnolia/config.yaml"
	service     = "spares-ledger-stock"
	defaultRuns = 20
)

// services are the services of configFile.
var services = []string{service, "spares-ledger-orders", "spares-ledger-catalog"}

func main() {
	runs := &cli.IntFlag{Name: "runs", Value: defaultRuns, Usage: "number of runs"}
	latency := &cli.DurationFlag{Name: "latency", Usage: "one way, added to every connection between processes"}
	lag := &cli.DurationFlag{Name: "lag", Value: 20 * time.Millisecond, Usage: "lag of the replicas"}
	cmdline.Main(&cli.Command{
		Name: "measure", Usage: "take figures from real processes on loopback",
		Commands: []*cli.Command{
			{
				Name: "failover", Usage: "gap from a primary's failure to the next accepted write",
				Flags: []cli.Flag{runs, lag, latency, &cli.StringFlag{Name: "fault", Value: "kill", Usage: "kill, freeze, or cut, which needs latency"}},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return inLab(ctx, cmd, func(ctx context.Context, l *lab.Lab) error {
						return failovers(ctx, l, cmd.String("fault"), cmd.Int("runs"))
					})
				},
			},
			{
				Name: "writes", Usage: "time of a write for each durability",
				Flags: []cli.Flag{runs, lag, latency},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return inLab(ctx, cmd, func(ctx context.Context, l *lab.Lab) error {
						return writes(ctx, l, cmd.Int("runs"))
					})
				},
			},
			{
				Name: "idle", Usage: "what control costs processes that no caller uses",
				Flags: []cli.Flag{lag, latency, &cli.IntFlag{Name: "services", Value: 1, Usage: "1 to 3 services"}},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return inLab(ctx, cmd, func(ctx context.Context, l *lab.Lab) error { return idle(ctx, l) })
				},
			},
			{
				Name: "sessions", Usage: "memory of a proxy against its idle sessions",
				Flags: []cli.Flag{lag, latency},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return inLab(ctx, cmd, func(ctx context.Context, l *lab.Lab) error { return sessions(ctx, l) })
				},
			},
			{
				Name: "config", Usage: "time until a change is in force on every proxy",
				Flags: []cli.Flag{runs, lag, latency},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return inLab(ctx, cmd, func(ctx context.Context, l *lab.Lab) error {
						return changes(ctx, l, cmd.Int("runs"))
					})
				},
			},
		},
	})
}

// inLab runs a measurement in a lab of the size of one deployment.
func inLab(ctx context.Context, cmd *cli.Command, do func(context.Context, *lab.Lab) error) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "camphorpaddle-measure-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(dir)
	config, err := filepath.Abs(configFile)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	l, err := lab.Start(ctx, lab.Config{
		Dir: dir, Controls: 3, Proxies: 4, ConfigFile: config, Latency: cmd.Duration("latency"),
		Services: labServices(cmd),
	})
	if err != nil {
		return err
	}
	defer l.Stop()
	return do(ctx, l)
}

// labServices returns the services of the lab, one unless a flag says more.
func labServices(cmd *cli.Command) []lab.Service {
	var out []lab.Service
	for _, name := range services[:max(1, min(cmd.Int("services"), len(services)))] {
		out = append(out, lab.Service{
			Name: name, Members: 3, Slots: 3, Connections: 20,
			ConnectCost: 12 * time.Millisecond, Lag: cmd.Duration("lag"),
		})
	}
	return out
}

// printFigures prints the smallest, the middle and the largest duration.
func printFigures(what string, took []time.Duration) {
	slices.Sort(took)
	for i, d := range took {
		took[i] = d.Round(time.Millisecond)
	}
	fmt.Printf("%s: runs=%d minimum=%s median=%s maximum=%s\n",
		what, len(took), took[0], took[len(took)/2], took[len(took)-1])
}
