// Package lab starts the system's processes on loopback for the demo, measurements
// and end-to-end tests. It is a development tool and not part of the product, whose
// processes never start other processes.
package lab

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Timing of a lab.
const (
	stopTimeout  = 5 * time.Second       // from SIGTERM until a process is killed
	pollInterval = 50 * time.Millisecond // between two checks of a condition
	callTimeout  = 5 * time.Second       // of one HTTP call
)

// Config describes the processes of a lab.
type Config struct {
	Dir               string   // directory for binaries, settings, data and logs
	Bin               string   // directory of the binaries; empty builds them in Dir
	Controls          int      // number of control hosts
	Proxies           int      // number of proxies
	AvailabilityZones []string // assigned round-robin; empty means az-1 to az-3
	Services          []Service
	ConfigFile        string // operators' configuration that Start applies; optional

	// Latency is added in each direction to every connection between the
	// system's processes, and between them and targets. Zero connects processes
	// directly; otherwise the connections pass through relays, which also allows
	// targets to be cut off.
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

// Control is a control host process.
type Control struct {
	*Process
	PeerAddress string
	advertise   string // address at which other processes reach PeerAddress
	HTTPAddress string
	DataFolder  string
}

// Proxy is a proxy process.
type Proxy struct {
	*Process
	CallerAddress string
	HTTPAddress   string
}

// Target is the process of one member of a database group.
type Target struct {
	*Process
	Service string
	Member  string
	Address string
	relay   *Relay // nil without latency
}

// Cut blocks all traffic between a target and the other processes, targets
// included. It requires a lab with latency, because only such a lab has relays.
func (t *Target) Cut() error {
	if t.relay == nil {
		return trace.BadParameter("cutting off %s requires a lab with latency", t.Name)
	}
	t.relay.Cut()
	return nil
}

// Heal ends the effect of Cut.
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

// Start builds the programs unless Bin is set, starts all processes and waits until
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
	if err := l.assignAddresses(); err != nil {
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

// Build compiles the programs of this module into a directory.
func Build(ctx context.Context, bin string) error {
	const pattern = "github.com/camphorpaddle/camphorpaddle/cmd/..."
	if err := os.MkdirAll(bin, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	out, err := exec.CommandContext(ctx, "go", "build", "-o", bin+string(filepath.Separator), pattern).CombinedOutput()
	return trace.Wrap(err, "building the programs: %s", out)
}

// Stop ends the processes that the lab started, and only these, by process id.
func (l *Lab) Stop() {
	for i := len(l.processes) - 1; i >= 0; i-- {
		l.processes[i].stop(stopTimeout)
	}
	l.processes = nil
	for _, r := range l.relays {
		r.Close()
	}
	if l.announcer != nil {
		l.announcer.close()
	}
	l.ports.release()
}

// Dir returns the directory of the lab.
func (l *Lab) Dir() string { return l.config.Dir }

// availabilityZone returns the availability zone of the i-th process of a kind.
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

// Paddlectl runs paddlectl against the control hosts and returns its output. The error of
// a refused call wraps an *exec.ExitError with the exit code.
func (l *Lab) Paddlectl(ctx context.Context, args ...string) (string, error) {
	full := append([]string{"--control", strings.Join(l.ControlHTTP(), ",")}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(l.bin, "paddlectl"), full...).CombinedOutput()
	return string(out), trace.Wrap(err, "paddlectl %s: %s", strings.Join(args, " "), out)
}

// assignAddresses creates the entries of all processes and assigns their addresses.
func (l *Lab) assignAddresses() error {
	for i := range l.config.Controls {
		c := &Control{DataFolder: filepath.Join(l.config.Dir, fmt.Sprintf("control-%d.data", i+1))}
		if err := l.assignPorts(&c.PeerAddress, &c.HTTPAddress); err != nil {
			return err
		}
		l.Controls = append(l.Controls, c)
	}
	for range l.config.Proxies {
		p := &Proxy{}
		if err := l.assignPorts(&p.CallerAddress, &p.HTTPAddress); err != nil {
			return err
		}
		l.Proxies = append(l.Proxies, p)
	}
	for _, s := range l.config.Services {
		for i := range s.Members {
			t := &Target{Service: s.Name, Member: fmt.Sprintf("member-%d", i+1)}
			if err := l.assignPorts(&t.Address); err != nil {
				return err
			}
			l.Targets = append(l.Targets, t)
		}
	}
	return nil
}

// assignPorts sets each address to a free port.
func (l *Lab) assignPorts(addresses ...*string) error {
	for _, a := range addresses {
		var err error
		if *a, err = l.ports.next(); err != nil {
			return err
		}
	}
	return nil
}
