package daemon

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"

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
	// Reload reads the addresses of the control hosts again; nil ignores SIGHUP.
	Reload func() ([]types.Address, error)
}

// addressBook takes in addresses of control hosts.
type addressBook interface {
	Know(addresses []types.Address)
}

// reloadOnHangup reads the settings again at each SIGHUP. Settings that are
// wrong change nothing.
func (e Edge) reloadOnHangup(book addressBook) (stop func()) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-hangup:
				e.reload(book)
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(hangup)
		close(done)
	}
}

func (e Edge) reload(book addressBook) {
	if e.Reload == nil {
		klog.InfoS("reload_ignored", "reason", "the settings of this daemon are read at its start only")
		return
	}
	addresses, err := e.Reload()
	if err != nil {
		klog.ErrorS(nil, "reload_refused", "reason", telemetry.Reason(err))
		return
	}
	book.Know(addresses)
	klog.InfoS("reloaded", "control_hosts", len(addresses))
}
