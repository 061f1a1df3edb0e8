// Package rig3 starts the project's own programs as processes on loopback addresses,
// between stand-ins of members, of the platform and of clients, and records what they
// send, answer and run. The cases in review/11 and after use it.
package rig3

import (
	"errors"
	"fmt"
	"math/rand/v2"
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

// Exit codes of a case.
const (
	ExitHeld   = 0 // the rule held
	ExitBroken = 1 // the rule was broken
	ExitFailed = 2 // the case couldn't run
)

// program is the program of the deploy file, seen from the project's root.
const program = "target/paddle-platform"

// Record is the file that says what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in the folder of a case.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: f, start: time.Now()}, err
}

// Printf adds a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Print adds a line to the record and to standard output.
func (r *Record) Print(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Options says what a system consists of.
type Options struct {
	Proxies  int
	MemoryMB int // of a proxy
	MaxFDs   int // of a proxy
}

// System is the processes of one deployment and the addresses of the stand-ins.
type System struct {
	Record  *Record
	Options Options

	folder  string
	subnet  string
	ports   ports
	mu      sync.Mutex
	process map[string]*exec.Cmd
	ended   map[string]bool // processes that ended
	stopped map[string]bool // processes that were told to end
}

type ports struct{ control, callers, ready, internal, member, platform int }

// Hosts of the last byte of an address.
const (
	firstControl  = 11
	firstProxy    = 21
	firstMember   = 41
	platformHost  = 101
	controlHosts  = 3
	internalPorts = 8
)

// NewSystem finds free addresses and makes a temporary folder.
func NewSystem(r *Record, o Options) (*System, error) {
	if o.MemoryMB == 0 {
		o.MemoryMB = 414
	}
	if o.MaxFDs == 0 {
		o.MaxFDs = 4096
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &System{
		Record: r, Options: o, folder: folder, process: make(map[string]*exec.Cmd),
		ended: make(map[string]bool), stopped: make(map[string]bool),
	}
	for range 50 {
		s.subnet = fmt.Sprintf("127.%d.%d.", 64+rand.IntN(60), 1+rand.IntN(250))
		base := 20000 + rand.IntN(20000)
		s.ports = ports{control: base, callers: base + 1, ready: base + 2, member: base + 3, platform: base + 4, internal: base + 10}
		if s.free() {
			return s, nil
		}
	}
	return nil, errors.New("found no free addresses")
}

func (s *System) free() bool {
	for host := firstControl; host <= platformHost; host++ {
		for _, port := range []int{s.ports.control, s.ports.callers, s.ports.ready, s.ports.internal, s.ports.member, s.ports.platform} {
			l, err := net.Listen("tcp", s.address(host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (s *System) address(host, port int) string { return fmt.Sprintf("%s%d:%d", s.subnet, host, port) }

// ControlAddress returns the address of the operators' interface of a control host.
func (s *System) ControlAddress(i int) string { return s.address(firstControl+i, s.ports.control) }

// CallersAddress returns the address at which a proxy takes clients.
func (s *System) CallersAddress(i int) string { return s.address(firstProxy+i, s.ports.callers) }

// ReadyAddress returns the address of a proxy's readiness.
func (s *System) ReadyAddress(i int) string { return s.address(firstProxy+i, s.ports.ready) }

// MemberAddress returns the address of a member.
func (s *System) MemberAddress(i int) string { return s.address(firstMember+i, s.ports.member) }

// PlatformAddress returns the address of the platform.
func (s *System) PlatformAddress() string { return s.address(platformHost, s.ports.platform) }

// ControlAddresses returns those of all control hosts.
func (s *System) ControlAddresses() []string {
	var out []string
	for i := range controlHosts {
		out = append(out, s.ControlAddress(i))
	}
	return out
}

var zones = []string{"kranj-shop", "celje-shop", "koper-shop"}

// settings returns a settings file like those of kovacic-booths.
func (s *System) settings(name string, control bool, host int, bootstrap bool) string {
	var seeds []string
	for _, a := range s.ControlAddresses() {
		seeds = append(seeds, fmt.Sprintf("%q", a))
	}
	class, serves, memory, fds := "frontend", "frontend", s.Options.MemoryMB, s.Options.MaxFDs
	listen := fmt.Sprintf("frontend = %q\nready = %q\n", s.address(host, s.ports.callers), s.address(host, s.ports.ready))
	data := ""
	if control {
		class, serves, memory, fds = "core", "control", 280, 4096
		listen = fmt.Sprintf("control = %q\n", s.address(host, s.ports.control))
		data = fmt.Sprintf("data_dir = %q\n", filepath.Join(s.folder, name+"-data"))
	}
	return fmt.Sprintf(`node_name = %q
role = %q
machine_class = %q
serves = [%q]
ip = "%s%d"
zone = %q
region = "gorenjska"
internal_ports = [%d,%d]
seeds = [%s]
bootstrap = %v
count_in_tolerance = %v
discovery = "registry"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","sql"]
config_mode = "highest"
%s[zones]
kranj-shop = "gorenjska"
celje-shop = "savinjska"
koper-shop = "obalna"
[listen]
%s[limits]
cpu_share = 0.8
cores = 1
memory_mb = %d
max_fds = %d
link_mbps = 2000.0
disk_mb = 128
[fault_tolerance]
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
[cloud]
address = %q
rate_per_s = 50.0
duties = ["promotion"]
duty_per_s = 50.0
`, name, class, class, serves, s.subnet, host, zones[host%len(zones)], s.ports.internal, s.ports.internal+internalPorts-1,
		strings.Join(seeds, ","), bootstrap, control, data, listen, memory, fds, s.PlatformAddress())
}

// Leader returns the control host that answers reads of the configuration itself, or -1.
func (s *System) Leader() int {
	client := &http.Client{
		Timeout:       time.Second,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for i, a := range s.ControlAddresses() {
		resp, err := client.Get("http://" + a + "/config/get")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return i
		}
	}
	return -1
}

// Start starts all control hosts and proxies for the first time.
func (s *System) Start() error {
	for i := range controlHosts {
		if err := s.startProcess(ControlName(i), "control", s.settings(ControlName(i), true, firstControl+i, true)); err != nil {
			return err
		}
	}
	for i := range s.Options.Proxies {
		if err := s.startProcess(ProxyName(i), "proxy", s.settings(ProxyName(i), false, firstProxy+i, true)); err != nil {
			return err
		}
	}
	return nil
}

// RestartControl starts a control host again that has ended, with its disk.
func (s *System) RestartControl(i int) error {
	return s.startProcess(ControlName(i), "control", s.settings(ControlName(i), true, firstControl+i, false))
}

// RestartProxy starts a proxy again that has ended.
func (s *System) RestartProxy(i int) error {
	return s.startProcess(ProxyName(i), "proxy", s.settings(ProxyName(i), false, firstProxy+i, false))
}

// ControlName returns the name of a control host.
func ControlName(i int) string { return fmt.Sprint("core-", i+1) }

// ProxyName returns the name of a proxy.
func ProxyName(i int) string { return fmt.Sprint("frontend-", i+1) }

func (s *System) startProcess(name, role, settings string) error {
	boot := filepath.Join(s.folder, name+".toml")
	if err := os.WriteFile(boot, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, role)
	cmd.Env = []string{"CAMPHORPADDLE_BOOT=" + boot, "PATH=" + os.Getenv("PATH"), "HOME=" + s.folder, "LANG=C"}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", name, err)
	}
	s.mu.Lock()
	s.process[name] = cmd
	s.ended[name], s.stopped[name] = false, false
	s.mu.Unlock()
	s.Record.Printf("%s started", name)
	go func() {
		err := cmd.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.process[name] == cmd {
			s.ended[name] = true
		}
		s.Record.Printf("%s ended: %v", name, err)
	}()
	return nil
}

// Ended reports whether a process has ended although it was not told to.
func (s *System) Ended(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended[name] && !s.stopped[name]
}

// Signal sends a signal to a process.
func (s *System) Signal(name string, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Record.Printf("%s gets %s", name, sig)
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		s.stopped[name] = true
	}
	if c := s.process[name]; c != nil && !s.ended[name] {
		_ = c.Process.Signal(sig)
	}
}

// Resident returns the resident memory of a process in MB.
func (s *System) Resident(name string) int {
	s.mu.Lock()
	cmd := s.process[name]
	s.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// Close ends all processes and removes the folder, unless KEEP is set.
func (s *System) Close() {
	s.mu.Lock()
	for name, c := range s.process {
		if !s.ended[name] {
			s.stopped[name] = true
			_ = c.Process.Signal(syscall.SIGCONT)
			_ = c.Process.Kill()
		}
	}
	s.mu.Unlock()
	for range 100 {
		s.mu.Lock()
		all := true
		for name := range s.process {
			all = all && s.ended[name]
		}
		s.mu.Unlock()
		if all {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept", s.folder)
	}
}

// Main runs a case: it returns whether the rule held, or an error if the case couldn't
// run. A case must end within limit.
func Main(folder string, limit time.Duration, trouble bool, run func(r *Record, trouble bool) (held bool, err error)) {
	r, err := NewRecord(folder)
	if err != nil {
		fmt.Println(err)
		os.Exit(ExitFailed)
	}
	type result struct {
		held bool
		err  error
	}
	done := make(chan result, 1)
	go func() {
		held, err := run(r, trouble)
		done <- result{held, err}
	}()
	res := result{err: errors.New("the case took too long")}
	select {
	case res = <-done:
	case <-time.After(limit):
		CloseAll()
	}
	switch {
	case res.err != nil:
		r.Print("the case couldn't run: %v", res.err)
		os.Exit(ExitFailed)
	case res.held:
		r.Print("the rule held")
		os.Exit(ExitHeld)
	}
	r.Print("the rule was broken")
	os.Exit(ExitBroken)
}

var (
	openMu sync.Mutex
	open   []*System
)

// CloseAtExit has CloseAll close a system.
func CloseAtExit(s *System) {
	openMu.Lock()
	defer openMu.Unlock()
	open = append(open, s)
}

// CloseAll closes the systems of CloseAtExit.
func CloseAll() {
	openMu.Lock()
	defer openMu.Unlock()
	for _, s := range open {
		s.Close()
	}
	open = nil
}
