// Package configuration holds the rules of operators' changes: which change is
// accepted, which conflicts, and that a repeated change gets its first answer.
package configuration

import (
	"fmt"
	"maps"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/cespare/xxhash/v2"
)

// maxRecords is how many past changes are remembered.
const maxRecords = 10_000

// Ledger is the current configuration and the record of past changes. Every
// control host applies the same changes in the same order.
type Ledger struct {
	config  *types.Config
	source  string
	records map[types.ChangeID]proto.ChangeRecord
	order   []types.ChangeID // ids of records, oldest first
}

// New returns a ledger at version zero.
func New() *Ledger {
	return &Ledger{config: &types.Config{}, records: make(map[types.ChangeID]proto.ChangeRecord)}
}

// Restore returns a ledger as a snapshot holds it.
func Restore(config *types.Config, source string, records []proto.ChangeRecord) *Ledger {
	l := New()
	if config != nil {
		l.config = config
	}
	l.source = source
	for _, r := range records {
		l.record(r)
	}
	return l
}

// Config returns the current configuration. It is never nil.
func (l *Ledger) Config() *types.Config { return l.config }

// Source returns the operator's text of the current configuration.
func (l *Ledger) Source() string { return l.source }

// Records returns the past changes, oldest first.
func (l *Ledger) Records() []proto.ChangeRecord {
	out := make([]proto.ChangeRecord, 0, len(l.order))
	for _, id := range l.order {
		out = append(out, l.records[id])
	}
	return out
}

// Record returns the record of a past change.
func (l *Ledger) Record(id types.ChangeID) (proto.ChangeRecord, bool) {
	r, ok := l.records[id]
	return r, ok
}

// Answer returns the answer to a change that was applied before. It reports
// false for an id that is not known.
func (l *Ledger) Answer(c proto.ChangeConfig) (proto.ChangeResult, bool) {
	if c.Number != 0 {
		return numbered(l.config.Version), c.Number <= l.config.Version
	}
	rec, ok := l.records[c.ID]
	if !ok {
		return proto.ChangeResult{}, false
	}
	if rec.Digest != digest(c) {
		return proto.ChangeResult{
			ID: c.ID, Version: l.config.Version,
			Reason: fmt.Sprintf("change id %q was used for another change", c.ID),
		}, true
	}
	return rec.Result, true
}

// Apply decides on a change and reports whether the configuration is a new one.
func (l *Ledger) Apply(c proto.ChangeConfig) (proto.ChangeResult, bool) {
	if known, ok := l.Answer(c); ok {
		return known, false
	}
	if c.Number != 0 {
		l.take(c, c.Number)
		return numbered(c.Number), true
	}
	result := l.decide(c)
	if result.Accepted {
		l.take(c, result.Version)
	}
	l.record(proto.ChangeRecord{Result: result, Digest: digest(c), Author: c.Author})
	return result, result.Accepted
}

// take puts the configuration of a change in force.
func (l *Ledger) take(c proto.ChangeConfig, version uint64) {
	config := *c.Config
	config.Version = version
	l.config, l.source = &config, c.Source
}

// numbered is the answer to a change that carries the operator's own version:
// all of them are accepted, and the highest is in force.
func numbered(inForce uint64) proto.ChangeResult {
	return proto.ChangeResult{Accepted: true, Version: inForce}
}

func (l *Ledger) decide(c proto.ChangeConfig) proto.ChangeResult {
	current := l.config.Version
	switch {
	case c.Config == nil:
		return proto.ChangeResult{ID: c.ID, Version: current, Reason: "the change holds no configuration"}
	case c.Base != current:
		return proto.ChangeResult{
			ID: c.ID, Version: current,
			Reason: fmt.Sprintf("the change is based on version %d, the current version is %d", c.Base, current),
		}
	}
	if reason := l.refuse(c.Config); reason != "" {
		return proto.ChangeResult{ID: c.ID, Version: current, Reason: reason}
	}
	return proto.ChangeResult{ID: c.ID, Accepted: true, Version: current + 1}
}

// refuse returns why a configuration can't follow the current one, or "". A
// smaller quorum could miss writes that a quorum of the larger group holds.
func (l *Ledger) refuse(next *types.Config) string {
	for _, name := range slices.Sorted(maps.Keys(next.Services)) {
		old, ok := l.config.Services[name]
		if ok && next.Services[name].Members < old.Members {
			return fmt.Sprintf("service %q has %d members and can't be made smaller", name, old.Members)
		}
	}
	return ""
}

// record remembers an answer and forgets the oldest one beyond maxRecords.
func (l *Ledger) record(r proto.ChangeRecord) {
	l.records[r.Result.ID] = r
	l.order = append(l.order, r.Result.ID)
	if len(l.order) > maxRecords {
		delete(l.records, l.order[0])
		l.order = slices.Delete(l.order, 0, 1)
	}
}

// digest tells changes of the same id apart. Maps print in order of their keys.
func digest(c proto.ChangeConfig) uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%d\x00%q", c.Base, c.Source)
	if c.Config != nil {
		fmt.Fprintf(h, "\x00%+v\x00%+v\x00%+v", c.Config.Services, c.Config.Profiles, c.Config.Routes)
	}
	return h.Sum64()
}
