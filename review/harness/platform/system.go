// Package harness starts the programs of a small deployment as processes, with stand-ins
// of the platform, the members and the clients, for the cases of the second review.
package harness

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// program is the binary that the build of the deploy file produces.
const program = "target/paddle-platform"

// maxRecordLine cuts long statements in the record.
const maxRecordLine = 2000

// Record writes what happens in a case to a file, with the time since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	if len(line) > maxRecordLine {
		line = line[:maxRecordLine] + " ..."
	}
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), line)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// System is a deployment on loopback addresses.
type System struct {
	Record   *Record
	Control  []string // addresses of the operators' interface
	Platform *Platform

	MemoryMB int // limit of each proxy, in its settings

	folder string
	subnet string
	ports  ports
	hosts  map[string]*Host
}

// ports are the same on all hosts.
type ports struct{ operator, peer, callers, ready int }

// Host is one process and its settings.
type Host struct {
	Name string
	Role string
	IP   string
	data string
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

// NewSystem reserves addresses for a number of control hosts and proxies.
func NewSystem(r *Record, control, proxies int) (*System, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &System{Record: r, folder: folder, hosts: map[string]*Host{}, MemoryMB: 284}
	s.subnet = fmt.Sprintf("127.%d.%d", 90+os.Getpid()%100, os.Getpid()/100%250+1)
	if s.ports, err = s.freePorts(); err != nil {
		return nil, err
	}
	for i := range control {
		h := &Host{Name: fmt.Sprintf("core-%d", i+1), Role: "control", IP: fmt.Sprintf("%s.%d", s.subnet, i+1)}
		h.data = filepath.Join(folder, h.Name+"-disk")
		s.hosts[h.Name] = h
		s.Control = append(s.Control, fmt.Sprintf("%s:%d", h.IP, s.ports.operator))
	}
	for i := range proxies {
		h := &Host{Name: fmt.Sprintf("frontend-%d", i+1), Role: "proxy", IP: fmt.Sprintf("%s.%d", s.subnet, i+21)}
		s.hosts[h.Name] = h
	}
	if s.Platform, err = newPlatform(s.subnet+".100", r); err != nil {
		return nil, err
	}
	return s, nil
}

// freePorts finds ports that are free on the first addresses of the subnet.
func (s *System) freePorts() (ports, error) {
	var found []int
	for len(found) < 3 {
		l, err := net.Listen("tcp", s.subnet+".1:0")
		if err != nil {
			return ports{}, err
		}
		defer l.Close()
		found = append(found, l.Addr().(*net.TCPAddr).Port)
	}
	for peer := 21440; peer < 30000; peer += 20 {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", s.subnet, peer))
		if err != nil {
			continue
		}
		_ = l.Close()
		return ports{operator: found[0], callers: found[1], ready: found[2], peer: peer}, nil
	}
	return ports{}, fmt.Errorf("no free port for the processes")
}

// Callers returns the address at which a proxy serves clients.
func (s *System) Callers(name string) string {
	return fmt.Sprintf("%s:%d", s.hosts[name].IP, s.ports.callers)
}

// Ready returns the address at which a proxy answers the ready probe.
func (s *System) Ready(name string) string {
	return fmt.Sprintf("%s:%d", s.hosts[name].IP, s.ports.ready)
}

// Start starts a process. first says that the whole system starts for the first time.
func (s *System) Start(name string, first bool) error {
	h := s.hosts[name]
	path := filepath.Join(s.folder, name+".toml")
	if err := os.WriteFile(path, []byte(s.settings(h, first)), 0o600); err != nil {
		return err
	}
	if h.data != "" {
		if err := os.MkdirAll(h.data, 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, h.Role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CAMPHORPADDLE_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.cmd, h.done, h.log = cmd, done, log
	go func() {
		err := cmd.Wait()
		s.Record.Add("process %s ended: %v", name, err)
		_ = log.Close()
		close(done)
	}()
	s.Record.Add("process %s started, bootstrap=%v", name, first)
	return nil
}

// Signal sends a signal to a process that was started.
func (s *System) Signal(name string, sig syscall.Signal) {
	s.Record.Add("signal %v to %s", sig, name)
	_ = s.hosts[name].cmd.Process.Signal(sig)
}

// Kill kills a process and waits for its end.
func (s *System) Kill(name string) {
	s.Signal(name, syscall.SIGKILL)
	<-s.hosts[name].done
}

// EmptyDisk makes the next start of a control host use an empty data folder.
func (s *System) EmptyDisk(name string) {
	h := s.hosts[name]
	h.data += "-next"
	s.Record.Add("%s gets an empty disk", name)
}

// Running reports whether a process that was started runs still.
func (s *System) Running(name string) bool {
	h := s.hosts[name]
	if h.cmd == nil {
		return false
	}
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

// Resident returns the resident memory of a process in MB, or zero if it doesn't run.
func (s *System) Resident(name string) int {
	if !s.Running(name) {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", s.hosts[name].cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// Stop ends all processes and removes the temporary folder.
func (s *System) Stop() {
	for _, h := range s.hosts {
		if h.cmd == nil {
			continue
		}
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, h := range s.hosts {
		if h.cmd == nil {
			continue
		}
		select {
		case <-h.done:
		case <-time.After(8 * time.Second):
			_ = h.cmd.Process.Kill()
			<-h.done
		}
	}
	s.Platform.close()
	if keep := os.Getenv("KEEP"); keep != "" {
		return
	}
	_ = os.RemoveAll(s.folder)
}

// settings returns the settings file of a host, with the fields and names that the pages
// give for a small deployment.
func (s *System) settings(h *Host, first bool) string {
	var b bytes.Buffer
	class, memory, disk := "frontend", s.MemoryMB, 0
	if h.Role == "control" {
		class, memory, disk = "core", 280, 128
	}
	var seeds []string
	for _, a := range s.Control[:min(3, len(s.Control))] {
		seeds = append(seeds, fmt.Sprintf("%q", a))
	}
	serves := map[string]string{"proxy": "frontend", "control": "control"}[h.Role]
	fmt.Fprintf(&b, `node_name = %q
role = %q
machine_class = %q
serves = [%q]
ip = %q
zone = "zone-a"
region = "region-a"
internal_ports = [%d,%d]
seeds = [%s]
bootstrap = %v
count_in_tolerance = %v
`, h.Name, h.Role, class, serves, h.IP, s.ports.peer, s.ports.peer+15, strings.Join(seeds, ","), first, h.Role == "control")
	if h.data != "" {
		fmt.Fprintf(&b, "data_dir = %q\n", h.data)
	}
	fmt.Fprintf(&b, `discovery = "registry"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","sql"]
config_mode = "highest"
[zones]
zone-a = "region-a"
[listen]
`)
	if h.Role == "control" {
		fmt.Fprintf(&b, "control = \"%s:%d\"\n", h.IP, s.ports.operator)
	} else {
		fmt.Fprintf(&b, "frontend = \"%s:%d\"\nready = \"%s:%d\"\n", h.IP, s.ports.callers, h.IP, s.ports.ready)
	}
	fmt.Fprintf(&b, `[limits]
cpu_share = 0.96
cores = 1
memory_mb = %d
max_fds = 4300
link_mbps = 1000.0
disk_mb = %d
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 7000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_stretch_ms = 12000
recovery_s = 12
enforce_fencing = true
thaw_slack_ms = 300
[cloud]
address = %q
rate_per_s = 50.0
duties = ["promotion"]
duty_per_s = 50.0
`, memory, disk, s.Platform.Address())
	return b.String()
}

// HostAt returns the name of the control host whose operators' interface has an address.
func (s *System) HostAt(address string) string {
	for name, h := range s.hosts {
		if fmt.Sprintf("%s:%d", h.IP, s.ports.operator) == address {
			return name
		}
	}
	return ""
}
