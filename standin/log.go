package standin

import (
	"fmt"
	"strconv"
	"strings"
)

// entry is one committed transaction in the log.
type entry struct {
	Term    uint64   `json:"term"`
	Offset  uint64   `json:"offset"`
	Written int64    `json:"written"` // wall clock of the primary, in nanoseconds
	Changes []change `json:"changes"`
}

// run says how far the entries of one term reach.
type run struct {
	Term uint64
	Last uint64 // offset of the term's last entry
}

// transactionLog is the log of a member. Offsets begin at 1.
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

// add appends an entry; its offset must be the next one.
func (l *transactionLog) add(e entry) bool {
	if e.Offset != uint64(len(l.entries))+1 {
		return false
	}
	l.entries = append(l.entries, e)
	return true
}

// truncate drops the entries behind offset and reports whether there were any.
func (l *transactionLog) truncate(offset uint64) bool {
	if offset >= uint64(len(l.entries)) {
		return false
	}
	l.entries = l.entries[:offset:offset]
	return true
}

// from returns at most n entries behind offset.
func (l *transactionLog) from(offset uint64, n int) []entry {
	if offset >= uint64(len(l.entries)) {
		return nil
	}
	rest := l.entries[offset:]
	return rest[:min(n, len(rest))]
}

// firstOlder returns the number of entries that stay when those behind offset
// that an older term wrote are dropped.
func (l *transactionLog) firstOlder(offset, term uint64) uint64 {
	for i := offset; i < uint64(len(l.entries)); i++ {
		if l.entries[i].Term < term {
			return i
		}
	}
	return uint64(len(l.entries))
}

// runs returns the terms of the log with the last offset of each.
func (l *transactionLog) runs() []run {
	var runs []run
	for _, e := range l.entries {
		if len(runs) == 0 || runs[len(runs)-1].Term != e.Term {
			runs = append(runs, run{Term: e.Term})
		}
		runs[len(runs)-1].Last = e.Offset
	}
	return runs
}

// common returns up to which offset two logs hold the same entries. In one
// term all entries come from one primary, so that a term and an offset name
// one entry.
func common(a, b []run) uint64 {
	same := uint64(0)
	for i := 0; i < len(a) && i < len(b) && a[i].Term == b[i].Term; i++ {
		same = min(a[i].Last, b[i].Last)
		if a[i].Last != b[i].Last {
			break
		}
	}
	return same
}

// formatRuns returns term:last pairs with commas between.
func formatRuns(runs []run) string {
	parts := make([]string, len(runs))
	for i, r := range runs {
		parts[i] = fmt.Sprintf("%d:%d", r.Term, r.Last)
	}
	return strings.Join(parts, ",")
}

func parseRuns(s string) ([]run, *sqlError) {
	var runs []run
	if s == "" {
		return nil, nil
	}
	for _, part := range strings.Split(s, ",") {
		term, last, _ := strings.Cut(part, ":")
		t, errTerm := strconv.ParseUint(term, 10, 64)
		o, errLast := strconv.ParseUint(last, 10, 64)
		if errTerm != nil || errLast != nil {
			return nil, errorf(codeSyntax, "%q is not a list of terms", s)
		}
		runs = append(runs, run{Term: t, Last: o})
	}
	return runs, nil
}
