package daemon

import (
	"context"
	"net"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/routing"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/runtime"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/camphorpaddle/camphorpaddle/telemetry"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"k8s.io/klog/v2"
)

// CallerServer serves the callers of a proxy.
type CallerServer interface {
	// Serve accepts callers until ctx ends or Shutdown is called.
	Serve(ctx context.Context, l net.Listener) error
	// Shutdown stops accepting callers and waits for their sessions to end. It closes
	// the remaining sessions when ctx ends.
	Shutdown(ctx context.Context) error
}

// Edge connects the daemons to the callers and targets of one protocol. It only
// translates messages, so that the same core runs with other callers and targets.
type Edge struct {
	NewDialer       func(*settings.Daemon) (runtime.TargetDialer, error)
	NewCallerServer func(*settings.Daemon, *runtime.Proxy) (CallerServer, error)
	Policy          routing.Policy // nil picks that of the settings or routing.Default
	CrowdedPolicy   routing.Policy // before targets with many proxies for each slot; nil picks Policy
	// ReadyWithoutLease makes a proxy report ready while it has no lease. It is for
	// targets that fence themselves.
	ReadyWithoutLease bool

	// ControlRoutes and ProxyRoutes add routes to the daemons' HTTP servers; nil adds
	// none.
	ControlRoutes func(*khttp.Server, *runtime.ControlHost)
	ProxyRoutes   func(srv *khttp.Server, ready func() bool)
	// ReadControlAddresses reads the current addresses of the control hosts; nil if they
	// are read only at startup.
	ReadControlAddresses func() ([]types.Address, error)
}

// addressUpdater receives the current addresses of the control hosts.
type addressUpdater interface {
	AddAddresses(addresses []types.Address)
}

// reloadInterval is how often the settings are read without a signal. It is short
// compared with the seconds within which a lost control host must be replaced, and
// costs each process one read of a small file.
const reloadInterval = 2 * time.Second

// reloader rereads the addresses of the control hosts at each SIGHUP and
// periodically. The file may change without a signal, and a process that knows only
// control hosts that were lost has no other way to find the current ones.
type reloader struct {
	read    func() ([]types.Address, error)
	updater addressUpdater
	current []types.Address
}

// notifySIGHUP returns a channel that receives SIGHUP. A daemon calls it first, since a
// SIGHUP before the call terminates the process.
func notifySIGHUP() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// startReloading reloads at each SIGHUP and interval until stop is called. initial
// holds the addresses that were read at startup.
func (e Edge) startReloading(
	sighup chan os.Signal, updater addressUpdater, initial []types.Address, interval time.Duration,
) (stop func()) {
	r := &reloader{read: e.ReadControlAddresses, updater: updater, current: initial}
	tick := time.NewTicker(interval)
	if e.ReadControlAddresses == nil {
		tick.Stop()
	}
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-sighup:
				r.reloadOnSignal()
			case <-tick.C:
				r.poll()
			case <-done:
				return
			}
		}
	}()
	return func() {
		tick.Stop()
		signal.Stop(sighup)
		close(done)
	}
}

// reloadOnSignal handles a SIGHUP. Invalid settings are logged and change nothing.
func (r *reloader) reloadOnSignal() {
	if r.read == nil {
		klog.InfoS("reload_ignored", "reason", "this daemon reads its settings only at startup")
		return
	}
	addresses, err := r.read()
	if err != nil {
		klog.ErrorS(nil, "reload_refused", "reason", telemetry.Reason(err))
		return
	}
	r.apply(addresses)
	klog.InfoS("reloaded", "control_hosts", len(addresses), "reason", "SIGHUP")
}

// poll reloads without a signal. A file that can't be parsed may be partially written,
// so its errors are left to the next poll or a signal.
func (r *reloader) poll() {
	addresses, err := r.read()
	if err != nil {
		klog.V(1).InfoS("reload_postponed", "reason", telemetry.Reason(err))
		return
	}
	if !slices.Equal(addresses, r.current) {
		r.apply(addresses)
		klog.InfoS("reloaded", "control_hosts", len(addresses), "reason", "the addresses have changed")
	}
}

func (r *reloader) apply(addresses []types.Address) {
	r.current = addresses
	r.updater.AddAddresses(addresses)
}
