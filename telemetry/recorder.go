// Package telemetry tells operators what the system does: a log line for each
// decision, metrics for a scraper, and spans for the hops of sampled requests.
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

// recordQueue is how many records may wait to be written.
const recordQueue = 8192

// Options configures a Recorder.
type Options struct {
	Role             string
	Name             string       // configured name of the host, in metrics
	Host             types.HostID // identity of the process, in logs and spans
	AvailabilityZone types.AvailabilityZone
	Region           string
	Clock            runtime.Clock // of the instants in observations
	TraceEndpoint    string        // OTLP over HTTP; empty turns spans off
	TraceSample      float64       // share of requests without a trace of their own
}

// record is one thing to write down; one field is set.
type record struct {
	decision    *effect.Decide
	observation *effect.Observation
	peerCall    *peerCall
	proxyState  *ProxyState
	shard       *event.ShardReport
}

var _ runtime.ShardRecorder = (*Recorder)(nil)

// Recorder implements runtime.ShardRecorder. Its methods hand over a record to one
// goroutine; they drop it, and count that, while the queue is full.
type Recorder struct {
	queue   chan record
	dropped atomic.Int64
	log     *decisionLog
	metrics *metrics
	spans   *spanMaker // nil when traces are off
	stop    chan struct{}
	closing sync.Once
	done    sync.WaitGroup
}

// New returns a recorder that works until Close.
func New(o Options) (*Recorder, error) {
	r := &Recorder{
		queue:   make(chan record, recordQueue),
		log:     newDecisionLog(o, time.Now),
		metrics: newMetrics(o),
		stop:    make(chan struct{}),
	}
	if o.TraceEndpoint != "" {
		exporter, err := newExporter(o.TraceEndpoint)
		if err != nil {
			return nil, trace.Wrap(err, "setting up the export of traces to %s", o.TraceEndpoint)
		}
		r.spans = newSpanMaker(o, exporter)
	}
	r.done.Add(1)
	go r.run()
	return r, nil
}

// Decision records a decision.
func (r *Recorder) Decision(d effect.Decide) { r.put(record{decision: &d}) }

// Observation records the path of a finished request.
func (r *Recorder) Observation(o effect.Observation) { r.put(record{observation: &o}) }

// ProxyState is what a proxy acts on.
type ProxyState struct {
	LeaseLive     bool
	ViewVersion   uint64
	ConfigVersion uint64
	Draining      bool
}

// ProxyState records what a proxy acts on.
func (r *Recorder) ProxyState(s ProxyState) { r.put(record{proxyState: &s}) }

// ShardReport records the sessions and connections of a shard.
func (r *Recorder) ShardReport(s event.ShardReport) { r.put(record{shard: &s}) }

func (r *Recorder) put(rec record) {
	select {
	case r.queue <- rec:
	default:
		r.dropped.Add(1)
	}
}

// Metrics returns the handler that a scraper reads.
func (r *Recorder) Metrics() http.Handler { return r.metrics.handler }

// Close writes what waits and ends the export of traces. Records that come
// later are dropped.
func (r *Recorder) Close(ctx context.Context) error {
	r.closing.Do(func() { close(r.stop) })
	r.done.Wait()
	err := r.metrics.closer.Close()
	if r.spans != nil {
		err = trace.NewAggregate(err, r.spans.provider.Shutdown(ctx))
	}
	return trace.Wrap(err)
}

func (r *Recorder) run() {
	defer r.done.Done()
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

// drainQueue writes the records that are in the queue already.
func (r *Recorder) drainQueue() {
	for range len(r.queue) {
		r.write(<-r.queue)
	}
}

func (r *Recorder) write(rec record) {
	if n := r.dropped.Swap(0); n > 0 {
		r.metrics.dropped.Inc(n)
		klog.InfoS("records_dropped", "host", r.log.host, "count", n, "reason", "the queue of records was full")
	}
	switch {
	case rec.decision != nil:
		r.log.decision(rec.decision)
		r.metrics.decision(rec.decision)
	case rec.observation != nil:
		r.log.served(rec.observation)
		r.metrics.observation(rec.observation)
		if r.spans != nil {
			r.spans.observation(rec.observation)
		}
	case rec.proxyState != nil:
		r.metrics.proxyState(rec.proxyState)
	case rec.shard != nil:
		r.metrics.shard(rec.shard)
	case rec.peerCall != nil:
		r.metrics.peerCall(rec.peerCall)
		if r.spans != nil {
			r.spans.peerCall(rec.peerCall)
		}
	}
}
