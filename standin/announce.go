package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// announceTimeout bounds one announcement.
const announceTimeout = 2 * time.Second

// announcement is what a member says of itself.
type announcement struct {
	Service          string `json:"service"`
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	Leaving          bool   `json:"leaving"`
}

// announcer tells the daemons again and again of a member.
type announcer struct {
	config  Config
	address string
	leaving atomic.Bool
	client  http.Client
	now     chan struct{} // announce at once
}

func newAnnouncer(c Config, address string) *announcer {
	return &announcer{
		config: c, address: address, now: make(chan struct{}, 1),
		client: http.Client{Timeout: announceTimeout},
	}
}

// leave announces that the member leaves.
func (a *announcer) leave() {
	a.leaving.Store(true)
	select {
	case a.now <- struct{}{}:
	default:
	}
}

// run announces until ctx ends. Each daemon has a goroutine, so that one that
// does not answer delays no other.
func (a *announcer) run(ctx context.Context) {
	if len(a.config.Announce) == 0 {
		return
	}
	ticker := time.NewTicker(a.config.AnnounceInterval)
	defer ticker.Stop()
	wakes := a.startSenders(ctx)
	for {
		for _, wake := range wakes {
			select {
			case wake <- struct{}{}:
			default:
			}
		}
		select {
		case <-ticker.C:
		case <-a.now:
		case <-ctx.Done():
			return
		}
	}
}

// startSenders starts a goroutine for each daemon.
func (a *announcer) startSenders(ctx context.Context) []chan struct{} {
	var wakes []chan struct{}
	for _, daemon := range a.config.Announce {
		wake := make(chan struct{}, 1)
		wakes = append(wakes, wake)
		go func() {
			for {
				select {
				case <-wake:
					err := a.send(ctx, daemon)
					klog.V(3).InfoS("announced", "daemon", daemon, "err", err)
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	return wakes
}

func (a *announcer) send(ctx context.Context, daemon string) error {
	body, err := json.Marshal(announcement{
		Service: a.config.Service, Name: a.config.Name, Address: a.address,
		AvailabilityZone: a.config.AvailabilityZone, Leaving: a.leaving.Load(),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	url := "http://" + daemon + "/v1/announce"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return trace.Errorf("the daemon answered %s", response.Status)
	}
	return nil
}
