// Package core is the one reducer of the system. Every event of every process
// enters through Reducer.Step, and everything that has to be done leaves it as
// effects, which are data. The reducer reads no clock, socket, file or random
// source, starts no goroutine and takes no lock; package runtime drives it.
//
// A process picks the parts that it needs: a control host, the control
// goroutine of a proxy and each traffic shard of a proxy run the same Reducer
// with different parts.
package core

import (
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
)

// Part is a sub-reducer, one for each domain. It sees every event and ignores
// those that are not its own.
type Part interface {
	Step(in event.Input) []effect.Effect
}

// Reducer composes parts into one function from an event to effects. One
// goroutine owns a Reducer.
type Reducer struct {
	parts []Part
}

// New returns a reducer that gives each event to the parts in their order.
func New(parts ...Part) *Reducer { return &Reducer{parts: parts} }

// Step takes in one event and returns what has to be done, in order. Effects
// that one part has for the others come back as events within the same step.
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
					continue // replayed from the log; an earlier run recorded it
				}
				out = append(out, eff)
			}
		}
	}
	return out
}

// internal returns the event that an effect of one part is to the others.
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
