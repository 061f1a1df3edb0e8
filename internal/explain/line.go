// Package explain gathers from the logs of several processes what led to the
// outcome of one request.
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

// maxLine bounds one log line, in bytes.
const maxLine = 1 << 20

// Line is one event of a log.
type Line struct {
	At    time.Duration     `json:"at"`   // since the begin of the log's own time scale
	Time  string            `json:"time"` // as the log shows it
	Host  string            `json:"host"`
	Event string            `json:"event"`
	Pairs map[string]string `json:"pairs"`
	order []string          // keys of Pairs as they stood
}

// header matches a log line. A collector may have put a time in seconds and the
// name of the host before it.
var header = regexp.MustCompile(`^(?:\s*(-?[\d.]+) (\S+) )?[IWEF](\d{4}) (\d\d):(\d\d):(\d\d\.\d+)\s+\d+ \S+\] "([^"]*)"(.*)$`)

// pair matches one key=value pair.
var pair = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)

// Read returns the events of a log. Other lines are passed over.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if line, ok := parse(scanner.Text()); ok {
			out = append(out, line)
		}
	}
	return out, trace.Wrap(scanner.Err(), "reading a log")
}

func parse(text string) (Line, bool) {
	m := header.FindStringSubmatch(text)
	if m == nil {
		return Line{}, false
	}
	line := Line{Event: m[7], Pairs: make(map[string]string)}
	for _, p := range pair.FindAllStringSubmatch(m[8], -1) {
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
		line.At, line.Time, line.Host = inSeconds(seconds), m[1], m[2]
		return line, err == nil
	}
	line.Time = fmt.Sprintf("%s %s:%s:%s", m[3], m[4], m[5], m[6])
	at, err := clock(m[3], m[4], m[5], m[6])
	line.At = at
	return line, err == nil
}

// clock returns the time since the begin of the year, with months of 31 days.
func clock(date, hour, minute, second string) (time.Duration, error) {
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

func inSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Text returns the pairs of a line but for those that a table shows in columns
// of their own.
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
