package standin

import (
	"fmt"
	"strconv"
	"strings"
)

// entry is a log entry: the changes of one committed transaction, or none at the
// start of a term.
type entry struct {
	Term    uint64   `json:"term"`
	Offset  uint64   `json:"offset"`
	Written int64    `json:"written"` // wall clock time of the primary, in nanoseconds since the Unix epoch
	Changes []change `json:"changes"`
}

// termEnd is the end of the consecutive entries of one term.
type termEnd struct {
	Term uint64
	Last uint64 // offset of the term's last entry
}

// transactionLog is the log of a member. Offsets start at 1.
type transactionLog struct {
	entries []entry
}

// last returns the term and the offset of the last entry.
func (l *transactionLog) last() (term, offset uint64) {
	if len(l.entries) == 0 {
		return 0, 0
	}
	e := l.entries[len(l.entries)-1]
	return e.Term, e.Offset
}

// add appends an entry if its offset is the next one, and reports whether it did.
func (l *transactionLog) add(e entry) bool {
	if e.Offset != uint64(len(l.entries))+1 {
		return false
	}
	l.entries = append(l.entries, e)
	return true
}

// truncate drops the entries after offset and reports whether there were any.
func (l *transactionLog) truncate(offset uint64) bool {
	if offset >= uint64(len(l.entries)) {
		return false
	}
	l.entries = l.entries[:offset:offset]
	return true
}

// from returns at most n entries after offset.
func (l *transactionLog) from(offset uint64, n int) []entry {
	if offset >= uint64(len(l.entries)) {
		return nil
	}
	rest := l.entries[offset:]
	return rest[:min(n, len(rest))]
}

// truncationOffset returns the offset after which to truncate the log, so that
// it has no entry after offset that was written in a term older than term.
func (l *transactionLog) truncationOffset(offset, term uint64) uint64 {
	for i := offset; i < uint64(len(l.entries)); i++ {
		if l.entries[i].Term < term {
			return i
		}
	}
	return uint64(len(l.entries))
}

// termEnds returns the terms of the log with the last offset of each.
func (l *transactionLog) termEnds() []termEnd {
	var ends []termEnd
	for _, e := range l.entries {
		if len(ends) == 0 || ends[len(ends)-1].Term != e.Term {
			ends = append(ends, termEnd{Term: e.Term})
		}
		ends[len(ends)-1].Last = e.Offset
	}
	return ends
}

// lastCommonOffset returns the offset of the last entry that two logs share. All
// entries of a term are written by one primary, so a term and an offset identify
// an entry.
func lastCommonOffset(a, b []termEnd) uint64 {
	common := uint64(0)
	for i := 0; i < len(a) && i < len(b) && a[i].Term == b[i].Term; i++ {
		common = min(a[i].Last, b[i].Last)
		if a[i].Last != b[i].Last {
			break
		}
	}
	return common
}

// formatTermEnds returns term:offset pairs separated by commas.
func formatTermEnds(ends []termEnd) string {
	parts := make([]string, len(ends))
	for i, end := range ends {
		parts[i] = fmt.Sprintf("%d:%d", end.Term, end.Last)
	}
	return strings.Join(parts, ",")
}

func parseTermEnds(s string) ([]termEnd, *sqlError) {
	var ends []termEnd
	if s == "" {
		return nil, nil
	}
	for _, part := range strings.Split(s, ",") {
		term, last, _ := strings.Cut(part, ":")
		t, termErr := strconv.ParseUint(term, 10, 64)
		o, offsetErr := strconv.ParseUint(last, 10, 64)
		if termErr != nil || offsetErr != nil {
			return nil, errorf(codeSyntax, "invalid list of terms %q: want term:offset pairs separated by commas", s)
		}
		ends = append(ends, termEnd{Term: t, Last: o})
	}
	return ends, nil
}
