// Command 6 takes the disks of two control hosts, the second one after the first host has
// been back for catch_up_s, and kills the leader once in between.
package main

import (
	"fmt"
	"time"

	harness "github.com/camphorpaddle/camphorpaddle/review/harness/platform"
)

const (
	// catchUp is catch_up_s: after it, a machine that is back doesn't count as lost any more.
	catchUp = 4 * time.Second
	// settled is the time until the first loss. All machines count as working by then.
	settled = 8 * time.Second
	// down is how long a machine is down that loses its disk or whose process is killed.
	down = 300 * time.Millisecond
	// killAfter is the time from the first loss until the leader's process is killed.
	killAfter = 1700 * time.Millisecond
	// margin is the time from the end of catchUp until the second disk is lost.
	margin = 150 * time.Millisecond
	// readFor is how long the operator reads back once all machines are back: recovery_s
	// (12 s), contact_ms (4 s), and 9 s in addition.
	readFor = 25 * time.Second
	limit   = 20 * time.Second
	version = 7
)

func main() { harness.Main(3, 0, play) }

func config(version int) string {
	return harness.Config(version, harness.Route("r1", "stock", "primary", "ledger", 0), harness.Service("ledger", 0))
}

func play(s *harness.System, trouble bool) (int, error) {
	operator, err := s.StartAll(3, 0, config(version))
	if err != nil {
		return 0, err
	}
	time.Sleep(settled)
	if status := operator.Put(config(version+1), limit); status != 200 {
		return 0, fmt.Errorf("version %d was answered with %d", version+1, status)
	}
	leader := s.HostAt(operator.AckedBy)
	var others []string
	for _, name := range []string{"core-1", "core-2", "core-3"} {
		if name != leader {
			others = append(others, name)
		}
	}
	if !trouble {
		return readBack(s, operator), nil
	}
	if err := restart(s, others[0], true); err != nil {
		return 0, err
	}
	back := time.Now()
	time.Sleep(killAfter - down)
	if err := restart(s, leader, false); err != nil {
		return 0, err
	}
	time.Sleep(time.Until(back.Add(catchUp + margin)))
	if err := restart(s, others[1], true); err != nil {
		return 0, err
	}
	return readBack(s, operator), nil
}

// restart kills a process and starts it again, with its disk or with an empty one.
func restart(s *harness.System, name string, emptyDisk bool) error {
	s.Kill(name)
	if emptyDisk {
		s.EmptyDisk(name)
	}
	time.Sleep(down)
	return s.Start(name, false)
}

// readBack reads the configuration at all hosts until it came ten times or readFor is over.
func readBack(s *harness.System, o *harness.Operator) int {
	statuses := map[int]int{}
	read := 0
	for end := time.Now().Add(readFor); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		status, body := o.Get()
		statuses[status]++
		if status != 200 {
			continue
		}
		got, err := harness.VersionOf(body)
		if err != nil || got < version+1 {
			s.Record.Add("operator: read back %q, which is older than the acknowledged version", body)
			return harness.Broken
		}
		if read++; read >= 10 {
			s.Record.Add("operator: read back version %d ten times; answers by status: %v", got, statuses)
			return harness.Held
		}
	}
	s.Record.Add("operator: version %d was not read back within %s; answers by status: %v", version+1, readFor, statuses)
	s.Record.Add("operator: the next version is answered with %d for 5 s", o.Put(config(version+2), 5*time.Second))
	return harness.Broken
}
