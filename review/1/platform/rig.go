package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is what the deploy file builds.
const program = "target/paddle-platform"

// errBroken says that a rule was broken, so that the case failed.
var errBroken = errors.New("a rule was broken")

// rig runs the programs of a small deployment with stand-ins for everything else.
type rig struct {
	folder   string
	subnet   string // first three numbers of all addresses
	ports    map[string]int
	trouble  bool
	started  time.Time
	service  *promotionService
	platform net.Listener
	groups   []*group
	hosts    []*host

	mu   sync.Mutex
	text bytes.Buffer // the record
}

// host is one process of the system.
type host struct {
	name, role, ip, zone string
	cmd                  *exec.Cmd
	exited               chan struct{}
	log                  *os.File
}

// newRig reserves a subnet of loopback addresses and starts the platform.
func newRig(trouble bool) (*rig, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &rig{
		folder: folder, trouble: trouble, started: time.Now(), ports: map[string]int{},
		subnet: fmt.Sprintf("127.%d.%d", 100+os.Getpid()/250%100, 1+os.Getpid()%250),
	}
	if err := r.choosePorts(); err != nil {
		return nil, err
	}
	r.service = &promotionService{rig: r, highest: map[string]uint64{}, late: map[string]time.Duration{}}
	if r.platform, err = net.Listen("tcp", r.ip(200)+":0"); err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(r.platform, r.service) }()
	for i, zone := range []string{"kranj-shop", "celje-shop", "koper-shop"} {
		r.hosts = append(r.hosts, &host{name: fmt.Sprintf("core-%d", i+1), role: "control", ip: r.ip(i + 1), zone: zone})
	}
	for i, zone := range []string{"kranj-shop", "kranj-shop", "celje-shop", "koper-shop"} {
		r.hosts = append(r.hosts, &host{name: fmt.Sprintf("front-%d", i+1), role: "proxy", ip: r.ip(i + 11), zone: zone})
	}
	return r, nil
}

// choosePorts chooses free ports, which are the same on all hosts.
func (r *rig) choosePorts() error {
	for _, name := range []string{"control", "frontend", "ready", "internal"} {
		l, err := net.Listen("tcp", r.ip(250)+":0")
		if err != nil {
			return err
		}
		r.ports[name] = l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
	}
	return nil
}

func (r *rig) ip(n int) string { return fmt.Sprintf("%s.%d", r.subnet, n) }

func (r *rig) address(h *host, port string) string { return fmt.Sprintf("%s:%d", h.ip, r.ports[port]) }

// host returns the host with a name.
func (r *rig) host(name string) *host {
	for _, h := range r.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// controlAddresses returns the addresses at which the control hosts serve operators.
func (r *rig) controlAddresses() []string {
	var out []string
	for _, h := range r.hosts {
		if h.role == "control" {
			out = append(out, r.address(h, "control"))
		}
	}
	return out
}

// record writes a line to the record.
func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.text, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// startAll starts the processes and the members, sends the first configuration and
// waits until all proxies are ready.
func (r *rig) startAll(config string) error {
	for _, h := range r.hosts {
		if err := r.startHost(h); err != nil {
			return err
		}
	}
	if err := r.put(config); err != nil {
		return err
	}
	for _, g := range r.groups {
		g.start()
	}
	for _, h := range r.hosts {
		if h.role == "proxy" {
			if err := r.awaitReady(h); err != nil {
				return err
			}
		}
	}
	time.Sleep(3 * time.Second) // until the proxies know the members
	return nil
}

func (r *rig) startHost(h *host) error {
	path := filepath.Join(r.folder, h.name+".toml")
	if err := os.WriteFile(path, []byte(r.settings(h)), 0o600); err != nil {
		return err
	}
	var err error
	if h.log, err = os.Create(filepath.Join(r.folder, h.name+".log")); err != nil {
		return err
	}
	h.cmd = exec.Command(program, h.role)
	h.cmd.Env = append(os.Environ(), "CAMPHORPADDLE_BOOT="+path)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := h.cmd, make(chan struct{})
	h.exited = exited
	go func() {
		_ = cmd.Wait() // the case doesn't depend on the exit status
		close(exited)
	}()
	return nil
}

// settings returns the settings file of a process.
func (r *rig) settings(h *host) string {
	var b strings.Builder
	seeds := `"` + strings.Join(r.controlAddresses(), `","`) + `"`
	fmt.Fprintf(&b, "node_name = %q\nrole = %q\nip = %q\nzone = %q\nregion = \"gorenjska\"\n", h.name, h.role, h.ip, h.zone)
	fmt.Fprintf(&b, "internal_ports = [%d,%d]\nseeds = [%s]\nbootstrap = true\nheartbeat_ms = 1200\n", r.ports["internal"], r.ports["internal"]+15, seeds)
	if h.role == "control" {
		fmt.Fprintf(&b, "machine_class = \"core\"\nserves = [\"control\"]\ndata_dir = %q\n", filepath.Join(r.folder, h.name))
		fmt.Fprintf(&b, "[listen]\ncontrol = %q\n", r.address(h, "control"))
	} else {
		fmt.Fprintf(&b, "machine_class = \"frontend\"\nserves = [\"frontend\"]\n")
		fmt.Fprintf(&b, "[listen]\nfrontend = %q\nready = %q\n", r.address(h, "frontend"), r.address(h, "ready"))
	}
	b.WriteString(`[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 5000
ack_ms = 6000
catch_up_s = 4
drain_ms = 7000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_stretch_ms = 15000
recovery_s = 12
enforce_fencing = true
thaw_slack_ms = 300
`)
	fmt.Fprintf(&b, "[cloud]\naddress = %q\nrate_per_s = 50.0\nduties = [\"promotion\"]\nduty_per_s = 50.0\n", r.platform.Addr())
	return b.String()
}

// put sends a configuration until a control host acknowledges it.
func (r *rig) put(config string) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, address := range r.controlAddresses() {
			resp, err := client.Post("http://"+address+"/config/put", "application/json", strings.NewReader(config))
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				r.record("operator: acknowledged: %s", config)
				return nil
			}
		}
	}
	return errors.New("the configuration was not acknowledged")
}

func (r *rig) awaitReady(h *host) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + r.address(h, "ready") + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", h.name)
}

// close ends all processes that the rig started and removes its folder.
func (r *rig) close(keep bool) {
	for _, h := range r.hosts {
		if h.cmd == nil || h.cmd.Process == nil {
			continue
		}
		_ = h.cmd.Process.Signal(syscall.SIGCONT) // fails if it has exited
		_ = h.cmd.Process.Signal(syscall.SIGTERM)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	for _, h := range r.hosts {
		if h.exited == nil {
			continue
		}
		select {
		case <-h.exited:
		case <-ctx.Done():
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
		_ = h.log.Close()
	}
	_ = r.platform.Close()
	if !keep {
		_ = os.RemoveAll(r.folder)
	}
}
