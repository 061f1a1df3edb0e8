package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/camphorpaddle/camphorpaddle/telemetry"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// Bounds of the HTTP port.
const (
	httpTimeout       = 10 * time.Second
	httpHeaderTimeout = 5 * time.Second
	httpIdleTimeout   = 10 * time.Second
	maxRequestBytes   = 4 << 20
)

var errorStatus = map[api.ErrorKind]int{
	api.ErrNotLeader:    http.StatusMisdirectedRequest,
	api.ErrConflict:     http.StatusConflict,
	api.ErrNotFound:     http.StatusNotFound,
	api.ErrRefused:      http.StatusUnprocessableEntity,
	api.ErrUnknown:      http.StatusGatewayTimeout,
	api.ErrInvalid:      http.StatusBadRequest,
	api.ErrUnauthorized: http.StatusUnauthorized,
	api.ErrInternal:     http.StatusInternalServerError,
}

// writeError writes an error as the response to a request.
func writeError(w http.ResponseWriter, e *api.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(errorStatus[e.Kind])
	if err := json.NewEncoder(w).Encode(e); err != nil {
		klog.V(1).InfoS("http_answer_lost", "reason", telemetry.Reason(err))
	}
}

// encodeError is the error encoder of the HTTP servers.
func encodeError(w http.ResponseWriter, _ *http.Request, err error) {
	var apiErr *api.Error
	if !errors.As(err, &apiErr) {
		apiErr = &api.Error{Kind: api.ErrInternal, Message: trace.UserMessage(err)}
	}
	writeError(w, apiErr)
}

// decodeBody is the request decoder of the HTTP servers. It accepts JSON of bounded
// size without unknown fields.
func decodeBody(r *http.Request, out any) error {
	dec := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return &api.Error{Kind: api.ErrInvalid, Message: "invalid request body: " + err.Error()}
	}
	return nil
}

// encodeBody is the response encoder of the HTTP servers.
func encodeBody(w http.ResponseWriter, _ *http.Request, v any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(v)
}

// listen opens a TCP listener.
func listen(addr types.Address) (net.Listener, error) {
	lis, err := net.Listen("tcp", string(addr))
	return lis, trace.Wrap(err, "listening on %s", addr)
}

// newHTTPServer returns the kratos server of a daemon's HTTP port.
func newHTTPServer(lis net.Listener, k keys, t settings.TLSConfigs) *khttp.Server {
	srv := khttp.NewServer(
		khttp.Listener(lis),
		khttp.Endpoint(&url.URL{Scheme: "http", Host: lis.Addr().String()}),
		khttp.TLSConfig(t.Server.Clone()),
		khttp.Timeout(httpTimeout),
		khttp.Filter(k.require),
		khttp.RequestDecoder(decodeBody),
		khttp.ResponseEncoder(encodeBody),
		khttp.ErrorEncoder(encodeError),
		khttp.NotFoundHandler(http.HandlerFunc(notFound)),
		khttp.MethodNotAllowedHandler(http.HandlerFunc(notFound)),
	)
	srv.ReadHeaderTimeout = httpHeaderTimeout
	srv.IdleTimeout = httpIdleTimeout
	return srv
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, &api.Error{Kind: api.ErrNotFound, Message: "no such endpoint: " + r.Method + " " + r.URL.Path})
}

// newPeerServer returns the server of the port for other processes of the system.
// Requests have no timeout, since the connections are long-lived.
func newPeerServer(lis net.Listener, t settings.TLSConfigs, path string, peers http.Handler) *khttp.Server {
	srv := khttp.NewServer(
		khttp.Listener(lis),
		khttp.Endpoint(&url.URL{Scheme: "http", Host: lis.Addr().String()}),
		khttp.TLSConfig(t.Server.Clone()),
		khttp.Timeout(0),
		khttp.NotFoundHandler(http.HandlerFunc(notFound)),
		khttp.MethodNotAllowedHandler(http.HandlerFunc(notFound)),
	)
	srv.ReadHeaderTimeout = httpHeaderTimeout
	srv.Handle(path, peers)
	return srv
}

// registerHealth registers the endpoints that load balancers and metrics scrapers
// read.
func registerHealth(srv *khttp.Server, ready func() bool, metrics http.Handler) {
	srv.HandleFunc(api.PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	srv.HandleFunc(api.PathReady, ReadyHandler(ready))
	srv.Handle(api.PathMetrics, metrics)
}

// ReadyHandler returns the handler of a load balancer's readiness check.
func ReadyHandler(ready func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	}
}

// bindAnnouncement decodes and validates a target's announcement.
func bindAnnouncement(ctx khttp.Context) (proto.Announcement, error) {
	var in api.Announcement
	if err := ctx.Bind(&in); err != nil {
		return proto.Announcement{}, err
	}
	if err := settings.CheckAnnouncement(in.Service, in.Name, in.Address, in.AvailabilityZone); err != nil {
		return proto.Announcement{}, &api.Error{Kind: api.ErrInvalid, Message: trace.UserMessage(err)}
	}
	return proto.Announcement{
		Service:          types.ServiceName(in.Service),
		Name:             types.TargetName(in.Name),
		Address:          types.Address(in.Address),
		AvailabilityZone: types.AvailabilityZone(in.AvailabilityZone),
		Leaving:          in.Leaving,
	}, nil
}

// loopServer adapts a blocking function to a server of a kratos app.
type loopServer struct {
	run    func(ctx context.Context) error
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

func newLoopServer(run func(ctx context.Context) error) *loopServer {
	ctx, cancel := context.WithCancel(context.Background())
	return &loopServer{run: run, ctx: ctx, cancel: cancel, done: make(chan struct{})}
}

// Start runs the function until Stop.
func (s *loopServer) Start(context.Context) error {
	defer close(s.done)
	return s.run(s.ctx)
}

// Stop cancels the function and waits until it returns.
func (s *loopServer) Stop(ctx context.Context) error {
	s.cancel()
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "waiting for the server's loop to return")
	}
}
