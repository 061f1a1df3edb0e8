package main

import (
	"context"
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/internal/lab"
	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5"
)

// sessionCounts are the numbers of idle sessions at which memory is measured.
var sessionCounts = []int{0, 1000, 2000, 4000}

// stabilizeTime is the wait after sessions are opened until the memory usage of the
// proxy is read.
const stabilizeTime = 3 * time.Second

// measureSessions prints the memory usage of a proxy by its number of idle sessions.
func measureSessions(ctx context.Context, l *lab.Lab) error {
	proxy := l.Proxies[0]
	var conns []*pgx.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close(context.WithoutCancel(ctx))
		}
	}()
	address := fmt.Sprintf("postgres://measure@%s/%s?sslmode=disable", proxy.CallerAddress, service)
	for _, n := range sessionCounts {
		for len(conns) < n {
			conn, err := pgx.Connect(ctx, address)
			if err != nil {
				return trace.Wrap(err, "opening session %d", len(conns)+1)
			}
			conns = append(conns, conn)
		}
		select {
		case <-time.After(stabilizeTime):
		case <-ctx.Done():
			return ctx.Err()
		}
		usage, err := lab.ReadUsage(proxy.Pid())
		if err != nil {
			return err
		}
		fmt.Printf("idle sessions=%d resident=%d KB\n", n, usage.ResidentBytes>>10)
	}
	return nil
}
