package daemon

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
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
	stop := edge.keepReloading(book, lists[0], time.Millisecond)
	assert.DeepEqual(t, <-book, []types.Address{"1:1"})
	assert.DeepEqual(t, <-book, []types.Address{"2:2", "3:3"})
	for reads.Load() < int64(len(lists))+2 {
		time.Sleep(time.Millisecond)
	}
	stop()
	assert.Equal(t, len(book), 0, "the same addresses were taken in again")
}
