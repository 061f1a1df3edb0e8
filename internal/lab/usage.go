package lab

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// clockTicksPerSecond is the unit of CPU times in /proc (USER_HZ).
const clockTicksPerSecond = 100

// Usage is the resource usage of a process.
type Usage struct {
	CPUTime       time.Duration // user and system CPU time
	ResidentBytes int64         // resident memory, in bytes
}

// Indexes of fields in /proc/PID/stat, counted after the process name.
const (
	statUser     = 11
	statSystem   = 12
	statResident = 21
)

// ReadUsage returns the resource usage of a process so far.
func ReadUsage(pid int) (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, trace.ConvertSystemError(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statResident {
		return Usage{}, trace.BadParameter("/proc/%d/stat has %d fields after the process name, at least %d expected", pid, len(fields), statResident+1)
	}
	var values [3]int64
	for i, field := range []int{statUser, statSystem, statResident} {
		if values[i], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return Usage{}, trace.Wrap(err, "reading /proc/%d/stat", pid)
		}
	}
	return Usage{
		CPUTime:       time.Duration(values[0]+values[1]) * time.Second / clockTicksPerSecond,
		ResidentBytes: values[2] * int64(os.Getpagesize()),
	}, nil
}
