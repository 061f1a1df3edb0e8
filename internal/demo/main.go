// Command demo starts a whole system on loopback and demonstrates a write through
// one proxy, a read of it through another, and a failover. It exits with a non-zero
// status if a step fails.
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

// Processes of the demo and their settings.
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
	demoTimeout   = 2 * time.Minute
	writeTimeout  = 3 * time.Second       // of one attempt during the failover
	retryInterval = 10 * time.Millisecond // between two attempts
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

// run starts the system, runs the steps, and stops the system. It keeps the
// directory with the logs if a step fails.
func run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "camphorpaddle-demo-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	fmt.Printf("building and starting %d control hosts, %d proxies and %d targets; logs are in %s\n",
		controls, proxies, members, dir)
	startedAt := time.Now()
	l, err := start(ctx, dir)
	if err != nil {
		return err
	}
	defer l.Stop()
	fmt.Printf("ready after %d ms\n", time.Since(startedAt).Milliseconds())
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
	out, err := l.Paddlectl(ctx, "status")
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

// writeAndRead writes a row through the first proxy and reads it through the second
// one, from a replica if one has received it.
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
	startedAt := time.Now()
	if err := insert(ctx, l.Proxies[0], 1); err != nil {
		return err
	}
	fmt.Printf("wrote order 1 through %s in %d ms, stored by a majority\n",
		l.Proxies[0].Name, time.Since(startedAt).Milliseconds())
	return readBack(ctx, l.Proxies[1], 1)
}

// readBack reads a row through a proxy in the profile session, which lets replicas
// serve a read if they have everything that the session may have written.
func readBack(ctx context.Context, p *lab.Proxy, id int64) error {
	conn, err := connect(ctx, p, map[string]string{"paddle.profile": "session", "paddle.read": "on"})
	if err != nil {
		return err
	}
	defer conn.Close(context.Background())
	startedAt := time.Now()
	var pieces int64
	err = conn.QueryRow(ctx, "SELECT pieces FROM orders WHERE id = $1", id).Scan(&pieces)
	if err != nil {
		return trace.Wrap(err, "reading order %d through %s", id, p.Name)
	}
	fmt.Printf("read order %d (%d pieces) through %s in %d ms\n", id, pieces, p.Name, time.Since(startedAt).Milliseconds())
	return nil
}

// failover kills the primary, writes until a write is acknowledged again, and reads
// the acknowledged rows.
func failover(ctx context.Context, l *lab.Lab) error {
	primary, err := l.Primary(ctx, service)
	if err != nil || primary == nil {
		return trace.Wrap(err, "getting the primary of %s", service)
	}
	fmt.Printf("killing the primary, %s\n", primary.Member)
	if err := primary.Kill(); err != nil {
		return err
	}
	killed := time.Now()
	id, err := writeUntilAcknowledged(ctx, l)
	if err != nil {
		return err
	}
	fmt.Printf("writes are accepted again: failover gap %d ms\n", time.Since(killed).Milliseconds())
	for _, written := range []int64{1, id} {
		if err := readBack(ctx, l.Proxies[3], written); err != nil {
			return err
		}
	}
	return nil
}

// writeUntilAcknowledged writes new rows until one is acknowledged and returns its
// id.
func writeUntilAcknowledged(ctx context.Context, l *lab.Lab) (int64, error) {
	var lastErr error
	for id := int64(2); ctx.Err() == nil; id++ {
		attempt, cancel := context.WithTimeout(ctx, writeTimeout)
		lastErr = insert(attempt, l.Proxies[2], id)
		cancel()
		if lastErr == nil {
			return id, nil
		}
		time.Sleep(retryInterval)
	}
	return 0, trace.Wrap(lastErr, "no write was acknowledged after the primary was killed")
}
