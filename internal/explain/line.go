// Package explain reconstructs from the logs of several processes what led to the
// outcome of a request.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Line is one parsed log line.
type Line struct {
	At    time.Duration     `json:"at"`   // since the start of the log's time scale
	Time  string            `json:"time"` // as written in the log
	Host  string            `json:"host"`
	Event string            `json:"event"`
	Pairs map[string]string `json:"pairs"`
	order []string          // keys of Pairs in the order of the line
}

// linePattern matches a klog line, which a log collector may have prefixed with a
// time in seconds and the name of the host.
var linePattern = regexp.MustCompile(`^(?:\s*(-?[\d.]+) (\S+) )?[IWEF](\d{4}) (\d\d):(\d\d):(\d\d\.\d+)\s+\d+ \S+\] "([^"]*)"(.*)$`)

// pairPattern matches a key=value pair with an optionally quoted value.
var pairPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)

// Read parses a log and skips lines that are not log events.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Text()); ok {
			out = append(out, line)
		}
	}
	return out, trace.Wrap(scanner.Err(), "reading log lines of at most %d bytes", maxLineBytes)
}

// parse parses one line and reports whether it is a log event.
func parse(text string) (Line, bool) {
	m := linePattern.FindStringSubmatch(text)
	if m == nil {
		return Line{}, false
	}
	line := Line{Event: m[7], Pairs: make(map[string]string)}
	for _, p := range pairPattern.FindAllStringSubmatch(m[8], -1) {
		value := p[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		line.Pairs[p[1]] = value
		line.order = append(line.order, p[1])
	}
	line.Host = line.Pairs["host"]
	if m[1] != "" {
		seconds, err := strconv.ParseFloat(m[1], 64)
		line.At, line.Time, line.Host = secondsToDuration(seconds), m[1], m[2]
		return line, err == nil
	}
	line.Time = fmt.Sprintf("%s %s:%s:%s", m[3], m[4], m[5], m[6])
	at, err := sinceNewYear(m[3], m[4], m[5], m[6])
	line.At = at
	return line, err == nil
}

// sinceNewYear converts a klog timestamp, which has no year, to the time since the
// start of the year. All months count 31 days, which keeps the order of lines.
func sinceNewYear(date, hour, minute, second string) (time.Duration, error) {
	d, err := time.ParseDuration(hour + "h" + minute + "m" + second + "s")
	if err != nil {
		return 0, trace.Wrap(err)
	}
	day, err := strconv.Atoi(date)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return d + time.Duration(day/100*31+day%100)*24*time.Hour, nil
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Text returns the key=value pairs of a line without those that identify the
// process or the request.
func (l Line) Text() string {
	var out []string
	for _, key := range l.order {
		switch key {
		case "role", "host", "availability_zone", "request":
		default:
			out = append(out, key+"="+l.Pairs[key])
		}
	}
	return strings.Join(out, " ")
}
