package telemetry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/internal/contain"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"k8s.io/klog/v2"
)

// reportInterval is the interval at which metrics are updated for scrapers.
const reportInterval = time.Second

// metricPrefix is the prefix of all metric names.
const metricPrefix = "camphorpaddle"

// latencyBuckets are the bucket bounds of all duration histograms, from 0.5 ms to
// 16.4 s, each twice the previous one.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// metrics updates the process's metrics from records.
type metrics struct {
	scope       tally.Scope
	closer      io.Closer
	handler     http.Handler
	dropped     tally.Counter
	lastReports map[int]event.ShardReport // of each shard

	organisations *organisationLabels
}

func newMetrics(o Options) *metrics {
	registry := prom.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prom.NewCounterFunc(prom.CounterOpts{
			Name: metricPrefix + "_panics_contained_total", Help: "Panics that ended one connection or call only.",
		}, func() float64 { return float64(contain.Panics()) }),
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
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &metrics{
		scope: scope, closer: closer,
		handler:     promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		dropped:     scope.Counter("records_dropped_total"),
		lastReports: make(map[int]event.ShardReport),

		organisations: newOrganisationLabels(),
	}
}

// sanitizeOptions returns the rules for metric names and tags. Tag values keep the
// characters that are allowed in names of hosts and services.
func sanitizeOptions() *tally.SanitizeOptions {
	out := prometheus.DefaultSanitizerOpts
	out.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.'},
	}
	return &out
}

func (m *metrics) countDecision(d *effect.Decide) {
	m.scope.Tagged(map[string]string{
		"kind": string(d.Kind), "service": string(d.Service),
	}).Counter("decisions_total").Inc(1)
	if d.Basis != nil && d.Basis.Cause != "" {
		name := "tries_again_total"
		if d.Kind == effect.DecideRefuse {
			name = "refusal_causes_total"
		}
		m.scope.Tagged(map[string]string{
			"service": string(d.Service), "cause": string(d.Basis.Cause),
		}).Counter(name).Inc(1)
	}
	if d.Refusal != 0 {
		m.scope.Tagged(map[string]string{"code": refusalName(d.Refusal)}).Counter("sessions_refused_total").Inc(1)
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

func (m *metrics) setProxyState(s *ProxyState) {
	m.scope.Gauge("lease_live").Update(boolToFloat(s.LeaseLive))
	m.scope.Gauge("view_version").Update(float64(s.ViewVersion))
	m.scope.Gauge("config_version").Update(float64(s.ConfigVersion))
	m.scope.Gauge("draining").Update(boolToFloat(s.Draining))
}

// setShard sets the gauges of one shard. The shard does not use a target that its report
// omits.
func (m *metrics) setShard(r *event.ShardReport) {
	scope := m.scope.Tagged(map[string]string{"shard": strconv.Itoa(r.Shard)})
	scope.Gauge("sessions").Update(float64(r.Sessions))
	scope.Gauge("sessions_busy").Update(float64(r.BusySessions))
	last := m.lastReports[r.Shard]
	refs := make(map[types.TargetRef]bool)
	for _, report := range []*event.ShardReport{&last, r} {
		addKeys(refs, report.Connections)
		addKeys(refs, report.Demand)
		addKeys(refs, report.Full)
		addKeys(refs, report.ConnCounts)
	}
	for ref := range refs {
		setTarget(scope, ref, r)
		countConns(scope, ref, last.ConnCounts[ref], r.ConnCounts[ref])
	}
	m.lastReports[r.Shard] = *r
}

// addKeys adds the keys of m to a set.
func addKeys[V any](set map[types.TargetRef]bool, m map[types.TargetRef]V) {
	for ref := range m {
		set[ref] = true
	}
}

// setTarget sets the gauges of a shard's use of a target.
func setTarget(scope tally.Scope, ref types.TargetRef, r *event.ShardReport) {
	scope = scope.Tagged(map[string]string{"service": string(ref.Service), "target": string(ref.Name)})
	scope.Gauge("target_connections").Update(float64(r.Connections[ref]))
	scope.Gauge("target_demand").Update(float64(r.Demand[ref]))
	scope.Gauge("target_full").Update(boolToFloat(r.Full[ref]))
}

// countConns adds to the counters of connections to a target what changed since the last
// report.
func countConns(scope tally.Scope, ref types.TargetRef, last, now types.ConnCounts) {
	scope = scope.Tagged(map[string]string{"service": string(ref.Service), "target": string(ref.Name)})
	scope.Counter("target_connections_opened_total").Inc(int64(now.Opened - last.Opened))
	scope.Counter("target_connections_rejected_total").Inc(int64(now.Rejected - last.Rejected))
	scope.Counter("target_connections_replaced_total").Inc(int64(now.Replaced - last.Replaced))
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m *metrics) recordRequest(o *effect.Observation) {
	m.recordOperation(o)
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
	m.recordDuration(scope, "request_seconds", o.ArrivedAt, o.DoneAt)
	m.recordDuration(scope, "position_wait_seconds", o.ArrivedAt, o.FloorKnownAt)
	m.recordDuration(scope, "connection_wait_seconds", o.FloorKnownAt, o.AssignedAt)
	m.recordDuration(scope, "target_seconds", o.AssignedAt, o.AnsweredAt)
	m.recordDuration(scope, "confirm_seconds", o.AnsweredAt, o.DoneAt)
	if o.PositionAge >= 0 {
		m.scope.Tagged(map[string]string{"service": string(o.Service)}).
			Histogram("position_age_seconds", latencyBuckets).RecordDuration(o.PositionAge)
	}
}

// recordDuration records the time between two instants, if both were reached.
func (m *metrics) recordDuration(s tally.Scope, name string, from, to types.Instant) {
	if from != 0 && to >= from {
		s.Histogram(name, latencyBuckets).RecordDuration(to.Sub(from))
	}
}

func (m *metrics) recordPeerCall(c *peerCall) {
	m.scope.Tagged(map[string]string{"peer": string(c.peer)}).
		Histogram("lease_answer_seconds", latencyBuckets).RecordDuration(c.end.Sub(c.begin))
}

// servedBy returns the role of the target that answered a request, or none.
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
	types.RefuseUnknownKey:      "unknown_key",
	types.RefuseOverQuota:       "over_quota",
}

func refusalName(c types.RefusalCode) string {
	if name, ok := refusalNames[c]; ok {
		return name
	}
	return "code_" + strconv.Itoa(int(c))
}
