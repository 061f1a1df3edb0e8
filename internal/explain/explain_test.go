package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"
)

const sampleLog = `I1204 10:00:01.500000   11 log.go:37] "term_begun" role="control" host="c1.aa" service="ledger" term=2 reason="2 of 3 proxies can't reach the primary"
I1204 10:00:01.000000   10 log.go:37] "primary_suspected" role="proxy" host="p1.bb" service="ledger" target="t1" term=3 reason="it failed or refused a request"
I1204 10:00:02.000000   10 log.go:37] "request_refused" role="proxy" host="p1.bb" service="ledger" request="q7" view=4 waited_ms=900 reason="no connection \"free\" in time"
I1204 09:59:00.000000   10 log.go:37] "lease_lost" role="proxy" host="p1.bb" reason="long before"
I1204 10:00:01.800000   10 log.go:37] "lease_lost" role="proxy" host="p2.cc" reason="another proxy"
I1204 10:00:01.900000   10 log.go:37] "leader_found" role="proxy" host="p1.bb" service="other" target="t9"
I1204 10:00:01.850000   10 log.go:37] "leader_found" role="proxy" host="p2.cc" service="ledger" target="t1"
I1204 10:00:01.860000   10 log.go:37] "peer_disconnected" role="control" host="p2.cc" peer="c1.aa" reason="EOF"
I1204 10:00:01.950000   10 log.go:37] "target_lost" role="proxy" host="p1.bb" service="ledger" target="t1" reason="refused"
panic: not a log event
`

func TestRequestWithRelatedStateChanges(t *testing.T) {
	lines, err := Read(strings.NewReader(sampleLog))
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 9)
	got, err := RelatedLines("q7", lines, DefaultWindow())
	assert.NilError(t, err)
	var events []string
	for _, l := range got {
		events = append(events, l.Event)
	}
	assert.DeepEqual(t, events, []string{"primary_suspected", "term_begun", "target_lost", "request_refused"})
	assert.Equal(t, got[3].Text(), `service=ledger view=4 waited_ms=900 reason=no connection "free" in time`)
	assert.Equal(t, got[3].At-got[1].At, 500*time.Millisecond)
}

func TestUnknownRequest(t *testing.T) {
	_, err := RelatedLines("q8", nil, DefaultWindow())
	assert.Assert(t, trace.IsNotFound(err), "%v", err)
}

func TestLinesWithTimeAndHostPrefix(t *testing.T) {
	lines, err := Read(strings.NewReader(`  -3.1807 proxy-1 I0409 23:41:39.180652   23695 log.go:37] "starting" role="proxy" host="p1.bb"`))
	assert.NilError(t, err)
	assert.Equal(t, lines[0].Host, "proxy-1")
	assert.Equal(t, lines[0].At, -3180700*time.Microsecond)
}
