// Command target-standin runs a stand-in for one member of a database group, for
// tests and the demo.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/camphorpaddle/camphorpaddle/standin"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "target-standin",
		Usage: "stand-in for one member of a database group, for tests and the demo",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Usage: "database group", Required: true},
			&cli.StringFlag{Name: "name", Usage: "name of the member in its group", Required: true},
			&cli.StringFlag{Name: "availability-zone", Usage: "availability zone of the member"},
			&cli.StringFlag{Name: "listen", Usage: "address to listen on", Value: "127.0.0.1:0"},
			&cli.StringSliceFlag{Name: "announce", Usage: "address of a daemon that receives announcements; may be repeated"},
			&cli.DurationFlag{Name: "announce-interval", Usage: "time between announcements", Value: standin.DefaultAnnounceInterval},
			&cli.IntFlag{Name: "connections", Usage: "maximum number of open connections", Value: standin.DefaultMaxConnections},
			&cli.IntFlag{Name: "slots", Usage: "maximum number of concurrent statements", Value: standin.DefaultSlots},
			&cli.DurationFlag{Name: "connect-cost", Usage: "time needed to open a connection"},
			&cli.DurationFlag{Name: "statement-cost", Usage: "time that a statement occupies its slot"},
			&cli.DurationFlag{Name: "lag", Usage: "replication delay"},
			&cli.DurationFlag{Name: "leave-timeout", Usage: "maximum time to hand over after SIGTERM", Value: standin.DefaultLeaveTimeout},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	member, err := standin.Start(standin.Config{
		Service:          c.String("service"),
		Name:             c.String("name"),
		AvailabilityZone: c.String("availability-zone"),
		Listen:           c.String("listen"),
		Announce:         c.StringSlice("announce"),
		AnnounceInterval: c.Duration("announce-interval"),
		MaxConnections:   c.Int("connections"),
		Slots:            c.Int("slots"),
		ConnectCost:      c.Duration("connect-cost"),
		StatementCost:    c.Duration("statement-cost"),
		Lag:              c.Duration("lag"),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	defer member.Close()
	fmt.Printf("address=%s\n", member.Address())
	<-ctx.Done()
	stop()
	leaving, cancel := context.WithTimeout(context.Background(), c.Duration("leave-timeout"))
	defer cancel()
	return trace.Wrap(member.Leave(leaving))
}
