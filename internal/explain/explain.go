package explain

import (
	"cmp"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Window is how far around a request's own lines changes of state are looked
// for.
type Window struct {
	Before time.Duration
	After  time.Duration
}

// DefaultWindow covers a change of primary before a request and its end.
func DefaultWindow() Window { return Window{Before: 5 * time.Second, After: time.Second} }

// stateChanges are the events after which a process decides otherwise.
var stateChanges = map[string]bool{
	"leader_found": true, "primary_suspected": true, "view_applied": true, "lease_lost": true, "lease_gained": true,
	"term_begun": true, "term_serving": true, "promotion_waits": true, "promotion_called": true, "member_changed": true,
	"target_lost": true, "target_found": true, "control_log_waits": true, "control_log_written": true,
	"drain": true, "starting": true, "stopping": true, "drained": true, "sessions_cut_off": true, "reloaded": true,
	"leader_elected": true, "leader_stepped_down": true, "voters_changed": true, "config_accepted": true,
	"peer_connected": true, "peer_disconnected": true, "records_dropped": true, "log_lines_dropped": true,
}

// Request returns the lines about a request and those about changes of
// state meanwhile, in order of time.
func Request(id string, lines []Line, w Window) ([]Line, error) {
	var own []Line
	hosts, services := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.Pairs["request"] == id {
			own = append(own, l)
			hosts[l.Host], services[l.Pairs["service"]] = true, true
		}
	}
	if len(own) == 0 {
		return nil, trace.NotFound("no line is about request %q: it was answered in time and is not in the sample, "+
			"or its line was left out (suppressed_before, log_lines_dropped)", id)
	}
	byTime := func(a, b Line) int { return cmp.Compare(a.At, b.At) }
	from := slices.MinFunc(own, byTime).At - w.Before
	to := slices.MaxFunc(own, byTime).At + w.After
	for _, l := range lines {
		if stateChanges[l.Event] && l.At >= from && l.At <= to && concerns(l, hosts, services) {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, byTime)
	return own, nil
}

// concerns reports whether a change of state has to do with the request: one of a host that
// served it, or of control, about the request's service or about none. In lines
// about a peer the role is the peer's.
func concerns(l Line, hosts, services map[string]bool) bool {
	if service := l.Pairs["service"]; service != "" && !services[service] {
		return false
	}
	return hosts[l.Host] || l.Pairs["role"] == "control" && l.Pairs["peer"] == ""
}
