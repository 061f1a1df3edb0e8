// Package daemon assembles the proxy and control host processes: it connects the
// reducer's loops to network ports, the data folder and telemetry, and runs them as a
// kratos app from startup to graceful stop.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/internal/identity"
	"github.com/camphorpaddle/camphorpaddle/runtime"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/camphorpaddle/camphorpaddle/storage"
	"github.com/camphorpaddle/camphorpaddle/telemetry"
	"github.com/camphorpaddle/camphorpaddle/wire"
	"github.com/go-kratos/kratos/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// closeTimeout bounds how long a stopping process waits for telemetry to write its
// last records.
const closeTimeout = 3 * time.Second

// Control is a control host process.
type Control struct {
	edge     Edge
	settings *settings.Daemon
	version  string
	keys     keys
	tls      settings.TLSConfigs
	log      *storage.Log
	mesh     *wire.Mesh
	recorder *telemetry.Recorder
	host     *runtime.ControlHost
	http     net.Listener
	peers    net.Listener
	sighup   chan os.Signal
}

// InitControl creates the data folder of the first control host of a new cluster. The
// folder must be empty or missing.
func InitControl(s *settings.Daemon) (types.HostID, error) {
	voter, err := storage.Init(s.DataFolder, proto.Voter{
		Host: s.Host, Address: s.Advertise, AvailabilityZone: s.AvailabilityZone,
	})
	return voter.Host, trace.Wrap(err, "setting up data folder %s", s.DataFolder)
}

// FoundControl creates the data folder of one of the control hosts that start a new cluster
// together, which all of them vote in from the start. founders holds their peer addresses,
// in the same order on each of them. The folder must be empty or missing.
func FoundControl(s *settings.Daemon, founders []types.Address) error {
	var voters []proto.Voter
	for _, address := range founders {
		voters = append(voters, proto.Voter{Host: identity.Founder(address), Address: address})
	}
	err := storage.Found(s.DataFolder, identity.Founder(s.Advertise), voters)
	return trace.Wrap(err, "setting up data folder %s", s.DataFolder)
}

// NewControl opens the data folder and the ports of a control host whose targets use
// the PostgreSQL protocol.
func NewControl(s *settings.Daemon, version string) (*Control, error) {
	return NewControlWithEdge(PostgresEdge(), s, version)
}

// NewControlWithEdge opens the data folder and the ports of a control host.
func NewControlWithEdge(e Edge, s *settings.Daemon, version string) (*Control, error) {
	c := &Control{edge: e, settings: s, version: version, sighup: notifySIGHUP()}
	if err := c.open(); err != nil {
		c.release()
		return nil, err
	}
	return c, nil
}

// open acquires the resources of the control host. After an error, release closes
// those that were acquired.
func (c *Control) open() (err error) {
	s := c.settings
	if c.keys, err = loadKeys(s.Security); err != nil {
		return err
	}
	if c.tls, err = s.Security.LoadTLS(); err != nil {
		return err
	}
	dialer, err := c.edge.NewDialer(s)
	if err != nil {
		return err
	}
	if c.log, err = storage.Open(s.DataFolder, string(s.Host)); err != nil {
		return trace.Wrap(err, "opening data folder %s", s.DataFolder)
	}
	clock := runtime.NewClock()
	if c.recorder, err = newRecorder(s, c.log.Host(), clock); err != nil {
		return err
	}
	if c.http, err = listen(s.Listen.HTTP); err != nil {
		return err
	}
	if c.peers, err = listen(s.Listen.Peers); err != nil {
		return err
	}
	c.mesh = wire.NewMesh(wireOptions(s, c.log.Host(), c.keys.cluster, c.tls))
	self := proto.Voter{Host: c.log.Host(), Address: s.Advertise, AvailabilityZone: s.AvailabilityZone}
	c.host = runtime.NewControlHost(runtime.ControlOptions{
		Reducer: core.NewControlHost(self, c.log.Saved(), s.Voters),
		Clock:   clock, Seed: rand.Uint64,
		Peers: c.mesh, Proxies: c.mesh, Log: c.log, Targets: dialer, Recorder: c.recorder,
	})
	return nil
}

// Run serves until a signal, the end of ctx, or a failure of the data folder. It can be
// called only once.
func (c *Control) Run(ctx context.Context) error {
	defer c.release()
	klog.InfoS("starting", "role", "control", "host", c.log.Host(), "version", c.version,
		"availability_zone", c.settings.AvailabilityZone,
		"http", c.http.Addr(), "peers", c.peers.Addr(), "data_folder", c.settings.DataFolder)
	httpServer := newHTTPServer(newBoundedListener(c.http, maxHTTPConnections), c.keys, c.tls)
	c.registerRoutes(httpServer)
	if c.edge.ControlRoutes != nil {
		c.edge.ControlRoutes(httpServer, c.host)
	}
	stopReload := c.edge.startReloading(c.sighup, c.mesh, c.settings.Control, reloadInterval)
	defer stopReload()
	c.mesh.Start(wire.Handlers{Message: c.host.HandlePeerMessage, LeaseRequest: c.host.HandleLeaseRequest})
	app := kratos.New(
		kratos.Name("paddle-control"), kratos.Version(c.version), kratos.ID(string(c.log.Host())),
		kratos.Context(context.WithoutCancel(ctx)), kratos.StopTimeout(c.settings.DrainLimit),
		kratos.Server(
			newLoopServer(c.host.Run),
			newPeerServer(c.peers, c.tls, wire.Path, wire.NewServer(c.mesh)),
			httpServer,
		),
		kratos.BeforeStop(func(context.Context) error {
			klog.InfoS("stopping", "role", "control", "host", c.log.Host(), "reason", "stop requested")
			c.mesh.Close()
			return nil
		}),
	)
	return runApp(ctx, app)
}

// runApp runs an app until a signal or the end of ctx, which both stop it gracefully.
func runApp(ctx context.Context, app *kratos.App) error {
	setKratosLog()
	removeHook := context.AfterFunc(ctx, func() {
		if err := app.Stop(); err != nil {
			klog.ErrorS(nil, "stop_failed", "app", app.Name(), "reason", telemetry.Reason(err))
		}
	})
	defer removeHook()
	return trace.Wrap(app.Run())
}

// release closes the resources that open acquired.
func (c *Control) release() {
	for _, lis := range []net.Listener{c.http, c.peers} {
		if lis != nil {
			_ = lis.Close() // already closed after Run
		}
	}
	if c.recorder != nil {
		closeRecorder(c.recorder)
	}
	if c.log != nil {
		if err := c.log.Close(); err != nil {
			klog.ErrorS(nil, "data_folder_not_closed", "data_folder", c.settings.DataFolder,
				"reason", telemetry.Reason(err))
		}
	}
}

func newRecorder(s *settings.Daemon, host types.HostID, clock runtime.Clock) (*telemetry.Recorder, error) {
	return telemetry.New(telemetry.Options{
		Role: s.Role.String(), Name: string(s.Host), Host: host, AvailabilityZone: s.AvailabilityZone, Region: s.Region,
		Clock: clock, TraceEndpoint: s.Trace.Endpoint, TraceSample: s.Trace.Sample,
	})
}

func closeRecorder(r *telemetry.Recorder) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := r.Close(ctx); err != nil {
		klog.ErrorS(nil, "telemetry_not_closed", "reason", telemetry.Reason(err))
	}
}

func wireOptions(s *settings.Daemon, host types.HostID, key string, t settings.TLSConfigs) wire.Options {
	return wire.Options{
		Host: host, Key: key, Addresses: s.Control, TLS: t.Client, Seed: rand.Uint64(),
	}
}
