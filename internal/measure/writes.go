package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/camphorpaddle/camphorpaddle/internal/lab"
	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// measureWrites prints the latency of writes for each durability.
func measureWrites(ctx context.Context, l *lab.Lab, runs int) error {
	if err := addPrimaryProfile(ctx, l); err != nil {
		return err
	}
	w := &writer{lab: l}
	if err := w.createTable(ctx); err != nil {
		return err
	}
	w.close()
	for i, profile := range []string{"strict", "primary-only"} {
		if err := timeWrites(ctx, l, profile, i*runs, runs); err != nil {
			return err
		}
	}
	return nil
}

// addPrimaryProfile applies the configuration with an additional profile whose writes
// are acknowledged by the primary alone.
func addPrimaryProfile(ctx context.Context, l *lab.Lab) error {
	data, err := os.ReadFile(configFile)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	const profile = "profiles:\n  primary-only: {freshness: primary, durability: primary}\n"
	text := strings.Replace(string(data), "\nprofiles:\n", "\n"+profile, 1)
	text = strings.ReplaceAll(text, "profiles: [strict,", "profiles: [primary-only, strict,")
	name := filepath.Join(l.Dir(), "config.yaml")
	if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = l.Paddlectl(ctx, "config", "apply", "--wait", name)
	return err
}

// timeWrites writes rows one after the other in one session and prints the latency of
// the acknowledged writes and the SQLSTATEs of the refused ones.
func timeWrites(ctx context.Context, l *lab.Lab, profile string, first, runs int) error {
	cfg, err := pgx.ParseConfig(fmt.Sprintf(
		"postgres://measure@%s/%s?sslmode=disable", l.Proxies[0].CallerAddress, service))
	if err != nil {
		return trace.Wrap(err)
	}
	cfg.RuntimeParams["paddle.profile"] = profile
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		return trace.Wrap(err)
	}
	defer conn.Close(ctx)
	var latencies []time.Duration
	refused := make(map[string]int)
	for i := range runs {
		start := time.Now()
		_, err := conn.Exec(ctx, "INSERT INTO orders (id, pieces) VALUES ($1, 1)", int64(first+i+1))
		var refusal *pgconn.PgError
		switch {
		case errors.As(err, &refusal):
			refused[refusal.Code]++
		case err != nil:
			return trace.Wrap(err)
		default:
			latencies = append(latencies, time.Since(start))
		}
	}
	for code, n := range refused {
		fmt.Printf("profile %s: %d writes refused with SQLSTATE %s\n", profile, n, code)
	}
	if len(latencies) > 0 {
		printDurations("write in profile "+profile, latencies)
	}
	return nil
}
