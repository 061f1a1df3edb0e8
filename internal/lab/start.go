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
	"text/template"
	"time"

	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/gravitational/trace"
)

// settingsFile is the settings file of a daemon on loopback.
var settingsFile = template.Must(template.New("settings").Parse(`host: {{.Host}}
availability_zone: {{.AvailabilityZone}}
region: lab
control: [{{.Control}}]
listen:
  http: {{.HTTP}}
{{- if .Peers}}
  peers: {{.Peers}}
advertise: {{.Peers}}
data_folder: {{.DataFolder}}
{{- else}}
  callers: {{.Callers}}
shards: 2
{{- end}}
drain_limit: 10s
`))

// daemonSettings fills in settingsFile.
type daemonSettings struct {
	Host, AvailabilityZone, Control string
	HTTP, Peers, Callers            string
	DataFolder                      string
}

// writeSettings writes the settings file of a daemon and returns its name.
func (l *Lab) writeSettings(s daemonSettings) (string, error) {
	var peers []string
	for _, c := range l.Controls {
		peers = append(peers, strconv.Quote(c.PeerAddress))
	}
	s.Control = strings.Join(peers, ", ")
	name := filepath.Join(l.config.Dir, s.Host+".yaml")
	f, err := os.Create(name)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	if err := settingsFile.Execute(f, s); err != nil {
		_ = f.Close()
		return "", trace.Wrap(err, "writing %s", name)
	}
	return name, trace.ConvertSystemError(f.Close())
}

func (l *Lab) startControls(ctx context.Context) error {
	for i, c := range l.Controls {
		host := fmt.Sprintf("control-%d", i+1)
		file, err := l.writeSettings(daemonSettings{
			Host: host, AvailabilityZone: l.availabilityZone(i),
			HTTP: c.HTTPAddress, Peers: c.PeerAddress, DataFolder: c.DataFolder,
		})
		if err != nil {
			return err
		}
		if i == 0 {
			if err := l.initCluster(ctx, file); err != nil {
				return err
			}
		}
		c.Process = l.newProcess(host, "paddle-control", "run", "--config", file)
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

// initCluster sets up the data folder of the first control host.
func (l *Lab) initCluster(ctx context.Context, file string) error {
	p := l.newProcess("control-init", "paddle-control", "init", "--config", file)
	if err := p.start(); err != nil {
		return err
	}
	code, err := p.Wait(ctx)
	if err == nil && code != 0 {
		err = trace.Errorf("%s ended with code %d: %s", p.Name, code, tail(p.LogFile))
	}
	return err
}

func (l *Lab) startProxies(ctx context.Context) error {
	for i, p := range l.Proxies {
		host := fmt.Sprintf("proxy-%d", i+1)
		file, err := l.writeSettings(daemonSettings{
			Host: host, AvailabilityZone: l.availabilityZone(i),
			HTTP: p.HTTPAddress, Callers: p.CallerAddress,
		})
		if err != nil {
			return err
		}
		p.Process = l.newProcess(host, "paddle-proxy", "run", "--config", file)
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

func (l *Lab) startTargets(context.Context) error {
	var announce []string
	for _, p := range l.Proxies {
		announce = append(announce, p.HTTPAddress)
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

// applyConfig applies the operators' configuration and waits until the groups
// of the lab have a primary.
func (l *Lab) applyConfig(ctx context.Context) error {
	if l.config.ConfigFile == "" {
		return nil
	}
	if _, err := l.Ctl(ctx, "config", "apply", "--wait", l.config.ConfigFile); err != nil {
		return err
	}
	for _, s := range l.config.Services {
		if _, err := l.WaitPrimary(ctx, s.Name, ""); err != nil {
			return err
		}
	}
	return nil
}

// Status returns the state of the system as its leader sees it.
func (l *Lab) Status(ctx context.Context) (api.Status, error) {
	client, err := api.NewSecureClient(l.ControlHTTP(), settings.Security{})
	if err != nil {
		return api.Status{}, err
	}
	return client.LeaderStatus(ctx)
}

// Primary returns the primary of a service while it serves, or nil.
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

// Target returns a member of a service, or nil.
func (l *Lab) Target(service, member string) *Target {
	for _, t := range l.Targets {
		if t.Service == service && t.Member == member {
			return t
		}
	}
	return nil
}

// WaitPrimary waits until a service has a primary other than the given one.
func (l *Lab) WaitPrimary(ctx context.Context, service, other string) (*Target, error) {
	var found *Target
	err := l.Wait(ctx, "a primary of "+service, func() bool {
		t, err := l.Primary(ctx, service)
		found = t
		return err == nil && t != nil && t.Member != other
	})
	return found, err
}

// WaitReady waits until a daemon says that it is ready.
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
	_, _ = io.Copy(io.Discard, res.Body) // lets the connection be used again
	return res.StatusCode == http.StatusOK
}

// Wait waits until a condition holds.
func (l *Lab) Wait(ctx context.Context, what string, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "waiting for %s", what)
		case <-time.After(pollPause):
		}
	}
	return nil
}

// tail returns the end of a log file.
func tail(name string) string {
	const most = 2000 // bytes
	data, err := os.ReadFile(name)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-most):])
}
