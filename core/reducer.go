// Package core contains the reducer that all processes run. Reducer.Step handles
// every event and returns the actions to execute as effects, which are data. The
// reducer reads no clock, socket, file or random source, starts no goroutine and
// takes no lock. Package runtime feeds it with events and executes its effects.
//
// A process composes the parts that it needs: a control host, the control
// goroutine of a proxy and each traffic shard of a proxy run the same Reducer
// with different parts.
package core

import (
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
)

// Part is a sub-reducer for one domain. It receives every event and ignores those
// of other domains.
type Part interface {
	Step(in event.Input) []effect.Effect
}

// Reducer composes parts into one function from an event to effects. It is owned
// by one goroutine and not safe for concurrent use.
type Reducer struct {
	parts []Part
}

// New returns a reducer that passes each event to the parts in the given order.
func New(parts ...Part) *Reducer { return &Reducer{parts: parts} }

// Step handles one event and returns the effects to execute, in order. Effects
// meant for the other parts are handled as events within the same step.
func (r *Reducer) Step(in event.Input) []effect.Effect {
	var out []effect.Effect
	_, starting := in.Event.(event.Start)
	queue := []event.Event{in.Event}
	for len(queue) > 0 {
		in.Event, queue = queue[0], queue[1:]
		for _, part := range r.parts {
			for _, eff := range part.Step(in) {
				if next, ok := internal(eff); ok {
					queue = append(queue, next)
					continue
				}
				if _, decided := eff.(effect.Decide); decided && starting {
					continue // repeated by the replay of the log; an earlier run recorded it
				}
				out = append(out, eff)
			}
		}
	}
	return out
}

// internal converts an effect that is meant for the other parts into their event.
func internal(eff effect.Effect) (event.Event, bool) {
	switch e := eff.(type) {
	case effect.Propose:
		return event.Proposed(e), true
	case effect.Commit:
		return event.Committed(e), true
	case effect.Restore:
		return event.Restored(e), true
	case effect.ChangeRole:
		return event.RoleChanged(e), true
	}
	return nil, false
}
