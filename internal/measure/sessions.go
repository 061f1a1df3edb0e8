package main

import (
	"context"
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/internal/lab"
	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5"
)

// sessionSteps are the numbers of idle sessions that are compared.
var sessionSteps = []int{0, 1000, 2000, 4000}

// sessionSettle is how long a proxy rests before its memory is read.
const sessionSettle = 3 * time.Second

// sessions prints the memory of a proxy against its idle sessions.
func sessions(ctx context.Context, l *lab.Lab) error {
	proxy := l.Proxies[0]
	var conns []*pgx.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close(context.WithoutCancel(ctx))
		}
	}()
	address := fmt.Sprintf("postgres://measure@%s/%s?sslmode=disable", proxy.CallerAddress, service)
	for _, n := range sessionSteps {
		for len(conns) < n {
			conn, err := pgx.Connect(ctx, address)
			if err != nil {
				return trace.Wrap(err, "opening session %d", len(conns)+1)
			}
			conns = append(conns, conn)
		}
		select {
		case <-time.After(sessionSettle):
		case <-ctx.Done():
			return ctx.Err()
		}
		usage, err := lab.ReadUsage(proxy.Pid())
		if err != nil {
			return err
		}
		fmt.Printf("idle sessions=%d resident=%d KB\n", n, usage.Resident>>10)
	}
	return nil
}
