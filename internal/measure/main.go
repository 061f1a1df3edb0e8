// Command measure benchmarks real processes on loopback: the failover gap, the time
// until every proxy has applied a configuration change, the latency of writes, and
// the resource usage of idle processes and sessions.
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

// The configuration file of the lab, the measured service and the default of --runs.
const (
	configFile  = "examples/magnolia/config.yaml"
	service     = "spares-ledger-stock"
	defaultRuns = 20
)

// services are names of services in configFile, in the order in which they are added
// to a lab.
var services = []string{service, "spares-ledger-orders", "spares-ledger-catalog"}

func main() {
	runs := &cli.IntFlag{Name: "runs", Value: defaultRuns, Usage: "number of runs"}
	latency := &cli.DurationFlag{Name: "latency", Usage: "one-way latency added to every connection between processes"}
	lag := &cli.DurationFlag{Name: "lag", Value: 20 * time.Millisecond, Usage: "replication lag"}
	cmdline.Main(&cli.Command{
		Name: "measure", Usage: "benchmark real processes on loopback",
		Commands: []*cli.Command{
			{
				Name: "failover", Usage: "time from the failure of a primary to the next acknowledged write",
				Flags: []cli.Flag{runs, lag, latency, &cli.StringFlag{Name: "fault", Value: "kill", Usage: "kill, freeze, or cut, which requires --latency"}},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return inLab(ctx, cmd, func(ctx context.Context, l *lab.Lab) error {
						return measureFailovers(ctx, l, cmd.String("fault"), cmd.Int("runs"))
					})
				},
			},
			{
				Name: "writes", Usage: "latency of a write for each durability",
				Flags: []cli.Flag{runs, lag, latency},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return inLab(ctx, cmd, func(ctx context.Context, l *lab.Lab) error {
						return measureWrites(ctx, l, cmd.Int("runs"))
					})
				},
			},
			{
				Name: "idle", Usage: "CPU and memory usage of processes without callers",
				Flags: []cli.Flag{lag, latency, &cli.IntFlag{Name: "services", Value: 1, Usage: "number of services, 1 to 3"}},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return inLab(ctx, cmd, func(ctx context.Context, l *lab.Lab) error { return measureIdle(ctx, l) })
				},
			},
			{
				Name: "sessions", Usage: "memory usage of a proxy by number of idle sessions",
				Flags: []cli.Flag{lag, latency},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return inLab(ctx, cmd, func(ctx context.Context, l *lab.Lab) error { return measureSessions(ctx, l) })
				},
			},
			{
				Name: "config", Usage: "time until every proxy has applied a configuration change",
				Flags: []cli.Flag{runs, lag, latency},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return inLab(ctx, cmd, func(ctx context.Context, l *lab.Lab) error {
						return measureChanges(ctx, l, cmd.Int("runs"))
					})
				},
			},
		},
	})
}

// inLab runs a measurement in a lab with the number of processes of one deployment.
func inLab(ctx context.Context, cmd *cli.Command, measure func(context.Context, *lab.Lab) error) error {
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
	return measure(ctx, l)
}

// labServices returns the services of the lab: as many as the flag "services" says,
// or one for a command without that flag.
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

// printDurations prints the minimum, median and maximum of durations, which it sorts
// and rounds in place.
func printDurations(what string, durations []time.Duration) {
	slices.Sort(durations)
	for i, d := range durations {
		durations[i] = d.Round(time.Millisecond)
	}
	fmt.Printf("%s: runs=%d minimum=%s median=%s maximum=%s\n",
		what, len(durations), durations[0], durations[len(durations)/2], durations[len(durations)-1])
}
