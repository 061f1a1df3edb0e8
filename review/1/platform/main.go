// Command platform runs one case of the review: it starts the programs of the deploy
// file as processes on loopback addresses, with stand-ins for clients, members and the
// platform, and checks one rule.
//
//	review-rig CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
// TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name. Each returns errBroken if the rule was broken.
var cases = map[string]func(*rig) error{
	"late-promotion":   latePromotion,
	"route-moved-back": routeMovedBack,
	"failed-begin":     failedBegin,
	"stop":             stopInTransactions,
}

func main() { os.Exit(runCase(os.Args)) }

func runCase(args []string) int {
	if len(args) != 3 || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE RECORD")
		return 2
	}
	r, err := newRig(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan error, 1)
	go func() { result <- cases[args[1]](r) }()
	select {
	case err = <-result:
	case s := <-interrupted:
		err = fmt.Errorf("interrupted by %s", s)
	}
	code := 0
	switch {
	case errors.Is(err, errBroken):
		code = 1
	case err != nil:
		code = 2
	}
	r.record("result: %d, %v", code, err)
	r.close(os.Getenv("KEEP") != "")
	if os.Getenv("KEEP") != "" {
		fmt.Println("folder:", r.folder)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := os.WriteFile(args[2], r.text.Bytes(), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Println("result:", code, err)
	return code
}
