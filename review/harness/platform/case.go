package harness

import (
	"fmt"
	"os"
	"path/filepath"
)

// Main runs a case in the folder that the first argument names, and ends the process with
// the case's exit code. play gets a system whose processes are not started yet.
func Main(control, proxies int, play func(s *System, trouble bool) (int, error)) {
	os.Exit(run(control, proxies, play))
}

func run(control, proxies int, play func(s *System, trouble bool) (int, error)) int {
	record, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return NotRun
	}
	defer record.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Add("trouble: %v", trouble)
	s, err := NewSystem(record, control, proxies)
	if err != nil {
		record.Add("not run: %v", err)
		return NotRun
	}
	defer s.Stop()
	code, err := play(s, trouble)
	if err != nil {
		record.Add("not run: %v", err)
		return NotRun
	}
	record.Add("result: %s", map[int]string{Held: "the rule held", Broken: "the rule was broken"}[code])
	return code
}

// StartAll starts all control hosts and proxies for the first time, and puts the first
// configuration.
func (s *System) StartAll(control, proxies int, config string) (*Operator, error) {
	for i := range control {
		if err := s.Start(fmt.Sprintf("core-%d", i+1), true); err != nil {
			return nil, err
		}
	}
	for i := range proxies {
		if err := s.Start(fmt.Sprintf("frontend-%d", i+1), true); err != nil {
			return nil, err
		}
	}
	return s.configure(config)
}
