package e2e

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackc/pgx/v5"
)

// TestRequestIDRunsOnce resends a request with a request id through the other proxy,
// before and after a failover, and expects the answer of the first execution.
func TestRequestIDRunsOnce(t *testing.T) {
	ctx, l := start(t, 3, 2)
	createTable(ctx, t, l.Proxies[0])
	execute(ctx, t, connect(ctx, t, l.Proxies[0], ""), "INSERT INTO orders (id, part) VALUES (1, 'prism')")
	const charge = "DELETE FROM orders WHERE part = 'prism'" // a second execution would answer DELETE 0
	send := func(conn *pgx.Conn) string {
		execute(ctx, t, conn, "SET paddle.request_id = 'charge-1'")
		tag, err := conn.Exec(ctx, charge)
		assert.NilError(t, err)
		return tag.String()
	}
	assert.Equal(t, send(connect(ctx, t, l.Proxies[0], "")), "DELETE 1")
	assert.Equal(t, send(connect(ctx, t, l.Proxies[1], "")), "DELETE 1")
	primary, err := l.Primary(ctx, service)
	assert.NilError(t, err)
	assert.NilError(t, primary.Kill())
	insertUntilAcknowledged(ctx, t, l.Proxies[1], 10)
	assert.Equal(t, send(connect(ctx, t, l.Proxies[1], "")), "DELETE 1")
	tag, err := connect(ctx, t, l.Proxies[1], "").Exec(ctx, charge)
	assert.NilError(t, err)
	assert.Equal(t, tag.String(), "DELETE 0")
}

// TestDeclaredReadDoesNotWrite checks that the primary refuses writes in a session
// that declared its statements as reads.
func TestDeclaredReadDoesNotWrite(t *testing.T) {
	ctx, l := start(t, 3, 1)
	createTable(ctx, t, l.Proxies[0])
	conn := connect(ctx, t, l.Proxies[0], "&paddle.profile=strict&paddle.read=on")
	for _, sql := range []string{"INSERT INTO orders (id) VALUES (1)", "BEGIN", "INSERT INTO orders (id) VALUES (1)"} {
		_, err := conn.Exec(ctx, sql)
		if sql == "BEGIN" {
			assert.NilError(t, err)
			continue
		}
		assert.Equal(t, code(err), "25006")
	}
	execute(ctx, t, conn, "ROLLBACK")
	assert.Equal(t, countThroughPq(ctx, t, l.Proxies[0], 1), 0)
}

// TestLeavingPrimaryHandsOver sends SIGTERM to the primary. Every write must be
// acknowledged meanwhile, and the process must exit by itself.
func TestLeavingPrimaryHandsOver(t *testing.T) {
	ctx, l := start(t, 3, 2)
	createTable(ctx, t, l.Proxies[0])
	insertUntilAcknowledged(ctx, t, l.Proxies[1], 10_000)
	primary, err := l.Primary(ctx, service)
	assert.NilError(t, err)
	exited := make(chan int, 1)
	go func() {
		exit, err := primary.Terminate(ctx)
		if err != nil {
			exit = -1
		}
		exited <- exit
	}()
	for id := 0; ; id++ {
		assert.NilError(t, insertOnce(ctx, l.Proxies[id%2], id))
		select {
		case exit := <-exited:
			assert.Equal(t, exit, 0)
			assert.Equal(t, countThroughPq(ctx, t, l.Proxies[0], id), 1)
			return
		default:
		}
	}
}
