package telemetry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"k8s.io/klog/v2"
)

// reportInterval is how often the metrics that a scraper reads are renewed.
const reportInterval = time.Second

// metricPrefix begins the name of each metric.
const metricPrefix = "camphorpaddle"

// latencyBuckets bounds the buckets of all durations.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// metrics counts decisions and requests.
type metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	dropped tally.Counter
	open    map[int]map[types.TargetRef]int // last report of each shard
}

func newMetrics(o Options) *metrics {
	registry := prom.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		OnRegisterError: func(err error) {
			klog.ErrorS(nil, "metric_not_registered", "host", o.Host, "reason", Reason(err))
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: metricPrefix,
		Tags: map[string]string{
			"role": o.Role, "host": o.Name,
			"availability_zone": string(o.AvailabilityZone), "region": o.Region,
		},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &metrics{
		scope: scope, closer: closer,
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		dropped: scope.Counter("records_dropped_total"),
		open:    make(map[int]map[types.TargetRef]int),
	}
}

// sanitizer returns the rules for names and tags. Values of tags keep the
// characters that names of hosts and services may have.
func sanitizer() *tally.SanitizeOptions {
	out := prometheus.DefaultSanitizerOpts
	out.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.'},
	}
	return &out
}

func (m *metrics) decision(d *effect.Decide) {
	m.scope.Tagged(map[string]string{
		"kind": string(d.Kind), "service": string(d.Service),
	}).Counter("decisions_total").Inc(1)
	if d.Basis != nil && d.Basis.Cause != "" {
		m.scope.Tagged(map[string]string{
			"service": string(d.Service), "cause": string(d.Basis.Cause),
		}).Counter("tries_again_total").Inc(1)
	}
	switch d.Kind {
	case effect.DecideLeaseLost:
		m.scope.Gauge("lease_live").Update(0)
	case effect.DecideConfig:
		m.scope.Gauge("config_version").Update(float64(d.Version))
	case effect.DecideTermServing:
		m.scope.Tagged(map[string]string{"service": string(d.Service)}).
			Gauge("group_term").Update(float64(d.Term))
	}
}

func (m *metrics) proxyState(s *ProxyState) {
	m.scope.Gauge("lease_live").Update(oneIf(s.LeaseLive))
	m.scope.Gauge("view_version").Update(float64(s.ViewVersion))
	m.scope.Gauge("config_version").Update(float64(s.ConfigVersion))
	m.scope.Gauge("draining").Update(oneIf(s.Draining))
}

// shard sets the gauges of one shard. A target that the report leaves out has
// no connection of the shard any more.
func (m *metrics) shard(r *event.ShardReport) {
	scope := m.scope.Tagged(map[string]string{"shard": strconv.Itoa(r.Shard)})
	scope.Gauge("sessions").Update(float64(r.Sessions))
	scope.Gauge("sessions_busy").Update(float64(r.BusySessions))
	for ref := range m.open[r.Shard] {
		if _, still := r.Connections[ref]; !still {
			connections(scope, ref).Update(0)
		}
	}
	for ref, n := range r.Connections {
		connections(scope, ref).Update(float64(n))
	}
	m.open[r.Shard] = r.Connections
}

// connections returns the gauge of connections to a target.
func connections(scope tally.Scope, ref types.TargetRef) tally.Gauge {
	return scope.Tagged(map[string]string{
		"service": string(ref.Service), "target": string(ref.Name),
	}).Gauge("target_connections")
}

// oneIf returns 1 for true and 0 for false.
func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m *metrics) observation(o *effect.Observation) {
	scope := m.scope.Tagged(map[string]string{
		"service": string(o.Service), "profile": string(o.Profile), "class": className(o.Class),
	})
	scope.Tagged(map[string]string{"served_by": servedBy(o)}).Counter("requests_total").Inc(1)
	if o.Refusal != 0 {
		scope.Tagged(map[string]string{"code": refusalName(o.Refusal)}).Counter("refusals_total").Inc(1)
	}
	if o.Retries > 0 {
		scope.Counter("retries_total").Inc(int64(o.Retries))
	}
	m.duration(scope, "request_seconds", o.ArrivedAt, o.DoneAt)
	m.duration(scope, "position_wait_seconds", o.ArrivedAt, o.FloorKnownAt)
	m.duration(scope, "connection_wait_seconds", o.FloorKnownAt, o.AssignedAt)
	m.duration(scope, "target_seconds", o.AssignedAt, o.AnsweredAt)
	m.duration(scope, "confirm_seconds", o.AnsweredAt, o.DoneAt)
	if o.PositionAge >= 0 {
		m.scope.Tagged(map[string]string{"service": string(o.Service)}).
			Histogram("position_age_seconds", latencyBuckets).RecordDuration(o.PositionAge)
	}
}

// duration records the time from one instant to the next, if both were reached.
func (m *metrics) duration(s tally.Scope, name string, from, to types.Instant) {
	if from != 0 && to >= from {
		s.Histogram(name, latencyBuckets).RecordDuration(to.Sub(from))
	}
}

func (m *metrics) peerCall(c *peerCall) {
	m.scope.Tagged(map[string]string{"peer": string(c.peer)}).
		Histogram("lease_answer_seconds", latencyBuckets).RecordDuration(c.end.Sub(c.begin))
}

// servedBy says what kind of target answered a request.
func servedBy(o *effect.Observation) string {
	switch {
	case o.Refusal != 0:
		return "none"
	case o.Replica:
		return "replica"
	}
	return "primary"
}

func className(c types.Class) string {
	if c == types.ClassRead {
		return "read"
	}
	return "write"
}

var refusalNames = map[types.RefusalCode]string{
	types.RefuseNoLease:         "no_lease",
	types.RefuseNoPrimary:       "no_primary",
	types.RefuseUnknownService:  "unknown_service",
	types.RefuseUnknownProfile:  "unknown_profile",
	types.RefuseOverloaded:      "overloaded",
	types.RefuseTimeout:         "timeout",
	types.RefuseConnLost:        "connection_lost",
	types.RefuseReplaced:        "primary_replaced",
	types.RefuseNotDurable:      "not_durable",
	types.RefuseLostWrite:       "lost_write",
	types.RefuseDraining:        "draining",
	types.RefuseTooLarge:        "too_large",
	types.RefuseTransactionLost: "transaction_lost",

	types.RefuseUnknownDatabase: "unknown_database",
}

func refusalName(c types.RefusalCode) string {
	if name, ok := refusalNames[c]; ok {
		return name
	}
	return "code_" + strconv.Itoa(int(c))
}
