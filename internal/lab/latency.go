package lab

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

// startRelays starts a relay in front of every control host and every target if the
// lab has latency.
func (l *Lab) startRelays(context.Context) error {
	for _, c := range l.Controls {
		c.advertise = c.PeerAddress
		if l.config.Latency == 0 {
			continue
		}
		r, err := l.newRelay(c.PeerAddress)
		if err != nil {
			return err
		}
		c.advertise = r.Address()
	}
	if l.config.Latency == 0 {
		return nil
	}
	for _, t := range l.Targets {
		var err error
		if t.relay, err = l.newRelay(t.Address); err != nil {
			return err
		}
	}
	var err error
	l.announcer, err = newAnnounceRelay(l)
	return err
}

// newRelay starts a relay to an address, which Stop closes.
func (l *Lab) newRelay(address string) (*Relay, error) {
	r, err := NewRelay(address, l.config.Latency)
	if err == nil {
		l.relays = append(l.relays, r)
	}
	return r, err
}

// announceRelay receives the announcements of targets and forwards them to all
// proxies, with the address replaced by that of the target's relay.
type announceRelay struct {
	lab    *Lab
	lis    net.Listener
	server http.Server
	client *api.Client
}

func newAnnounceRelay(l *Lab) (*announceRelay, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err, "listening for announcements of targets")
	}
	a := &announceRelay{lab: l, lis: lis, client: api.NewClient(nil, "", nil)}
	a.server.Handler = a
	go func() { _ = a.server.Serve(lis) }() // returns after close
	return a, nil
}

func (a *announceRelay) address() string { return a.lis.Addr().String() }

func (a *announceRelay) close() { _ = a.server.Close() }

// ServeHTTP forwards one announcement, unless the target is cut off.
func (a *announceRelay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in api.Announcement
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t := a.lab.Target(in.Service, in.Name)
	if t == nil {
		http.Error(w, "unknown target "+in.Service+"/"+in.Name, http.StatusNotFound)
		return
	}
	select {
	case <-t.relay.flowing(ToCaller):
	default:
		http.Error(w, "target "+t.Name+" is cut off", http.StatusServiceUnavailable)
		return
	}
	in.Address = t.relay.Address()
	var calls errgroup.Group
	for _, addr := range a.lab.proxyHTTP() {
		calls.Go(func() error {
			return a.client.CallAddress(r.Context(), addr, http.MethodPost, api.PathAnnounce, in, nil)
		})
	}
	if err := calls.Wait(); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
	}
}
