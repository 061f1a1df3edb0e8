// Command testreport reads the output of go test -json, prints what failed and
// ends with a line that counts the tests.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// maxLine is the longest line of test output, in bytes.
const maxLine = 8 << 20

// testEvent is one line of go test -json.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testKey names a test, or a package when Test is empty.
type testKey struct{ pkg, test string }

// report counts results and keeps the output of what has not ended.
type report struct {
	passed, failed, skipped int
	brokenPackages          int
	output                  map[testKey][]string
}

func main() {
	r := report{output: make(map[testKey][]string)}
	if err := r.read(os.Stdin); err != nil {
		fmt.Fprintln(os.Stderr, "testreport:", err)
		os.Exit(2)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, r.failed, r.skipped)
	if r.failed > 0 || r.brokenPackages > 0 || r.passed == 0 {
		os.Exit(1)
	}
}

func (r *report) read(in io.Reader) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var ev testEvent
		if err := json.Unmarshal(lines.Bytes(), &ev); err != nil {
			fmt.Println(lines.Text())
			continue
		}
		r.take(ev)
	}
	return lines.Err()
}

func (r *report) take(ev testEvent) {
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
			r.brokenPackages++
		}
		r.print(key)
	case "build-fail":
		r.brokenPackages++
		r.print(key)
	}
}

func (r *report) print(key testKey) {
	fmt.Printf("FAIL %s %s\n", key.pkg, key.test)
	for _, line := range r.output[key] {
		fmt.Print("  ", line)
	}
	delete(r.output, key)
}
