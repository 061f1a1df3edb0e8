package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	oteltrace "go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"
)

func testOptions() Options {
	return Options{
		Role: "proxy", Name: "proxy-1", Host: "proxy-1.5f39c98b9b2a", AvailabilityZone: "az-1", Region: "north",
		Clock:       func() types.Instant { return types.Instant(time.Second) },
		TraceSample: 1,
	}
}

// finishedRequest returns an observation whose stages last 1, 2, 3 and 4 ms.
func finishedRequest() effect.Observation {
	at := types.Instant(time.Second)
	return effect.Observation{
		Service: "ledger", Profile: "session", Target: "member-2", Class: types.ClassRead, Replica: true,
		ArrivedAt: at, FloorKnownAt: at.Add(time.Millisecond), AssignedAt: at.Add(3 * time.Millisecond),
		AnsweredAt: at.Add(6 * time.Millisecond), DoneAt: at.Add(10 * time.Millisecond),
		Trace: types.TraceContext{TraceID: [16]byte{1}, SpanID: [8]byte{2}, Sampled: true},
	}
}

func TestDecisionLogPairs(t *testing.T) {
	l := newDecisionLog(testOptions(), time.Now)
	tests := []struct {
		decision effect.Decide
		want     string
	}{
		{
			effect.Decide{Kind: effect.DecideTermServing, Service: "ledger", Target: "member-2", Term: 3, Reason: "furthest"},
			"[role proxy host proxy-1.5f39c98b9b2a availability_zone az-1 service ledger target member-2 term 3 reason furthest]",
		},
		{
			effect.Decide{Kind: effect.DecideConfig, Version: 7, Host: "control-1", Reason: "two\n  lines"},
			"[role proxy host proxy-1.5f39c98b9b2a availability_zone az-1 about_host control-1 version 7 reason two lines]",
		},
	}
	for _, tt := range tests {
		assert.Equal(t, fmt.Sprint(l.pairs(&tt.decision)), tt.want)
	}
}

func TestPerRequestLogLinesAreRateLimited(t *testing.T) {
	now := time.Unix(100, 0)
	l := newDecisionLog(testOptions(), func() time.Time { return now })
	for range requestLinesPerSecond + 5 {
		l.logDecision(&effect.Decide{Kind: effect.DecideRefuse, Reason: "overloaded"})
	}
	assert.Equal(t, l.suppressed, 5)
	now = now.Add(time.Second)
	line := fmt.Sprint(l.pairs(&effect.Decide{Kind: effect.DecideRefuse}))
	assert.Assert(t, strings.Contains(line, "suppressed_before 5"), line)
	assert.Equal(t, l.suppressed, 0)
}

func TestSpansOfARequest(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	s := newSpanEmitter(testOptions(), exporter)
	o := finishedRequest()
	s.emitRequest(&o)
	assert.NilError(t, s.provider.ForceFlush(context.Background()))
	durations := make(map[string]time.Duration)
	for _, span := range exporter.GetSpans() {
		durations[span.Name] = span.EndTime.Sub(span.StartTime)
		assert.Equal(t, span.SpanContext.TraceID(), oteltrace.TraceID{1}, span.Name)
		if span.Name == "caller to proxy" {
			assert.Equal(t, span.Parent.SpanID(), oteltrace.SpanID{2})
		}
	}
	assert.DeepEqual(t, durations, map[string]time.Duration{
		"caller to proxy":   10 * time.Millisecond,
		"wait for position": time.Millisecond,
		"choice of target":  2 * time.Millisecond,
		"target":            3 * time.Millisecond,
		"confirm":           4 * time.Millisecond,
	})
}

func TestSampling(t *testing.T) {
	tests := []struct {
		name   string
		trace  types.TraceContext
		sample float64
		want   int
	}{
		{"sampled by the caller", finishedRequest().Trace, 0, 5},
		{"not sampled by the caller", types.TraceContext{TraceID: [16]byte{1}, SpanID: [8]byte{2}}, 1, 0},
		{"no caller trace, all sampled", types.TraceContext{}, 1, 5},
		{"no caller trace, none sampled", types.TraceContext{}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			exporter := tracetest.NewInMemoryExporter()
			opts := testOptions()
			opts.TraceSample = tt.sample
			s := newSpanEmitter(opts, exporter)
			o := finishedRequest()
			o.Trace = tt.trace
			s.emitRequest(&o)
			assert.NilError(t, s.provider.ForceFlush(context.Background()))
			assert.Equal(t, len(exporter.GetSpans()), tt.want)
		})
	}
}

func TestRefusedRequestHasNoSpansOfLaterStages(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	s := newSpanEmitter(testOptions(), exporter)
	o := finishedRequest()
	o.Refusal, o.AssignedAt, o.AnsweredAt = types.RefuseOverloaded, 0, 0
	s.emitRequest(&o)
	assert.NilError(t, s.provider.ForceFlush(context.Background()))
	spans := exporter.GetSpans()
	assert.Equal(t, len(spans), 2)
	assert.Equal(t, spans[1].Status.Description, "overloaded")
}

func TestPeerSpan(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	s := newSpanEmitter(testOptions(), exporter)
	s.emitPeerCall(&peerCall{peer: "control-1", begin: types.Instant(time.Second), end: types.Instant(3 * time.Second)})
	assert.NilError(t, s.provider.ForceFlush(context.Background()))
	spans := exporter.GetSpans()
	assert.Equal(t, len(spans), 1)
	assert.Equal(t, spans[0].Name, "peer")
	assert.Equal(t, spans[0].EndTime.Sub(spans[0].StartTime), 2*time.Second)
}

func TestMetrics(t *testing.T) {
	r := startRecorder(t)
	r.Observation(finishedRequest())
	refused := finishedRequest()
	refused.Refusal = types.RefuseOverloaded
	r.Observation(refused)
	r.Decision(effect.Decide{Kind: effect.DecideConfig, Version: 7})
	r.Decision(effect.Decide{Kind: effect.DecideRequeue, Service: "ledger", Basis: &effect.Basis{Cause: effect.CauseBehind}})
	first, second := types.TargetRef{Service: "ledger", Name: "a"}, types.TargetRef{Service: "ledger", Name: "b"}
	r.ShardReport(event.ShardReport{Shard: 1, Sessions: 5, Connections: map[types.TargetRef]int{first: 2}})
	r.ShardReport(event.ShardReport{Shard: 1, Sessions: 4, ConnCounts: map[types.TargetRef]types.ConnCounts{second: {Opened: 4}}})
	r.ShardReport(event.ShardReport{
		Shard: 1, Sessions: 4, Connections: map[types.TargetRef]int{second: 3},
		ConnCounts: map[types.TargetRef]types.ConnCounts{second: {Opened: 6, Rejected: 2, Replaced: 1}},
	})
	stopRecorder(t, r)
	text := scrape(r)
	for _, want := range []string{
		`camphorpaddle_requests_total{availability_zone="az-1",class="read",host="proxy-1",profile="session",region="north",role="proxy",served_by="replica",service="ledger"} 1`,
		`served_by="none",service="ledger"} 1`,
		`camphorpaddle_refusals_total{availability_zone="az-1",class="read",code="overloaded"`,
		`camphorpaddle_config_version{availability_zone="az-1",host="proxy-1",region="north",role="proxy"} 7`,
		`camphorpaddle_request_seconds_count{`,
		`camphorpaddle_tries_again_total{availability_zone="az-1",cause="behind",host="proxy-1",region="north",role="proxy",service="ledger"} 1`,
		`camphorpaddle_position_age_seconds_count{`,
		`camphorpaddle_sessions{availability_zone="az-1",host="proxy-1",region="north",role="proxy",shard="1"} 4`,
		`role="proxy",service="ledger",shard="1",target="a"} 0`,
		`role="proxy",service="ledger",shard="1",target="b"} 3`,
		`camphorpaddle_target_connections_opened_total{availability_zone="az-1",host="proxy-1",region="north",role="proxy",service="ledger",shard="1",target="b"} 6`,
		`camphorpaddle_target_connections_rejected_total{availability_zone="az-1",host="proxy-1",region="north",role="proxy",service="ledger",shard="1",target="b"} 2`,
		`camphorpaddle_target_connections_replaced_total{availability_zone="az-1",host="proxy-1",region="north",role="proxy",service="ledger",shard="1",target="b"} 1`,
	} {
		assert.Assert(t, strings.Contains(text, want), "%s not in\n%s", want, text)
	}
}

// TestRecordingNeverBlocks guards against a recorder that blocks the calling goroutine
// while the queue is full. Nothing reads the queue here.
func TestRecordingNeverBlocks(t *testing.T) {
	r := &Recorder{queue: make(chan record, 2)}
	for range 5 {
		r.Decision(effect.Decide{})
	}
	assert.Equal(t, r.dropped.Load(), int64(3))
}

func startRecorder(t *testing.T) *Recorder {
	t.Helper()
	r, err := New(testOptions())
	assert.NilError(t, err)
	return r
}

func stopRecorder(t *testing.T, r *Recorder) {
	t.Helper()
	assert.NilError(t, r.Close(context.Background()))
}

func scrape(r *Recorder) string {
	w := httptest.NewRecorder()
	r.Metrics().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func TestTraceExport(t *testing.T) {
	paths := make(chan string, 1)
	receiver := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		paths <- r.Method + " " + r.URL.Path
	}))
	defer receiver.Close()
	opts := testOptions()
	opts.TraceEndpoint = receiver.URL + "/v1/traces"
	r, err := New(opts)
	assert.NilError(t, err)
	r.Observation(finishedRequest())
	r.LeaseAnswered("control-1", proto.LeaseGrant{SentAt: 1}, 2)
	stopRecorder(t, r)
	assert.Equal(t, <-paths, "POST /v1/traces")
}

func TestTracesAreOffByDefault(t *testing.T) {
	r := startRecorder(t)
	assert.Assert(t, r.spans == nil)
	stopRecorder(t, r)
}
