package main

import (
	"context"
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/internal/lab"
)

// idlePeriod is the time over which the usage of idle processes is measured.
const idlePeriod = 20 * time.Second

// measureIdle prints the CPU and memory usage of each process while there are no
// callers, which is the cost of control.
func measureIdle(ctx context.Context, l *lab.Lab) error {
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
	case <-time.After(idlePeriod):
	case <-ctx.Done():
		return ctx.Err()
	}
	for i, p := range processes {
		after, err := lab.ReadUsage(p.pid)
		if err != nil {
			return err
		}
		percent := 100 * (after.CPUTime - before[i].CPUTime).Seconds() / idlePeriod.Seconds()
		fmt.Printf("%s: processor=%.2f%% of a core resident=%d MB\n", p.name, percent, after.ResidentBytes>>20)
	}
	return nil
}
