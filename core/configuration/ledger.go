// Package configuration decides on operators' changes of the configuration: which
// change is accepted, and which conflicts. A repeated change gets the same answer
// as the first time.
package configuration

import (
	"fmt"
	"maps"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/cespare/xxhash/v2"
)

// maxRecords is the number of past changes for which a record is kept.
const maxRecords = 10_000

// Ledger holds the current configuration and the records of past changes. Every
// control host applies the same changes in the same order.
type Ledger struct {
	config  *types.Config
	source  string
	records map[types.ChangeID]proto.ChangeRecord
	order   []types.ChangeID // keys of records, oldest first
}

// New returns an empty ledger at version zero.
func New() *Ledger {
	return &Ledger{config: &types.Config{}, records: make(map[types.ChangeID]proto.ChangeRecord)}
}

// Restore returns a ledger with the contents of a snapshot.
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

// Source returns the text from which the operator set the current configuration.
func (l *Ledger) Source() string { return l.source }

// Records returns the records of past changes, oldest first.
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

// Answer returns the answer to a change that was applied before. It reports false
// if the change is not known.
func (l *Ledger) Answer(c proto.ChangeConfig) (proto.ChangeResult, bool) {
	if c.Number != 0 {
		return numberedResult(l.config.Version), c.Number <= l.config.Version
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

// Apply decides on a change. It returns the answer and reports whether the change
// set a new configuration.
func (l *Ledger) Apply(c proto.ChangeConfig) (proto.ChangeResult, bool) {
	if known, ok := l.Answer(c); ok {
		return known, false
	}
	if c.Number != 0 && c.Config == nil {
		return proto.ChangeResult{Version: l.config.Version, Reason: "the change holds no configuration"}, false
	}
	if c.Number != 0 {
		l.activate(c, c.Number)
		return numberedResult(c.Number), true
	}
	result := l.evaluate(c)
	if result.Accepted {
		l.activate(c, result.Version)
	}
	l.record(proto.ChangeRecord{Result: result, Digest: digest(c), Author: c.Author})
	return result, result.Accepted
}

// activate makes the configuration of a change the current one.
func (l *Ledger) activate(c proto.ChangeConfig, version uint64) {
	config := *c.Config
	config.Version = version
	l.config, l.source = &config, c.Source
}

// numberedResult returns the answer to a change that carries a version chosen by the
// operator. All of them are accepted, and the highest version is in effect.
func numberedResult(current uint64) proto.ChangeResult {
	return proto.ChangeResult{Accepted: true, Version: current}
}

// evaluate returns the answer to a new change that carries no version of its own.
func (l *Ledger) evaluate(c proto.ChangeConfig) proto.ChangeResult {
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
	if reason := l.refusalReason(c.Config); reason != "" {
		return proto.ChangeResult{ID: c.ID, Version: current, Reason: reason}
	}
	return proto.ChangeResult{ID: c.ID, Accepted: true, Version: current + 1}
}

// refusalReason returns why a configuration can't follow the current one, or "". A
// smaller quorum could miss writes that a quorum of the larger group holds.
func (l *Ledger) refusalReason(next *types.Config) string {
	for _, name := range slices.Sorted(maps.Keys(next.Services)) {
		old, ok := l.config.Services[name]
		if ok && next.Services[name].Members < old.Members {
			return fmt.Sprintf("service %q has %d members and can't be made smaller", name, old.Members)
		}
	}
	return ""
}

// record adds a record and drops the oldest one beyond maxRecords.
func (l *Ledger) record(r proto.ChangeRecord) {
	l.records[r.Result.ID] = r
	l.order = append(l.order, r.Result.ID)
	if len(l.order) > maxRecords {
		delete(l.records, l.order[0])
		l.order = slices.Delete(l.order, 0, 1)
	}
}

// digest hashes a change, to distinguish changes with the same id. fmt prints maps
// sorted by key, so equal changes have equal digests.
func digest(c proto.ChangeConfig) uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%d\x00%q", c.Base, c.Source)
	if c.Config != nil {
		fmt.Fprintf(h, "\x00%+v\x00%+v\x00%+v", c.Config.Services, c.Config.Profiles, c.Config.Routes)
	}
	return h.Sum64()
}
