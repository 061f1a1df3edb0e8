// Command demo starts a whole system on loopback and shows what it does: a
// write through one proxy, the read of it through another, and a failover. It
// ends with a non-zero status if any step fails.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/camphorpaddle/camphorpaddle/internal/lab"
	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5"
)

// What the demo consists of.
const (
	configFile  = "examples/magnolia/config.yaml"
	service     = "spares-ledger-stock"
	controls    = 3
	proxies     = 4
	members     = 3
	slots       = 3
	connections = 20
	connectCost = 12 * time.Millisecond
	replicaLag  = 20 * time.Millisecond
)

// Timing of the demo.
const (
	demoTimeout  = 2 * time.Minute
	writeTimeout = 3 * time.Second       // of one attempt during the failover
	writePause   = 10 * time.Millisecond // between attempts
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "demo failed: %s\n", trace.UserMessage(err))
		os.Exit(1)
	}
	fmt.Println("demo passed")
}

// run starts the system, takes the steps, and stops the system.
func run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "camphorpaddle-demo-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	fmt.Printf("building and starting %d control hosts, %d proxies and %d targets; logs are in %s\n",
		controls, proxies, members, dir)
	began := time.Now()
	l, err := start(ctx, dir)
	if err != nil {
		return err
	}
	defer l.Stop()
	fmt.Printf("ready after %d ms\n", time.Since(began).Milliseconds())
	for _, step := range []func(context.Context, *lab.Lab) error{
		showStatus, writeAndRead, failover, showStatus,
	} {
		if err := step(ctx, l); err != nil {
			return err
		}
	}
	l.Stop()
	return trace.ConvertSystemError(os.RemoveAll(dir))
}

func start(ctx context.Context, dir string) (*lab.Lab, error) {
	config, err := filepath.Abs(configFile)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return lab.Start(ctx, lab.Config{
		Dir: dir, Controls: controls, Proxies: proxies, ConfigFile: config,
		AvailabilityZones: []string{"gulf-a", "lowcountry-a", "delta-a"},
		Services: []lab.Service{{
			Name: service, Members: members, Slots: slots, Connections: connections,
			ConnectCost: connectCost, Lag: replicaLag,
		}},
	})
}

func showStatus(ctx context.Context, l *lab.Lab) error {
	out, err := l.Ctl(ctx, "status")
	if err != nil {
		return err
	}
	fmt.Printf("\n$ paddlectl status\n%s\n", out)
	return nil
}

// connect opens a session through a proxy.
func connect(ctx context.Context, p *lab.Proxy, params map[string]string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://demo@%s/%s?sslmode=disable", p.CallerAddress, service))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for name, value := range params {
		cfg.RuntimeParams[name] = value
	}
	conn, err := pgx.ConnectConfig(ctx, cfg)
	return conn, trace.Wrap(err, "connecting to %s", p.Name)
}

// insert writes one row through a proxy, in a session of its own.
func insert(ctx context.Context, p *lab.Proxy, id int64) error {
	conn, err := connect(ctx, p, nil)
	if err != nil {
		return err
	}
	defer conn.Close(context.Background())
	_, err = conn.Exec(ctx, "INSERT INTO orders (id, crystal, pieces) VALUES ($1, $2, $3)", id, "almond prism", 12)
	return trace.Wrap(err, "writing through %s", p.Name)
}

// writeAndRead writes a row through the first proxy and reads it through the
// second one, from a replica if one holds it.
func writeAndRead(ctx context.Context, l *lab.Lab) error {
	conn, err := connect(ctx, l.Proxies[0], nil)
	if err != nil {
		return err
	}
	defer conn.Close(context.Background())
	const create = "CREATE TABLE IF NOT EXISTS orders (id bigint PRIMARY KEY, crystal text, pieces bigint)"
	if _, err := conn.Exec(ctx, create); err != nil {
		return trace.Wrap(err, "creating the table")
	}
	began := time.Now()
	if err := insert(ctx, l.Proxies[0], 1); err != nil {
		return err
	}
	fmt.Printf("wrote order 1 through %s in %d ms, held by a majority\n",
		l.Proxies[0].Name, time.Since(began).Milliseconds())
	return readBack(ctx, l.Proxies[1], 1)
}

// readBack reads a row through a proxy in the profile that lets replicas serve
// what the session may have written.
func readBack(ctx context.Context, p *lab.Proxy, id int64) error {
	conn, err := connect(ctx, p, map[string]string{"paddle.profile": "session", "paddle.read": "on"})
	if err != nil {
		return err
	}
	defer conn.Close(context.Background())
	began := time.Now()
	var pieces int64
	err = conn.QueryRow(ctx, "SELECT pieces FROM orders WHERE id = $1", id).Scan(&pieces)
	if err != nil {
		return trace.Wrap(err, "reading order %d through %s", id, p.Name)
	}
	fmt.Printf("read order %d (%d pieces) through %s in %d ms\n", id, pieces, p.Name, time.Since(began).Milliseconds())
	return nil
}

// failover kills the primary and writes until a write is taken again.
func failover(ctx context.Context, l *lab.Lab) error {
	primary, err := l.Primary(ctx, service)
	if err != nil || primary == nil {
		return trace.Wrap(err, "asking for the primary of %s", service)
	}
	fmt.Printf("killing the primary, %s\n", primary.Member)
	if err := primary.Kill(); err != nil {
		return err
	}
	killed := time.Now()
	id, err := writeUntilTaken(ctx, l)
	if err != nil {
		return err
	}
	fmt.Printf("writes are taken again: failover gap %d ms\n", time.Since(killed).Milliseconds())
	for _, old := range []int64{1, id} {
		if err := readBack(ctx, l.Proxies[3], old); err != nil {
			return err
		}
	}
	return nil
}

// writeUntilTaken writes new rows until one is accepted and returns its id.
func writeUntilTaken(ctx context.Context, l *lab.Lab) (int64, error) {
	var last error
	for id := int64(2); ctx.Err() == nil; id++ {
		attempt, cancel := context.WithTimeout(ctx, writeTimeout)
		last = insert(attempt, l.Proxies[2], id)
		cancel()
		if last == nil {
			return id, nil
		}
		time.Sleep(writePause)
	}
	return 0, trace.Wrap(last, "no write was taken after the primary's end")
}
