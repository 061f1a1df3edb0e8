// Package contain keeps a panic at the edge of a process to the connection or call that
// caused it. It is not for reducers: a reducer that panicked may hold half of a change,
// so its process ends and starts again from its durable state.
package contain

import (
	"runtime/debug"
	"strings"
	"sync/atomic"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// panics is the number of panics that Call contained.
var panics atomic.Int64

// Panics returns the number of panics that were contained since the process started.
func Panics() int64 { return panics.Load() }

// Call runs f and returns its error. If f panics, Call logs where, and returns an error
// that names what was being done.
func Call(what string, f func() error) (err error) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		panics.Add(1)
		klog.ErrorS(nil, "panic_contained", "what", what, "reason", r, "stack", oneLine(debug.Stack()))
		err = trace.Errorf("%s panicked: %v", what, r)
	}()
	return f()
}

// oneLine returns a stack trace as one line.
func oneLine(stack []byte) string {
	return strings.Join(strings.Fields(strings.ReplaceAll(string(stack), "\n", "; ")), " ")
}
