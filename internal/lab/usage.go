package lab

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// clockTicks is the unit of processor times under /proc, in ticks a second.
const clockTicks = 100

// Usage is what a process has used of the machine.
type Usage struct {
	Processor time.Duration
	Resident  int64 // bytes
}

// Places of the figures in /proc/PID/stat, behind the name.
const (
	statUser     = 11
	statSystem   = 12
	statResident = 21
)

// ReadUsage returns what a process has used so far.
func ReadUsage(pid int) (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, trace.ConvertSystemError(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statResident {
		return Usage{}, trace.BadParameter("/proc/%d/stat has %d fields", pid, len(fields))
	}
	var figures [3]int64
	for i, at := range []int{statUser, statSystem, statResident} {
		if figures[i], err = strconv.ParseInt(fields[at], 10, 64); err != nil {
			return Usage{}, trace.Wrap(err, "reading /proc/%d/stat", pid)
		}
	}
	return Usage{
		Processor: time.Duration(figures[0]+figures[1]) * time.Second / clockTicks,
		Resident:  figures[2] * int64(os.Getpagesize()),
	}, nil
}
