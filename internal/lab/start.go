package lab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/gravitational/trace"
)

// Settings of all daemons of a lab.
const (
	labShards     = 2
	labDrainLimit = 10 * time.Second
)

// writeSettings completes the settings of the i-th daemon of a role, writes them to
// a file and returns its name.
func (l *Lab) writeSettings(i int, d settings.Daemon) (string, error) {
	for _, c := range l.Controls {
		d.Control = append(d.Control, types.Address(c.advertise))
	}
	d.Host = types.HostID(fmt.Sprintf("%s-%d", d.Role, i+1))
	d.AvailabilityZone = types.AvailabilityZone(l.availabilityZone(i))
	d.Region = "lab"
	d.DrainLimit = labDrainLimit
	data, err := d.YAML()
	if err != nil {
		return "", err
	}
	name := filepath.Join(l.config.Dir, string(d.Host)+".yaml")
	return name, trace.ConvertSystemError(os.WriteFile(name, data, 0o644))
}

// startControls starts the control hosts and waits until they are ready.
func (l *Lab) startControls(ctx context.Context) error {
	for i, c := range l.Controls {
		file, err := l.writeSettings(i, settings.Daemon{
			Role:       settings.RoleControl,
			Listen:     settings.Listen{HTTP: types.Address(c.HTTPAddress), Peers: types.Address(c.PeerAddress)},
			Advertise:  types.Address(c.advertise),
			DataFolder: c.DataFolder,
			Target:     settings.DefaultTarget(),
		})
		if err != nil {
			return err
		}
		if i == 0 {
			if err := l.initCluster(ctx, file); err != nil {
				return err
			}
		}
		c.Process = l.newProcess(processName(file), "paddle-control", "run", "--config", file)
		if err := l.launch(c.Process); err != nil {
			return err
		}
	}
	for _, c := range l.Controls {
		if err := l.WaitReady(ctx, c.Process, c.HTTPAddress); err != nil {
			return err
		}
	}
	return nil
}

// processName returns the name of the process that runs with a settings file.
func processName(file string) string { return strings.TrimSuffix(filepath.Base(file), ".yaml") }

// initCluster initializes the data folder of the first control host.
func (l *Lab) initCluster(ctx context.Context, file string) error {
	p := l.newProcess("control-init", "paddle-control", "init", "--config", file)
	if err := p.start(); err != nil {
		return err
	}
	code, err := p.Wait(ctx)
	if err == nil && code != 0 {
		err = trace.Errorf("%s exited with code %d: %s", p.Name, code, tail(p.LogFile))
	}
	return err
}

// startProxies starts the proxies and waits until they are ready.
func (l *Lab) startProxies(ctx context.Context) error {
	for i, p := range l.Proxies {
		file, err := l.writeSettings(i, settings.Daemon{
			Role:   settings.RoleProxy,
			Listen: settings.Listen{HTTP: types.Address(p.HTTPAddress), Callers: types.Address(p.CallerAddress)},
			Limits: settings.DefaultLimits(),
			Target: settings.DefaultTarget(),
			Shards: labShards,
		})
		if err != nil {
			return err
		}
		p.Process = l.newProcess(processName(file), "paddle-proxy", "run", "--config", file)
		if err := l.launch(p.Process); err != nil {
			return err
		}
	}
	for _, p := range l.Proxies {
		if err := l.WaitReady(ctx, p.Process, p.HTTPAddress); err != nil {
			return err
		}
	}
	return nil
}

// startTargets starts the members of all services.
func (l *Lab) startTargets(context.Context) error {
	announce := l.proxyHTTP()
	if l.announcer != nil {
		announce = []string{l.announcer.address()}
	}
	next := 0
	for _, s := range l.config.Services {
		for i := range s.Members {
			t := l.Targets[next]
			next++
			t.Process = l.newProcess(t.Service+"-"+t.Member, "target-standin",
				"--service", t.Service, "--name", t.Member, "--listen", t.Address,
				"--availability-zone", l.availabilityZone(i),
				"--announce", strings.Join(announce, ","),
				"--lag", s.Lag.String(), "--connect-cost", s.ConnectCost.String(),
				"--slots", strconv.Itoa(s.Slots), "--connections", strconv.Itoa(s.Connections))
			if err := l.launch(t.Process); err != nil {
				return err
			}
		}
	}
	return nil
}

// proxyHTTP returns the HTTP addresses of the proxies.
func (l *Lab) proxyHTTP() []string {
	var out []string
	for _, p := range l.Proxies {
		out = append(out, p.HTTPAddress)
	}
	return out
}

// applyConfig applies the operators' configuration and waits until the groups
// of the lab have a primary.
func (l *Lab) applyConfig(ctx context.Context) error {
	if l.config.ConfigFile == "" {
		return nil
	}
	if _, err := l.Paddlectl(ctx, "config", "apply", "--wait", l.config.ConfigFile); err != nil {
		return err
	}
	for _, s := range l.config.Services {
		if _, err := l.WaitPrimary(ctx, s.Name, ""); err != nil {
			return err
		}
	}
	return nil
}

// Status returns the state of the system according to the leader.
func (l *Lab) Status(ctx context.Context) (api.Status, error) {
	client, err := api.NewSecureClient(l.ControlHTTP(), settings.Security{})
	if err != nil {
		return api.Status{}, err
	}
	return client.LeaderStatus(ctx)
}

// Primary returns the primary of a service, or nil unless the service is serving.
func (l *Lab) Primary(ctx context.Context, service string) (*Target, error) {
	st, err := l.Status(ctx)
	if err != nil {
		return nil, err
	}
	for _, s := range st.Services {
		if s.Name == service && s.Phase == "serving" {
			return l.Target(service, s.Primary), nil
		}
	}
	return nil, nil
}

// Target returns a member of a service, or nil if it does not exist.
func (l *Lab) Target(service, member string) *Target {
	for _, t := range l.Targets {
		if t.Service == service && t.Member == member {
			return t
		}
	}
	return nil
}

// WaitPrimary waits until a service has a primary other than the member except.
func (l *Lab) WaitPrimary(ctx context.Context, service, except string) (*Target, error) {
	var found *Target
	err := l.Wait(ctx, "a primary of "+service, func() bool {
		t, err := l.Primary(ctx, service)
		found = t
		return err == nil && t != nil && t.Member != except
	})
	return found, err
}

// WaitReady waits until a daemon reports that it is ready.
func (l *Lab) WaitReady(ctx context.Context, p *Process, addr string) error {
	return l.Wait(ctx, p.Name+" to be ready", func() bool {
		select {
		case <-p.Done():
			return false
		default:
		}
		return ready(ctx, addr)
	})
}

// ready reports whether a daemon answers its readiness check with OK.
func ready(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+api.PathReady, nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body) // allows the connection to be reused
	return res.StatusCode == http.StatusOK
}

// Wait polls until a condition holds. The error names what it was waiting for.
func (l *Lab) Wait(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "waiting for %s", what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// tail returns the end of a log file.
func tail(name string) string {
	const maxBytes = 2000
	data, err := os.ReadFile(name)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-maxBytes):])
}
