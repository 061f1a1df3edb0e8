package e2e

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/camphorpaddle/camphorpaddle/internal/lab"
)

// relayVariable is the environment variable that makes this test program run as a
// relay to the address in its value.
const relayVariable = "CAMPHORPADDLE_E2E_RELAY"

// clockTicksPerSecond is the unit of CPU times in /proc (USER_HZ).
const clockTicksPerSecond = 100

// relay forwards connections to one address. It prints its own address first.
func relay(target string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	for {
		caller, err := l.Accept()
		if err != nil {
			return err
		}
		callee, err := net.Dial("tcp", target)
		if err != nil {
			return err
		}
		go copyBytes(caller, callee)
		go copyBytes(callee, caller)
	}
}

// copyBytes copies one direction of a connection and closes the destination.
func copyBytes(to, from net.Conn) {
	defer to.Close()
	_, _ = io.Copy(to, from) // closing to makes the other direction end as well
}

// startRelay runs this test program as a relay and returns its address and process
// id.
func startRelay(b *testing.B, target string) (string, int) {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), relayVariable+"="+target)
	out, err := cmd.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, cmd.Start())
	b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	var address string
	_, err = fmt.Fscanln(out, &address)
	assert.NilError(b, err)
	return address, cmd.Process.Pid
}

// cpuTime returns the CPU time that a process has used.
func cpuTime(b *testing.B, pid int) time.Duration {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(b, err)
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12 // indexes after the process name
	var ticks int64
	for _, i := range []int{user, system} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		assert.NilError(b, err)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}

// route is a connection path to the primary.
type route struct {
	name string
	url  string
	pid  int // process between caller and target; 0 if there is none
}

// BenchmarkStatement compares statements that are sent directly, through a plain TCP
// relay and through a proxy, with an increasing number of sessions.
func BenchmarkStatement(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := startBench(ctx, b)
	primary, err := l.Primary(ctx, service)
	assert.NilError(b, err)
	relayAddress, relayPid := startRelay(b, primary.Address)
	direct := "postgres://caller@%s/" + service + "?sslmode=disable"
	routes := []route{
		{"direct", fmt.Sprintf(direct, primary.Address), 0},
		{"relay", fmt.Sprintf(direct, relayAddress), relayPid},
		{"proxy", url(l.Proxies[0], "&paddle.profile=strict"), l.Proxies[0].Pid()},
	}
	setup, err := pgx.Connect(ctx, routes[0].url)
	assert.NilError(b, err)
	defer setup.Close(ctx)
	_, err = setup.Exec(ctx, "CREATE TABLE orders (id BIGINT PRIMARY KEY, part TEXT)")
	assert.NilError(b, err)
	var id atomic.Int64
	for _, sessions := range []int{1, 4, 12} {
		for _, r := range routes {
			b.Run(fmt.Sprintf("read/sessions=%d/%s", sessions, r.name), func(b *testing.B) {
				measure(ctx, b, r, sessions, "paddle.read", func(conn *pgx.Conn) error {
					var n int
					return conn.QueryRow(ctx, "SELECT count(*) FROM orders WHERE id = $1", 1).Scan(&n)
				})
			})
			b.Run(fmt.Sprintf("write/sessions=%d/%s", sessions, r.name), func(b *testing.B) {
				measure(ctx, b, r, sessions, "", func(conn *pgx.Conn) error {
					_, err := conn.Exec(ctx, "INSERT INTO orders (id, part) VALUES ($1, 'p')", id.Add(1))
					return err
				})
			})
		}
	}
}

// startBench starts one control host, one proxy and a group of three targets.
func startBench(ctx context.Context, b *testing.B) *lab.Lab {
	b.Helper()
	config, err := filepath.Abs("../examples/magnolia/config.yaml")
	assert.NilError(b, err)
	l, err := lab.Start(ctx, lab.Config{
		Dir: b.TempDir(), Bin: bin, Controls: 1, Proxies: 1, ConfigFile: config,
		Services: []lab.Service{{Name: service, Members: 3, Slots: 3, Connections: 40}},
	})
	assert.NilError(b, err)
	b.Cleanup(func() { stop(l) })
	return l
}

// measure runs a statement concurrently in a number of sessions and reports the CPU
// time per statement of the process between caller and target. If parameter is not
// empty, sessions through the proxy set it to on.
func measure(ctx context.Context, b *testing.B, r route, sessions int, parameter string, run func(*pgx.Conn) error) {
	conns := make([]*pgx.Conn, sessions)
	for i := range conns {
		conn, err := pgx.Connect(ctx, r.url)
		assert.NilError(b, err)
		defer conn.Close(ctx)
		if parameter != "" && r.name == "proxy" {
			_, err = conn.Exec(ctx, "SET "+parameter+" = on")
			assert.NilError(b, err)
		}
		assert.NilError(b, run(conn)) // prepares the statement
		conns[i] = conn
	}
	var before time.Duration
	if r.pid != 0 {
		before = cpuTime(b, r.pid)
	}
	b.ResetTimer()
	var running sync.WaitGroup
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	for _, conn := range conns {
		running.Go(func() {
			for remaining.Add(-1) >= 0 {
				if err := run(conn); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	running.Wait()
	b.StopTimer()
	if r.pid != 0 {
		used := cpuTime(b, r.pid) - before
		b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
	}
}
