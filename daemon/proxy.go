package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/node"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/session"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/internal/identity"
	"github.com/camphorpaddle/camphorpaddle/runtime"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/camphorpaddle/camphorpaddle/telemetry"
	"github.com/camphorpaddle/camphorpaddle/wire"
	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"k8s.io/klog/v2"
)

// answerMargin is how long before the drain limit the requests that are left are
// refused, so that their callers get the refusals before their connections are closed.
const answerMargin = 200 * time.Millisecond

// Proxy is a proxy process.
type Proxy struct {
	edge      Edge
	settings  *settings.Daemon
	host      types.HostID // identity of this run of the process
	version   string
	keys      keys
	tls       settings.TLSConfigs
	clock     runtime.Clock
	link      *wire.Link
	recorder  *telemetry.Recorder
	proxy     *runtime.Proxy
	front     CallerServer
	http      net.Listener
	callers   net.Listener
	draining  atomic.Bool
	drainOnce sync.Once
	sighup    chan os.Signal
}

// NewProxy opens the ports of a proxy whose callers and targets use the PostgreSQL
// protocol.
func NewProxy(s *settings.Daemon, version string) (*Proxy, error) {
	return NewProxyWithEdge(PostgresEdge(), s, version)
}

// NewProxyWithEdge opens the ports of a proxy.
func NewProxyWithEdge(e Edge, s *settings.Daemon, version string) (*Proxy, error) {
	p := &Proxy{edge: e, settings: s, version: version, clock: runtime.NewClock(), sighup: notifySIGHUP()}
	if err := p.open(); err != nil {
		p.release()
		return nil, err
	}
	return p, nil
}

// open acquires the resources of the proxy. After an error, release closes those that
// were acquired.
func (p *Proxy) open() (err error) {
	s := p.settings
	if p.host, err = identity.New(s.Host); err != nil {
		return err
	}
	if p.keys, err = loadKeys(s.Security); err != nil {
		return err
	}
	if p.tls, err = s.Security.LoadTLS(); err != nil {
		return err
	}
	dialer, err := p.edge.NewDialer(s)
	if err != nil {
		return err
	}
	if p.recorder, err = newRecorder(s, p.host, p.clock); err != nil {
		return err
	}
	if p.http, err = listen(s.Listen.HTTP); err != nil {
		return err
	}
	if p.callers, err = listen(s.Listen.Callers); err != nil {
		return err
	}
	p.link = wire.NewLink(wireOptions(s, p.host, p.keys.cluster, p.tls))
	p.proxy = runtime.NewProxy(runtime.ProxyOptions{
		Control: core.NewProxy(node.Options{
			Host: p.host, AvailabilityZone: s.AvailabilityZone, Shards: s.Shards,
		}),
		Shard: p.newShard, Shards: s.Shards,
		Clock: p.clock, Seed: rand.Uint64,
		Link: p.link, Targets: dialer, Recorder: p.recorder,
	})
	p.front, err = p.edge.NewCallerServer(s, p.proxy)
	return err
}

// newShard returns the reducer of one traffic shard.
func (p *Proxy) newShard(index int) *core.Reducer {
	return core.NewShard(session.Options{
		Host: p.host, AvailabilityZone: p.settings.AvailabilityZone, Index: index, Shards: p.settings.Shards,
		Policy: cmp.Or(p.edge.Policy, p.settings.RoutingPolicy), CrowdedPolicy: p.edge.CrowdedPolicy,
	})
}

// Run serves until a signal or the end of ctx. Then it stops gracefully: it accepts no
// new sessions and lets requests in flight finish, up to the drain limit. It can be
// called only once.
func (p *Proxy) Run(ctx context.Context) error {
	defer p.release()
	s := p.settings
	klog.InfoS("starting", "role", "proxy", "host", p.host, "version", p.version,
		"availability_zone", s.AvailabilityZone, "callers", p.callers.Addr(), "http", p.http.Addr())
	httpServer := newHTTPServer(p.http, p.keys, p.tls)
	p.registerRoutes(httpServer)
	if p.edge.ProxyRoutes != nil {
		p.edge.ProxyRoutes(httpServer, p.ready)
	}
	stopReload := p.edge.startReloading(p.sighup, p.link, s.Control, reloadInterval)
	defer stopReload()
	p.link.Start(p.handleLeaseGrant)
	app := kratos.New(
		kratos.Name("paddle-proxy"), kratos.Version(p.version), kratos.ID(string(p.host)),
		kratos.Context(context.WithoutCancel(ctx)), kratos.StopTimeout(s.DrainLimit),
		kratos.Server(
			newLoopServer(func(ctx context.Context) error { p.proxy.Run(ctx); return nil }),
			newLoopServer(func(ctx context.Context) error { return p.front.Serve(ctx, p.callers) }),
			httpServer,
		),
		kratos.BeforeStop(func(context.Context) error { p.drainOnce.Do(p.drain); return nil }),
	)
	err := runApp(ctx, app)
	p.link.Close()
	return err
}

// handleLeaseGrant records a control host's answer to a lease request and forwards it
// to the control loop.
func (p *Proxy) handleLeaseGrant(from types.HostID, g proto.LeaseGrant) {
	p.recorder.LeaseAnswered(from, g, p.clock())
	st := p.status()
	p.recorder.ProxyState(telemetry.ProxyState{
		LeaseLive: st.LeaseLive, ViewVersion: st.ViewVersion,
		ConfigVersion: st.ConfigVersion, Draining: st.Draining,
	})
	p.proxy.HandleLeaseGrant(from, g)
}

// drain stops accepting sessions and waits until the existing ones have ended, or the
// drain limit has passed. Further signals in the meantime have no effect.
func (p *Proxy) drain() {
	p.draining.Store(true)
	klog.InfoS("stopping", "role", "proxy", "host", p.host,
		"drain_limit", p.settings.DrainLimit, "reason", "stop requested")
	limit := p.settings.DrainLimit
	until := p.clock().Add(limit - min(answerMargin, limit/2))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	p.waitForBalancer()
	p.proxy.Drain(until)
	if err := p.front.Shutdown(ctx); err != nil {
		klog.ErrorS(nil, "sessions_cut_off", "host", p.host, "drain_limit", p.settings.DrainLimit,
			"reason", telemetry.Reason(err))
		return
	}
	klog.InfoS("drained", "role", "proxy", "host", p.host)
}

// waitForBalancer keeps serving until the load balancer has noticed that the proxy is
// not ready, since the balancer sends new callers until then.
func (p *Proxy) waitForBalancer() {
	if p.settings.UnreadyDelay > 0 {
		time.Sleep(p.settings.UnreadyDelay)
	}
}

// release closes the resources that open acquired.
func (p *Proxy) release() {
	for _, lis := range []net.Listener{p.http, p.callers} {
		if lis != nil {
			_ = lis.Close() // already closed after Run
		}
	}
	if p.recorder != nil {
		closeRecorder(p.recorder)
	}
}

// registerRoutes registers the HTTP interface of a proxy.
func (p *Proxy) registerRoutes(srv *khttp.Server) {
	registerHealth(srv, p.ready, p.recorder.Metrics())
	r := srv.Route("/")
	r.POST(api.PathAnnounce, p.announce)
	r.GET(api.PathStatus, func(ctx khttp.Context) error { return ctx.Result(200, p.status()) })
}

// ready reports whether the proxy may serve callers.
func (p *Proxy) ready() bool {
	st := p.status()
	return !st.Draining && (st.LeaseLive || p.edge.ReadyWithoutLease && st.ConfigVersion > 0)
}

func (p *Proxy) status() api.ProxyStatus {
	view := p.proxy.View()
	out := api.ProxyStatus{
		Host: string(p.host), Draining: p.draining.Load(), LeaseLive: view.LeaseLive(p.clock()),
	}
	if view != nil && view.Cluster != nil {
		out.ViewVersion = view.Cluster.Version
		if view.Cluster.Config != nil {
			out.ConfigVersion = view.Cluster.Config.Version
		}
	}
	return out
}

func (p *Proxy) announce(ctx khttp.Context) error {
	a, err := bindAnnouncement(ctx)
	if err != nil {
		return err
	}
	p.proxy.HandleAnnouncement(a)
	return ctx.Result(200, struct{}{})
}
