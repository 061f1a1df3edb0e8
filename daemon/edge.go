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

// CallerServer serves callers.
type CallerServer interface {
	// Serve accepts callers until ctx ends or Shutdown is called.
	Serve(ctx context.Context, l net.Listener) error
	// Shutdown stops accepting and waits for the sessions to end; those that are
	// left when ctx ends are cut off.
	Shutdown(ctx context.Context) error
}

// Edge is how the daemons meet what lies outside the system. It only translates:
// another edge runs the same system before other callers and targets.
type Edge struct {
	Dialer  func(*settings.Daemon) (runtime.TargetDialer, error)
	Callers func(*settings.Daemon, *runtime.Proxy) (CallerServer, error)
	Policy  routing.Policy // nil picks routing.Default
	// ReadyWithoutLease lets a proxy count as ready while it has no lease, since
	// its targets fence themselves.
	ReadyWithoutLease bool

	// ControlRoutes and ProxyRoutes add to the daemons' HTTP interface; nil adds
	// nothing.
	ControlRoutes func(*khttp.Server, *runtime.ControlHost)
	ProxyRoutes   func(srv *khttp.Server, ready func() bool)
	// Reload reads the addresses of the control hosts again; nil if they are read at
	// the start only.
	Reload func() ([]types.Address, error)
}

// addressBook takes in addresses of control hosts.
type addressBook interface {
	Know(addresses []types.Address)
}

// reloadInterval is the time between two looks at the settings without a signal.
// Short against the seconds within which a lost control host is to be replaced,
// and one read of a small file for a process.
const reloadInterval = 2 * time.Second

// reloader reads the addresses of the control hosts again, at each SIGHUP and now
// and then: the file may change without a signal, and a process that knows none
// but lost hosts finds the others in no other way.
type reloader struct {
	read  func() ([]types.Address, error)
	book  addressBook
	known []types.Address
}

// hangups returns a channel of SIGHUP. A process takes it as the first thing it does:
// until then the signal ends it.
func hangups() chan os.Signal {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	return hangup
}

// keepReloading reloads until stop is called. known is what was read at the start.
func (e Edge) keepReloading(
	hangup chan os.Signal, book addressBook, known []types.Address, interval time.Duration,
) (stop func()) {
	r := &reloader{read: e.Reload, book: book, known: known}
	tick := time.NewTicker(interval)
	if e.Reload == nil {
		tick.Stop()
	}
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-hangup:
				r.hangup()
			case <-tick.C:
				r.look()
			case <-done:
				return
			}
		}
	}()
	return func() {
		tick.Stop()
		signal.Stop(hangup)
		close(done)
	}
}

// hangup reloads at a signal. Settings that are wrong change nothing.
func (r *reloader) hangup() {
	if r.read == nil {
		klog.InfoS("reload_ignored", "reason", "the settings of this daemon are read at its start only")
		return
	}
	addresses, err := r.read()
	if err != nil {
		klog.ErrorS(nil, "reload_refused", "reason", telemetry.Reason(err))
		return
	}
	r.take(addresses)
	klog.InfoS("reloaded", "control_hosts", len(addresses), "reason", "SIGHUP")
}

// look reloads without a signal. A file that can't be read may be half written:
// the next look, or a signal, tells.
func (r *reloader) look() {
	addresses, err := r.read()
	if err != nil {
		klog.V(1).InfoS("reload_postponed", "reason", telemetry.Reason(err))
		return
	}
	if !slices.Equal(addresses, r.known) {
		r.take(addresses)
		klog.InfoS("reloaded", "control_hosts", len(addresses), "reason", "the addresses have changed")
	}
}

func (r *reloader) take(addresses []types.Address) {
	r.known = addresses
	r.book.Know(addresses)
}
