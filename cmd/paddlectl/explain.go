package main

import (
	"context"
	"os"

	"github.com/camphorpaddle/camphorpaddle/internal/cmdline"
	"github.com/camphorpaddle/camphorpaddle/internal/explain"
	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

func explainCommand() *cli.Command {
	window := explain.DefaultWindow()
	return &cli.Command{
		Name: "explain", Usage: "reconstruct from logs what led to the outcome of a request", ArgsUsage: "ID FILE...",
		Description: "Reads the logs of any number of processes, in any order, and shows the lines about\n" +
			"the request and the state changes of the processes around it, in chronological\n" +
			"order. It calls no control host. docs/OPERATIONS.md has examples.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "before", Value: window.Before, Usage: "include state changes this long before the request's first line"},
			&cli.DurationFlag{Name: "after", Value: window.After, Usage: "include state changes this long after the request's last line"},
		},
		Action: explainRequest,
	}
}

func explainRequest(_ context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 2 {
		return cmdline.UsageErrorf("paddlectl explain takes a request id and at least one log file, got %d arguments; see --help", len(args))
	}
	out, err := newPrinter(cmd)
	if err != nil {
		return err
	}
	var lines []explain.Line
	for _, name := range args[1:] {
		fileLines, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	related, err := explain.RelatedLines(args[0], lines, explain.Window{Before: cmd.Duration("before"), After: cmd.Duration("after")})
	if err != nil {
		return err
	}
	t := &table{header: []string{"TIME", "HOST", "EVENT", "DETAILS"}}
	for _, l := range related {
		t.add(l.Time, l.Host, l.Event, l.Text())
	}
	return out.print(related, t)
}

func readLog(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "reading %s", name)
	}
	lines, err := explain.Read(f)
	return lines, trace.NewAggregate(err, f.Close())
}
