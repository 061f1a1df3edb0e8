// Command 6 starts a new system, sends the first configuration as soon as the control
// hosts listen, and takes the disk of the host that acknowledged it.
package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/camphorpaddle/camphorpaddle/review/harness"
)

const (
	// startSpread is the time between the starts of the machines at the first start, within
	// the 0.3 s that the pages name.
	startSpread = 250 * time.Millisecond
	// backAfter is how long the machine is down that loses its disk.
	backAfter = 500 * time.Millisecond
	// readFor is how long the operator reads back: recovery_s (12 s) after all machines are
	// back, contact_ms (4 s) more, and 9 s in addition.
	readFor = 25 * time.Second
	// firstVersion is the version of the configuration.
	firstVersion = 7
)

func main() { harness.Main(3, 0, play) }

func config(version int) string {
	return harness.Config(version, harness.Route("r1", "stock", "primary", "ledger", 0), harness.Service("ledger", 0))
}

func play(s *harness.System, trouble bool) (int, error) {
	for i, name := range []string{"core-1", "core-2", "core-3"} {
		if i == 1 {
			time.Sleep(startSpread)
		}
		if err := s.Start(name, true); err != nil {
			return 0, err
		}
	}
	operator := s.NewOperator()
	if status := operator.Put(config(firstVersion), 20*time.Second); status != 200 {
		return 0, fmt.Errorf("the first configuration was not acknowledged: %d", status)
	}
	s.Record.Add("operator: version %d is acknowledged", firstVersion)
	if trouble {
		s.Kill("core-1") // the first seed leads first, and only a leader acknowledges
		s.EmptyDisk("core-1")
		time.Sleep(backAfter)
		if err := s.Start("core-1", false); err != nil {
			return 0, err
		}
	}
	return readBack(s, operator), nil
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
		var got struct {
			Version uint64 `json:"version"`
		}
		if err := json.NewDecoder(strings.NewReader(body)).Decode(&got); err != nil || got.Version < firstVersion {
			s.Record.Add("operator: read back %q, which is older than the acknowledged version", body)
			return harness.Broken
		}
		if read++; read >= 10 {
			s.Record.Add("operator: read back version %d ten times; answers by status: %v", got.Version, statuses)
			return harness.Held
		}
	}
	s.Record.Add("operator: version %d was not read back within %s; answers by status: %v", firstVersion, readFor, statuses)
	s.Record.Add("operator: the next version is answered with %d for 5 s", o.Put(config(firstVersion+1), 5*time.Second))
	return harness.Broken
}
