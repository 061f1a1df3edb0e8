package telemetry

import (
	"context"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// newExporter returns an exporter to an OTLP endpoint over HTTP. It connects when the
// first spans are exported.
func newExporter(endpoint string) (sdktrace.SpanExporter, error) {
	exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(endpoint))
	return exporter, trace.Wrap(err)
}

// spanEmitter emits the spans of finished requests and of calls to peers.
type spanEmitter struct {
	provider *sdktrace.TracerProvider
	tracer   oteltrace.Tracer
	origin   time.Time // wall clock time of the zero instant
}

func newSpanEmitter(o Options, exporter sdktrace.SpanExporter) *spanEmitter {
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.TraceSample))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "camphorpaddle-"+o.Role),
			attribute.String("service.instance.id", string(o.Host)),
			attribute.String("host.name", o.Name),
			attribute.String("cloud.availability_zone", string(o.AvailabilityZone)),
			attribute.String("cloud.region", o.Region),
		)),
	)
	return &spanEmitter{
		provider: provider,
		tracer:   provider.Tracer("github.com/camphorpaddle/camphorpaddle"),
		origin:   time.Now().Add(-time.Duration(o.Clock())),
	}
}

// wallTime converts an instant to wall clock time.
func (s *spanEmitter) wallTime(t types.Instant) time.Time { return s.origin.Add(time.Duration(t)) }

// emitRequest emits the span of a request, as a child of the caller's span if there is
// one, with a child span for each stage that was completed.
func (s *spanEmitter) emitRequest(o *effect.Observation) {
	ctx := callerContext(o.Trace)
	ctx, root := s.tracer.Start(ctx, "caller to proxy",
		oteltrace.WithSpanKind(oteltrace.SpanKindServer),
		oteltrace.WithTimestamp(s.wallTime(o.ArrivedAt)),
		oteltrace.WithAttributes(
			attribute.String("paddle.service", string(o.Service)),
			attribute.String("paddle.profile", string(o.Profile)),
			attribute.String("paddle.class", className(o.Class)),
			attribute.Int("paddle.retries", o.Retries),
		))
	if o.Refusal != 0 {
		root.SetStatus(codes.Error, refusalName(o.Refusal))
	}
	s.hop(ctx, "wait for position", oteltrace.SpanKindInternal, o.ArrivedAt, o.FloorKnownAt)
	s.hop(ctx, "choice of target", oteltrace.SpanKindInternal, o.FloorKnownAt, o.AssignedAt)
	s.hop(ctx, "target", oteltrace.SpanKindClient, o.AssignedAt, o.AnsweredAt,
		attribute.String("paddle.target", string(o.Target)),
		attribute.String("paddle.served_by", servedBy(o)))
	s.hop(ctx, "confirm", oteltrace.SpanKindInternal, o.AnsweredAt, o.DoneAt)
	root.End(oteltrace.WithTimestamp(s.wallTime(o.DoneAt)))
}

// hop emits the span of one stage, if the stage was completed.
func (s *spanEmitter) hop(
	ctx context.Context, name string, kind oteltrace.SpanKind,
	from, to types.Instant, attrs ...attribute.KeyValue,
) {
	if from == 0 || to < from {
		return
	}
	_, span := s.tracer.Start(ctx, name,
		oteltrace.WithSpanKind(kind),
		oteltrace.WithTimestamp(s.wallTime(from)),
		oteltrace.WithAttributes(attrs...))
	span.End(oteltrace.WithTimestamp(s.wallTime(to)))
}

// callerContext returns a context with the caller's span as remote parent, if the
// caller sent a trace context.
func callerContext(t types.TraceContext) context.Context {
	ctx := context.Background()
	if t.TraceID == ([16]byte{}) || t.SpanID == ([8]byte{}) {
		return ctx
	}
	var flags oteltrace.TraceFlags
	return oteltrace.ContextWithRemoteSpanContext(ctx, oteltrace.NewSpanContext(oteltrace.SpanContextConfig{
		TraceID: t.TraceID, SpanID: t.SpanID,
		TraceFlags: flags.WithSampled(t.Sampled), Remote: true,
	}))
}

// peerCall is a completed request to another process of the system.
type peerCall struct {
	peer       types.HostID
	begin, end types.Instant
	version    uint64
}

// emitPeerCall emits the span of a completed request to a control host.
func (s *spanEmitter) emitPeerCall(c *peerCall) {
	s.hop(context.Background(), "peer", oteltrace.SpanKindClient, c.begin, c.end,
		attribute.String("paddle.peer", string(c.peer)),
		attribute.Int64("paddle.version", int64(c.version)))
}

// LeaseAnswered records that a control host answered a lease request; now is an
// instant of Options.Clock.
func (r *Recorder) LeaseAnswered(from types.HostID, g proto.LeaseGrant, now types.Instant) {
	call := &peerCall{peer: from, begin: g.SentAt, end: now}
	if g.View != nil {
		call.version = g.View.Version
	}
	r.enqueue(record{peerCall: call})
}
