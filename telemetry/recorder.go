// Package telemetry reports what the system does: log lines of decisions, metrics for
// Prometheus, and trace spans for the stages of sampled requests.
package telemetry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/runtime"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// recordQueueCapacity bounds the records that wait to be written.
const recordQueueCapacity = 8192

// Options configures a Recorder.
type Options struct {
	Role             string
	Name             string       // configured name of the host, in metrics
	Host             types.HostID // identity of the process, in logs and spans
	AvailabilityZone types.AvailabilityZone
	Region           string
	Clock            runtime.Clock // clock of the instants in observations
	TraceEndpoint    string        // OTLP over HTTP; empty turns spans off
	TraceSample      float64       // sampled fraction of the requests that carry no trace context
}

// record is an entry of the queue; exactly one field is set.
type record struct {
	decision    *effect.Decide
	observation *effect.Observation
	peerCall    *peerCall
	proxyState  *ProxyState
	shard       *event.ShardReport
}

var _ runtime.ShardRecorder = (*Recorder)(nil)

// Recorder implements runtime.ShardRecorder. Its methods pass records to one goroutine
// and never block: while the queue is full, they drop records and count them.
type Recorder struct {
	queue     chan record
	dropped   atomic.Int64
	log       *decisionLog
	metrics   *metrics
	spans     *spanEmitter // nil when traces are off
	stop      chan struct{}
	closeOnce sync.Once
	wg        sync.WaitGroup
}

// New returns a recorder and starts the goroutine that writes its records. It
// must be closed.
func New(o Options) (*Recorder, error) {
	r := &Recorder{
		queue:   make(chan record, recordQueueCapacity),
		log:     newDecisionLog(o, time.Now),
		metrics: newMetrics(o),
		stop:    make(chan struct{}),
	}
	if o.TraceEndpoint != "" {
		exporter, err := newExporter(o.TraceEndpoint)
		if err != nil {
			return nil, trace.Wrap(err, "setting up the trace exporter for %s", o.TraceEndpoint)
		}
		r.spans = newSpanEmitter(o, exporter)
	}
	r.wg.Add(1)
	go r.run()
	return r, nil
}

// Decision records a decision.
func (r *Recorder) Decision(d effect.Decide) { r.enqueue(record{decision: &d}) }

// Observation records the target and the stages of a finished request.
func (r *Recorder) Observation(o effect.Observation) { r.enqueue(record{observation: &o}) }

// ProxyState is the lease, view and configuration that a proxy currently uses.
type ProxyState struct {
	LeaseLive     bool
	ViewVersion   uint64
	ConfigVersion uint64
	Draining      bool
}

// ProxyState records the current state of a proxy.
func (r *Recorder) ProxyState(s ProxyState) { r.enqueue(record{proxyState: &s}) }

// ShardReport records the sessions and connections of a shard.
func (r *Recorder) ShardReport(s event.ShardReport) { r.enqueue(record{shard: &s}) }

func (r *Recorder) enqueue(rec record) {
	select {
	case r.queue <- rec:
	default:
		r.dropped.Add(1)
	}
}

// Metrics returns the HTTP handler that Prometheus scrapes.
func (r *Recorder) Metrics() http.Handler { return r.metrics.handler }

// Close writes the queued records and shuts down the export of traces. Later records
// are dropped.
func (r *Recorder) Close(ctx context.Context) error {
	r.closeOnce.Do(func() { close(r.stop) })
	r.wg.Wait()
	err := r.metrics.closer.Close()
	if r.spans != nil {
		err = trace.NewAggregate(err, r.spans.provider.Shutdown(ctx))
	}
	return trace.Wrap(err)
}

func (r *Recorder) run() {
	defer r.wg.Done()
	for {
		select {
		case rec := <-r.queue:
			r.write(rec)
		case <-r.stop:
			r.drainQueue()
			return
		}
	}
}

// drainQueue writes the records that are already queued.
func (r *Recorder) drainQueue() {
	for range len(r.queue) {
		r.write(<-r.queue)
	}
}

func (r *Recorder) write(rec record) {
	if n := r.dropped.Swap(0); n > 0 {
		r.metrics.dropped.Inc(n)
		klog.InfoS("records_dropped", "host", r.log.host, "count", n, "reason", "the record queue was full")
	}
	switch {
	case rec.decision != nil:
		r.log.logDecision(rec.decision)
		r.metrics.countDecision(rec.decision)
	case rec.observation != nil:
		r.log.logServed(rec.observation)
		r.metrics.recordRequest(rec.observation)
		if r.spans != nil {
			r.spans.emitRequest(rec.observation)
		}
	case rec.proxyState != nil:
		r.metrics.setProxyState(rec.proxyState)
	case rec.shard != nil:
		r.metrics.setShard(rec.shard)
	case rec.peerCall != nil:
		r.metrics.recordPeerCall(rec.peerCall)
		if r.spans != nil {
			r.spans.emitPeerCall(rec.peerCall)
		}
	}
}
