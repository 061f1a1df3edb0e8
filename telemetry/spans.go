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

// newExporter returns an exporter to an OTLP endpoint over HTTP. It connects
// when it has something to send.
func newExporter(endpoint string) (sdktrace.SpanExporter, error) {
	exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(endpoint))
	return exporter, trace.Wrap(err)
}

// spanMaker makes the spans of finished requests.
type spanMaker struct {
	provider *sdktrace.TracerProvider
	tracer   oteltrace.Tracer
	origin   time.Time // wall clock at the zero instant
}

func newSpanMaker(o Options, exporter sdktrace.SpanExporter) *spanMaker {
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
	return &spanMaker{
		provider: provider,
		tracer:   provider.Tracer("github.com/camphorpaddle/camphorpaddle"),
		origin:   time.Now().Add(-time.Duration(o.Clock())),
	}
}

// wall returns the wall clock time of an instant.
func (s *spanMaker) wall(t types.Instant) time.Time { return s.origin.Add(time.Duration(t)) }

// observation makes the span of a request, as a child of the caller's own span
// if there is one, and below it a span for each hop.
func (s *spanMaker) observation(o *effect.Observation) {
	ctx := callerContext(o.Trace)
	ctx, root := s.tracer.Start(ctx, "caller to proxy",
		oteltrace.WithSpanKind(oteltrace.SpanKindServer),
		oteltrace.WithTimestamp(s.wall(o.ArrivedAt)),
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
	root.End(oteltrace.WithTimestamp(s.wall(o.DoneAt)))
}

// hop makes the span of one hop, if the request got past it.
func (s *spanMaker) hop(
	ctx context.Context, name string, kind oteltrace.SpanKind,
	from, to types.Instant, attrs ...attribute.KeyValue,
) {
	if from == 0 || to < from {
		return
	}
	_, span := s.tracer.Start(ctx, name,
		oteltrace.WithSpanKind(kind),
		oteltrace.WithTimestamp(s.wall(from)),
		oteltrace.WithAttributes(attrs...))
	span.End(oteltrace.WithTimestamp(s.wall(to)))
}

// callerContext returns a context with the caller's trace, if it gave one.
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

// peerCall is a request to another process of the system and its answer.
type peerCall struct {
	peer       types.HostID
	begin, end types.Instant
	version    uint64
}

// peerCall makes the span of an exchange with a control host.
func (s *spanMaker) peerCall(c *peerCall) {
	s.hop(context.Background(), "peer", oteltrace.SpanKindClient, c.begin, c.end,
		attribute.String("paddle.peer", string(c.peer)),
		attribute.Int64("paddle.version", int64(c.version)))
}

// LeaseAnswered records that a control host answered a lease request; now is
// an instant of the clock in Options.
func (r *Recorder) LeaseAnswered(from types.HostID, g proto.LeaseGrant, now types.Instant) {
	call := &peerCall{peer: from, begin: g.SentAt, end: now}
	if g.View != nil {
		call.version = g.View.Version
	}
	r.put(record{peerCall: call})
}
