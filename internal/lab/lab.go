// Package lab starts the system's processes on loopback, for the demo and for
// tests of whole processes. It is a tool of this project and no part of the
// product, whose processes start no others.
package lab

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Timing of a lab.
const (
	stopPatience = 5 * time.Second       // until a process is ended by force
	pollPause    = 50 * time.Millisecond // between two looks at a condition
	callTimeout  = 5 * time.Second       // of one HTTP call
)

// Config says what a lab consists of.
type Config struct {
	Dir               string   // folder for binaries, settings, data and logs
	Bin               string   // folder with built binaries; empty builds them into Dir
	Controls          int      // control hosts
	Proxies           int      // proxies
	AvailabilityZones []string // given out in turn; empty stands for three
	Services          []Service
	ConfigFile        string // operators' configuration that Start applies; empty for none

	// Latency is added to each direction of every connection between the
	// system's processes, and between them and targets. With it, targets can
	// be cut off; zero connects processes directly.
	Latency time.Duration
}

// Service is a database group whose members the lab starts.
type Service struct {
	Name        string
	Members     int
	Slots       int
	Connections int
	ConnectCost time.Duration
	Lag         time.Duration
}

// Control is a control host.
type Control struct {
	*Process
	PeerAddress string
	peers       string // where others reach PeerAddress
	HTTPAddress string
	DataFolder  string
}

// Proxy is a proxy.
type Proxy struct {
	*Process
	CallerAddress string
	HTTPAddress   string
}

// Target is one member of a database group.
type Target struct {
	*Process
	Service string
	Member  string
	Address string
	relay   *Relay // nil without latency
}

// Cut cuts a target off from the system and from the other targets. It needs
// a lab with latency.
func (t *Target) Cut() error {
	if t.relay == nil {
		return trace.BadParameter("a lab without latency can't cut %s off", t.Name)
	}
	t.relay.Cut()
	return nil
}

// Heal ends a cut.
func (t *Target) Heal() {
	if t.relay != nil {
		t.relay.Heal()
	}
}

// Lab is a running system.
type Lab struct {
	Controls []*Control
	Proxies  []*Proxy
	Targets  []*Target

	config    Config
	bin       string
	ports     *ports
	processes []*Process
	relays    []*Relay
	announcer *announceRelay // nil without latency
}

// Start builds the programs if need be, starts all processes and waits until
// every proxy serves and, with a configuration, every group has a primary.
func Start(ctx context.Context, c Config) (*Lab, error) {
	l := &Lab{config: c, bin: c.Bin, ports: &ports{}}
	if len(c.AvailabilityZones) == 0 {
		l.config.AvailabilityZones = []string{"az-1", "az-2", "az-3"}
	}
	if err := l.start(ctx); err != nil {
		l.Stop()
		return nil, err
	}
	return l, nil
}

func (l *Lab) start(ctx context.Context) error {
	if l.bin == "" {
		l.bin = filepath.Join(l.config.Dir, "bin")
		if err := Build(ctx, l.bin); err != nil {
			return err
		}
	}
	if err := l.plan(); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{
		l.startRelays, l.startControls, l.startProxies, l.startTargets, l.applyConfig,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Build compiles the programs of this module into a folder.
func Build(ctx context.Context, bin string) error {
	const pattern = "github.com/camphorpaddle/camphorpaddle/cmd/..."
	if err := os.MkdirAll(bin, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	out, err := exec.CommandContext(ctx, "go", "build", "-o", bin+string(filepath.Separator), pattern).CombinedOutput()
	return trace.Wrap(err, "building the programs: %s", out)
}

// Stop ends all processes that the lab started, by their ids.
func (l *Lab) Stop() {
	for i := len(l.processes) - 1; i >= 0; i-- {
		l.processes[i].stop(stopPatience)
	}
	l.processes = nil
	for _, r := range l.relays {
		r.Close()
	}
	if l.announcer != nil {
		l.announcer.close()
	}
}

// Dir returns the folder of the lab.
func (l *Lab) Dir() string { return l.config.Dir }

// availabilityZone returns the zone of the i-th process of a kind.
func (l *Lab) availabilityZone(i int) string {
	return l.config.AvailabilityZones[i%len(l.config.AvailabilityZones)]
}

// ControlHTTP returns the HTTP addresses of the control hosts.
func (l *Lab) ControlHTTP() []string {
	var out []string
	for _, c := range l.Controls {
		out = append(out, c.HTTPAddress)
	}
	return out
}

// Ctl runs paddlectl against the control hosts and returns what it printed.
// The error of a refused call is an *exec.ExitError with its exit code.
func (l *Lab) Ctl(ctx context.Context, args ...string) (string, error) {
	full := append([]string{"--control", strings.Join(l.ControlHTTP(), ",")}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(l.bin, "paddlectl"), full...).CombinedOutput()
	return string(out), trace.Wrap(err, "paddlectl %s: %s", strings.Join(args, " "), out)
}

// ports gives out free ports of the loopback interface. It holds all of them
// until they are released together, so that they differ.
type ports struct {
	held []net.Listener
}

func (p *ports) next() (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err, "looking for a free port")
	}
	p.held = append(p.held, lis)
	return lis.Addr().String(), nil
}

func (p *ports) release() {
	for _, lis := range p.held {
		_ = lis.Close() // the port is what matters
	}
	p.held = nil
}

// plan gives every process its addresses.
func (l *Lab) plan() error {
	defer l.ports.release()
	for i := range l.config.Controls {
		c := &Control{DataFolder: filepath.Join(l.config.Dir, fmt.Sprintf("control-%d.data", i+1))}
		if err := l.assign(&c.PeerAddress, &c.HTTPAddress); err != nil {
			return err
		}
		l.Controls = append(l.Controls, c)
	}
	for range l.config.Proxies {
		p := &Proxy{}
		if err := l.assign(&p.CallerAddress, &p.HTTPAddress); err != nil {
			return err
		}
		l.Proxies = append(l.Proxies, p)
	}
	for _, s := range l.config.Services {
		for i := range s.Members {
			t := &Target{Service: s.Name, Member: fmt.Sprintf("member-%d", i+1)}
			if err := l.assign(&t.Address); err != nil {
				return err
			}
			l.Targets = append(l.Targets, t)
		}
	}
	return nil
}

func (l *Lab) assign(addresses ...*string) error {
	for _, a := range addresses {
		var err error
		if *a, err = l.ports.next(); err != nil {
			return err
		}
	}
	return nil
}
