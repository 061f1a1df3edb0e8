// Command testreport reads the output of go test -json, prints the output of failed
// tests and ends with the number of tests that passed, failed and were skipped.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// maxLineBytes limits the length of a line of test output.
const maxLineBytes = 8 << 20

// testEvent is one line of the output of go test -json.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testKey identifies a test, or a package if test is empty.
type testKey struct{ pkg, test string }

// report counts results and buffers the output of unfinished tests and packages.
type report struct {
	passed, failed, skipped int
	failedPackages          int
	output                  map[testKey][]string
}

func main() {
	r := report{output: make(map[testKey][]string)}
	if err := r.read(os.Stdin); err != nil {
		fmt.Fprintln(os.Stderr, "testreport:", err)
		os.Exit(2)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, r.failed, r.skipped)
	if r.failed > 0 || r.failedPackages > 0 || r.passed == 0 {
		os.Exit(1)
	}
}

func (r *report) read(in io.Reader) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var ev testEvent
		if err := json.Unmarshal(lines.Bytes(), &ev); err != nil {
			fmt.Println(lines.Text())
			continue
		}
		r.handle(ev)
	}
	return lines.Err()
}

// handle updates the report by one event.
func (r *report) handle(ev testEvent) {
	key := testKey{ev.Package, ev.Test}
	switch ev.Action {
	case "output", "build-output":
		r.output[key] = append(r.output[key], ev.Output)
	case "pass":
		if ev.Test != "" {
			r.passed++
		} else {
			fmt.Println("ok", ev.Package)
		}
		delete(r.output, key)
	case "skip":
		if ev.Test != "" {
			r.skipped++
		}
		delete(r.output, key)
	case "fail":
		if ev.Test != "" {
			r.failed++
		} else {
			r.failedPackages++
		}
		r.print(key)
	case "build-fail":
		r.failedPackages++
		r.print(key)
	}
}

// print prints the output of a failed test or package and discards it.
func (r *report) print(key testKey) {
	fmt.Printf("FAIL %s %s\n", key.pkg, key.test)
	for _, line := range r.output[key] {
		fmt.Print("  ", line)
	}
	delete(r.output, key)
}
