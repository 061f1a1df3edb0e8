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

// announceTimeout is the timeout of one HTTP request of an announcement.
const announceTimeout = 2 * time.Second

// announcement is the body of POST /v1/announce.
type announcement struct {
	Service          string `json:"service"`
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	Leaving          bool   `json:"leaving"`
}

// announcer periodically announces a member to the daemons.
type announcer struct {
	config      Config
	address     string
	leaving     atomic.Bool
	client      http.Client
	announceNow chan struct{} // requests an immediate announcement
}

func newAnnouncer(c Config, address string) *announcer {
	return &announcer{
		config: c, address: address, announceNow: make(chan struct{}, 1),
		client: http.Client{Timeout: announceTimeout},
	}
}

// announceLeave announces that the member leaves.
func (a *announcer) announceLeave() {
	a.leaving.Store(true)
	select {
	case a.announceNow <- struct{}{}:
	default:
	}
}

// run announces the member until ctx ends. Each daemon has its own goroutine, so
// that a daemon that does not answer does not delay announcements to others.
func (a *announcer) run(ctx context.Context) {
	if len(a.config.Announce) == 0 {
		return
	}
	ticker := time.NewTicker(a.config.AnnounceInterval)
	defer ticker.Stop()
	triggers := a.startSenders(ctx)
	for {
		for _, trigger := range triggers {
			select {
			case trigger <- struct{}{}:
			default:
			}
		}
		select {
		case <-ticker.C:
		case <-a.announceNow:
		case <-ctx.Done():
			return
		}
	}
}

// startSenders starts a goroutine for each daemon. A send on the channel of a
// daemon triggers an announcement to it.
func (a *announcer) startSenders(ctx context.Context) []chan struct{} {
	var triggers []chan struct{}
	for _, daemon := range a.config.Announce {
		trigger := make(chan struct{}, 1)
		triggers = append(triggers, trigger)
		go func() {
			for {
				select {
				case <-trigger:
					err := a.send(ctx, daemon)
					klog.V(3).InfoS("announced", "daemon", daemon, "err", err)
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	return triggers
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
		return trace.Errorf("daemon %s answered the announcement with status %s", daemon, response.Status)
	}
	return nil
}
