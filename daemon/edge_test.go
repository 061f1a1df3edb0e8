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

// addressChannel is an addressUpdater that sends each update on a channel.
type addressChannel chan []types.Address

// AddAddresses implements addressUpdater.
func (c addressChannel) AddAddresses(addresses []types.Address) { c <- addresses }

// TestReloadWithoutSignal guards against a process that knows only control hosts that
// were lost, and never learns the addresses that its settings list now.
func TestReloadWithoutSignal(t *testing.T) {
	lists := [][]types.Address{{"0:0"}, {"1:1"}, {"1:1"}, nil, {"2:2", "3:3"}, {"2:2", "3:3"}}
	var reads atomic.Int64
	edge := Edge{ReadControlAddresses: func() ([]types.Address, error) {
		list := lists[min(reads.Add(1)-1, int64(len(lists)-1))]
		if list == nil {
			return nil, errors.New("partially written")
		}
		return list, nil
	}}
	updates := make(addressChannel, len(lists))
	stop := edge.startReloading(notifySIGHUP(), updates, lists[0], time.Millisecond)
	assert.DeepEqual(t, <-updates, []types.Address{"1:1"})
	assert.DeepEqual(t, <-updates, []types.Address{"2:2", "3:3"})
	for reads.Load() < int64(len(lists))+2 {
		time.Sleep(time.Millisecond)
	}
	stop()
	assert.Equal(t, len(updates), 0, "unchanged addresses were applied again")
}

// TestSIGHUPBeforeRunDoesNotTerminate guards against a SIGHUP that terminates a process
// during startup, before it handles the signal: reading a data folder takes a while.
func TestSIGHUPBeforeRunDoesNotTerminate(t *testing.T) {
	edge := PostgresEdge()
	dialer := edge.NewDialer
	edge.NewDialer = func(s *settings.Daemon) (runtime.TargetDialer, error) {
		assert.Check(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		return dialer(s)
	}
	p, err := NewProxyWithEdge(edge, &settings.Daemon{
		Role: settings.RoleProxy, Host: "proxy-1", AvailabilityZone: "az-1",
		Listen: settings.Listen{Callers: "127.0.0.1:0", HTTP: "127.0.0.1:0"},
		Limits: settings.DefaultLimits(), Target: settings.DefaultTarget(), Shards: 1,
	}, "test")
	assert.NilError(t, err)
	defer p.release()
	assert.Equal(t, <-p.sighup, os.Signal(syscall.SIGHUP))
}
