package e2e

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/camphorpaddle/camphorpaddle/internal/lab"
)

const codeInvalidPassword = "28P01"

// applyKeys applies the example configuration with organisation mill and its keys, and
// waits until it is in effect.
func applyKeys(ctx context.Context, t *testing.T, l *lab.Lab, keys string) {
	t.Helper()
	base, err := os.ReadFile("../examples/magnolia/config.yaml")
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "config.yaml")
	text := fmt.Sprintf("%s\norganisations:\n  mill: {keys: [%s]}\n", base, keys)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	out, err := l.Paddlectl(ctx, "config", "apply", "--wait", file)
	assert.NilError(t, err, out)
}

func connectWithKey(ctx context.Context, t *testing.T, p *lab.Proxy, key string) (*pgx.Conn, error) {
	t.Helper()
	config, err := pgx.ParseConfig(url(p, ""))
	assert.NilError(t, err)
	config.Password = key
	conn, err := pgx.ConnectConfig(ctx, config)
	if err == nil {
		t.Cleanup(func() { conn.Close(context.Background()) })
	}
	return conn, err
}

// TestKeyIsTakenAway takes a key away from an idle session and from one with an open
// transaction, and looks for keys in what the processes wrote.
func TestKeyIsTakenAway(t *testing.T) {
	ctx, l := start(t, 3, 1)
	proxy := l.Proxies[0]
	createTable(ctx, t, proxy)
	before := connect(ctx, t, proxy, "")
	const first, second = "secret-of-mill-0001", "secret-of-mill-0002"
	applyKeys(ctx, t, l, first)
	_, err := before.Exec(ctx, "SELECT count(*) FROM orders")
	assert.Equal(t, code(err), codeInvalidPassword, "a session without a key is served on")
	for _, key := range []string{"", "secret-of-nobody"} {
		_, err = connectWithKey(ctx, t, proxy, key)
		assert.Equal(t, code(err), codeInvalidPassword)
	}
	idle, err := connectWithKey(ctx, t, proxy, first)
	assert.NilError(t, err)
	execute(ctx, t, idle, "INSERT INTO orders (id) VALUES (1)")
	open, err := connectWithKey(ctx, t, proxy, first)
	assert.NilError(t, err)
	execute(ctx, t, open, "BEGIN")
	execute(ctx, t, open, "INSERT INTO orders (id) VALUES (2)")

	applyKeys(ctx, t, l, second)
	for _, conn := range []*pgx.Conn{open, idle} {
		_, err = conn.Exec(ctx, "SELECT count(*) FROM orders")
		assert.Equal(t, code(err), codeInvalidPassword)
		assert.Assert(t, conn.IsClosed())
	}
	_, err = connectWithKey(ctx, t, proxy, first)
	assert.Equal(t, code(err), codeInvalidPassword)
	fresh, err := connectWithKey(ctx, t, proxy, second)
	assert.NilError(t, err)
	var n int
	assert.NilError(t, fresh.QueryRow(ctx, "SELECT count(*) FROM orders").Scan(&n))
	assert.Equal(t, n, 1, "the open transaction was not rolled back")
	checkKeysAreHidden(ctx, t, l)
}

// checkKeysAreHidden looks for keys in the output of paddlectl and in the logs.
func checkKeysAreHidden(ctx context.Context, t *testing.T, l *lab.Lab) {
	t.Helper()
	shown, err := l.Paddlectl(ctx, "config", "show")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(shown, "mill") && !strings.Contains(shown, "secret"), shown)
	shown, err = l.Paddlectl(ctx, "config", "show", "--keys")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(shown, "secret-of-mill-0002"), shown)
	logs, err := filepath.Glob(filepath.Join(l.Dir(), "*.log"))
	assert.NilError(t, err)
	assert.Assert(t, len(logs) > 3)
	for _, file := range logs {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(text), "secret"), "%s states a key", file)
	}
}
