package daemon

import (
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/runtime"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"gotest.tools/v3/assert"
)

// bookOf is an address book that hands on what it takes in.
type bookOf chan []types.Address

// Know implements addressBook.
func (b bookOf) Know(addresses []types.Address) { b <- addresses }

// TestChangedSettingsAreReadWithoutASignal guards against a process that knows none
// but lost control hosts and never learns of the ones that its settings name now.
func TestChangedSettingsAreReadWithoutASignal(t *testing.T) {
	lists := [][]types.Address{{"0:0"}, {"1:1"}, {"1:1"}, nil, {"2:2", "3:3"}, {"2:2", "3:3"}}
	var reads atomic.Int64
	edge := Edge{Reload: func() ([]types.Address, error) {
		list := lists[min(reads.Add(1)-1, int64(len(lists)-1))]
		if list == nil {
			return nil, errors.New("half written")
		}
		return list, nil
	}}
	book := make(bookOf, len(lists))
	stop := edge.keepReloading(hangups(), book, lists[0], time.Millisecond)
	assert.DeepEqual(t, <-book, []types.Address{"1:1"})
	assert.DeepEqual(t, <-book, []types.Address{"2:2", "3:3"})
	for reads.Load() < int64(len(lists))+2 {
		time.Sleep(time.Millisecond)
	}
	stop()
	assert.Equal(t, len(book), 0, "the same addresses were taken in again")
}

// TestHangupBeforeRunEndsNoProcess guards against a SIGHUP that ends a process which
// has not come as far as handling it: reading a data folder takes a while.
func TestHangupBeforeRunEndsNoProcess(t *testing.T) {
	edge := PostgresEdge()
	dialer := edge.Dialer
	edge.Dialer = func(s *settings.Daemon) (runtime.TargetDialer, error) {
		assert.Check(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		return dialer(s)
	}
	p, err := NewProxyAt(edge, &settings.Daemon{
		Role: settings.RoleProxy, Host: "proxy-1", AvailabilityZone: "az-1",
		Listen: settings.Listen{Callers: "127.0.0.1:0", HTTP: "127.0.0.1:0"},
		Limits: settings.DefaultLimits(), Target: settings.DefaultTarget(), Shards: 1,
	}, "test")
	assert.NilError(t, err)
	defer p.release()
	assert.Equal(t, <-p.hangup, os.Signal(syscall.SIGHUP))
}
