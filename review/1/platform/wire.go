package main

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"
)

// readLine reads a message of the wire protocol and splits off its word.
func readLine(r *bufio.Reader) (word, rest string, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	if !strings.HasSuffix(line, "\r\n") {
		return "", "", fmt.Errorf("the line %q does not end with CR LF", line)
	}
	word, rest, _ = strings.Cut(line[:len(line)-2], " ")
	return word, rest, nil
}

// line encodes a message of the wire protocol.
func line(words ...string) string { return strings.Join(words, " ") + "\r\n" }

// position is a position in the log of a group: TERM.NUMBER.
type position struct{ term, number uint64 }

func (p position) String() string {
	if p.number == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.term, p.number)
}

func parsePosition(s string) (position, error) {
	term, number, ok := strings.Cut(s, ".")
	t, errTerm := strconv.ParseUint(term, 10, 64)
	n, errNumber := strconv.ParseUint(number, 10, 64)
	if !ok || errTerm != nil || errNumber != nil {
		return position{}, fmt.Errorf("%q is not a position", s)
	}
	return position{t, n}, nil
}
