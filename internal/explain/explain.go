package explain

import (
	"cmp"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Window is the time before the first and after the last line of a request in which
// state changes are included.
type Window struct {
	Before time.Duration
	After  time.Duration
}

// DefaultWindow is long enough to cover a change of primary that began before the
// request and the end of the request.
func DefaultWindow() Window { return Window{Before: 5 * time.Second, After: time.Second} }

// stateChanges are the events that affect the later decisions of a process.
var stateChanges = map[string]bool{
	"leader_found": true, "primary_suspected": true, "view_applied": true, "lease_lost": true, "lease_gained": true,
	"term_begun": true, "term_serving": true, "promotion_waits": true, "promotion_called": true, "member_changed": true,
	"target_lost": true, "target_found": true, "control_log_waits": true, "control_log_written": true,
	"drain": true, "starting": true, "stopping": true, "drained": true, "sessions_cut_off": true, "reloaded": true, "key_revoked": true,
	"leader_elected": true, "leader_stepped_down": true, "voters_changed": true, "config_accepted": true,
	"peer_connected": true, "peer_disconnected": true, "records_dropped": true, "log_lines_dropped": true,
}

// RelatedLines returns the lines about a request and the related state changes within
// the window, in chronological order.
func RelatedLines(id string, lines []Line, w Window) ([]Line, error) {
	var found []Line
	hosts, services := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.Pairs["request"] == id {
			found = append(found, l)
			hosts[l.Host], services[l.Pairs["service"]] = true, true
		}
	}
	if len(found) == 0 {
		return nil, trace.NotFound("no log line has request id %q: the request was answered in time and not sampled, "+
			"or its line was suppressed or dropped (see suppressed_before, log_lines_dropped)", id)
	}
	byTime := func(a, b Line) int { return cmp.Compare(a.At, b.At) }
	from := slices.MinFunc(found, byTime).At - w.Before
	to := slices.MaxFunc(found, byTime).At + w.After
	for _, l := range lines {
		if stateChanges[l.Event] && l.At >= from && l.At <= to && related(l, hosts, services) {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, byTime)
	return found, nil
}

// related reports whether a state change may have affected the request: it comes
// from a host that served the request or from control, and names the request's
// service or none. In lines about a peer the role is that of the peer, so they do
// not count as lines from control.
func related(l Line, hosts, services map[string]bool) bool {
	if service := l.Pairs["service"]; service != "" && !services[service] {
		return false
	}
	return hosts[l.Host] || l.Pairs["role"] == "control" && l.Pairs["peer"] == ""
}
