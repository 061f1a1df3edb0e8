package main

import (
	"context"
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/internal/lab"
)

// idleTime is how long processes without callers are watched.
const idleTime = 20 * time.Second

// idle prints what control costs each process while no caller does anything.
func idle(ctx context.Context, l *lab.Lab) error {
	type process struct {
		name string
		pid  int
	}
	var processes []process
	for i, p := range l.Proxies {
		processes = append(processes, process{fmt.Sprintf("proxy %d", i+1), p.Pid()})
	}
	for i, c := range l.Controls {
		processes = append(processes, process{fmt.Sprintf("control host %d", i+1), c.Pid()})
	}
	before := make([]lab.Usage, len(processes))
	for i, p := range processes {
		var err error
		if before[i], err = lab.ReadUsage(p.pid); err != nil {
			return err
		}
	}
	select {
	case <-time.After(idleTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	for i, p := range processes {
		after, err := lab.ReadUsage(p.pid)
		if err != nil {
			return err
		}
		share := 100 * (after.Processor - before[i].Processor).Seconds() / idleTime.Seconds()
		fmt.Printf("%s: processor=%.2f%% of a core resident=%d MB\n", p.name, share, after.Resident>>20)
	}
	return nil
}
