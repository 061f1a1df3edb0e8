package e2e

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/camphorpaddle/camphorpaddle/internal/lab"
)

// TestWritesSurviveThePrimary checks that acknowledged writes are readable through
// the other proxy, before and after the primary is killed, and that another member
// becomes primary.
func TestWritesSurviveThePrimary(t *testing.T) {
	ctx, l := start(t, 3, 2)
	createTable(ctx, t, l.Proxies[0])
	var acknowledged []int
	for id := range 20 {
		assert.NilError(t, insertOnce(ctx, l.Proxies[id%2], id))
		assert.Equal(t, countThroughPq(ctx, t, l.Proxies[(id+1)%2], id), 1)
		acknowledged = append(acknowledged, id)
	}
	primary, err := l.Primary(ctx, service)
	assert.NilError(t, err)
	assert.NilError(t, primary.Kill())
	acknowledged = append(acknowledged, insertUntilAcknowledged(ctx, t, l.Proxies[0], 1000))
	for _, id := range acknowledged {
		assert.Equal(t, countThroughPq(ctx, t, l.Proxies[1], id), 1, "order %d", id)
	}
	next, err := l.Primary(ctx, service)
	assert.NilError(t, err)
	assert.Assert(t, next.Member != primary.Member)
}

// TestShortFreezeKeepsThePrimary freezes the primary for less time than control takes
// to replace it and expects the term not to change.
func TestShortFreezeKeepsThePrimary(t *testing.T) {
	const freeze = 250 * time.Millisecond
	ctx, l := start(t, 3, 2)
	createTable(ctx, t, l.Proxies[0])
	before := term(ctx, t, l)
	primary, err := l.Primary(ctx, service)
	assert.NilError(t, err)
	assert.NilError(t, primary.Freeze())
	time.Sleep(freeze)
	assert.NilError(t, primary.Thaw())
	id := insertUntilAcknowledged(ctx, t, l.Proxies[0], 0)
	assert.Equal(t, countThroughPq(ctx, t, l.Proxies[1], id), 1)
	assert.Equal(t, term(ctx, t, l), before)
}

// TestLongFreezeReplacesThePrimary freezes the primary until it is replaced. A
// transaction that was open on it must not commit after it continues.
func TestLongFreezeReplacesThePrimary(t *testing.T) {
	ctx, l := start(t, 3, 2)
	createTable(ctx, t, l.Proxies[0])
	conn := connect(ctx, t, l.Proxies[0], "")
	execute(ctx, t, conn, "BEGIN")
	execute(ctx, t, conn, "INSERT INTO orders (id) VALUES (1)")
	primary, err := l.Primary(ctx, service)
	assert.NilError(t, err)
	assert.NilError(t, primary.Freeze())
	_, err = l.WaitPrimary(ctx, service, primary.Member)
	assert.NilError(t, err)
	assert.NilError(t, primary.Thaw())
	_, err = conn.Exec(ctx, "COMMIT")
	assert.Assert(t, err != nil, "the transaction on the replaced primary was committed")
	id := insertUntilAcknowledged(ctx, t, l.Proxies[1], 2)
	assert.Equal(t, countThroughPq(ctx, t, l.Proxies[0], id), 1)
	assert.Equal(t, countThroughPq(ctx, t, l.Proxies[0], 1), 0)
}

// TestControlHostLosesItsFolder kills the leading control host and deletes its data
// folder. Proxies with open connections must acknowledge every write meanwhile, and a
// failover must work after a new leader is elected.
func TestControlHostLosesItsFolder(t *testing.T) {
	ctx, l := start(t, 3, 2)
	createTable(ctx, t, l.Proxies[0])
	for i, p := range l.Proxies {
		insertUntilAcknowledged(ctx, t, p, 10_000*(i+1))
	}
	waitVoters(ctx, t, l, 3)
	status, err := l.Status(ctx)
	assert.NilError(t, err)
	lost := controlHost(t, l, status.Leader)
	assert.NilError(t, lost.Kill())
	assert.NilError(t, os.RemoveAll(lost.DataFolder))
	for id := range 50 {
		assert.NilError(t, insertOnce(ctx, l.Proxies[id%2], id), "order %d", id)
		time.Sleep(writeInterval)
	}
	assert.NilError(t, l.Wait(ctx, "a new leader", func() bool {
		s, err := l.Status(ctx)
		return err == nil && s.Leader != status.Leader
	}))
	primary, err := l.Primary(ctx, service)
	assert.NilError(t, err)
	assert.NilError(t, primary.Kill())
	id := insertUntilAcknowledged(ctx, t, l.Proxies[0], 1000)
	assert.Equal(t, countThroughPq(ctx, t, l.Proxies[1], id), 1)
}

// waitVoters waits until n control hosts vote. Hosts that have just joined do not
// vote yet, and the only voter can't be lost.
func waitVoters(ctx context.Context, t *testing.T, l *lab.Lab, n int) {
	t.Helper()
	assert.NilError(t, l.Wait(ctx, "enough voters", func() bool {
		status, err := l.Status(ctx)
		voters := 0
		for _, h := range status.Hosts {
			if h.Role == "voter" {
				voters++
			}
		}
		return err == nil && voters == n
	}))
}

// controlHost returns the control host with an identity, which is its name and a
// suffix.
func controlHost(t *testing.T, l *lab.Lab, identity string) *lab.Control {
	t.Helper()
	for _, c := range l.Controls {
		if len(identity) >= len(c.Name) && identity[:len(c.Name)] == c.Name {
			return c
		}
	}
	t.Fatalf("no control host has the identity %s", identity)
	return nil
}

// TestProxyDiesInATransaction kills a proxy during a transaction and expects the
// transaction to be rolled back and its row locks to be released.
func TestProxyDiesInATransaction(t *testing.T) {
	ctx, l := start(t, 3, 2)
	createTable(ctx, t, l.Proxies[0])
	assert.NilError(t, insertOnce(ctx, l.Proxies[1], 1))
	conn := connect(ctx, t, l.Proxies[0], "")
	execute(ctx, t, conn, "BEGIN")
	execute(ctx, t, conn, "UPDATE orders SET part = 'half done' WHERE id = 1")
	execute(ctx, t, conn, "INSERT INTO orders (id) VALUES (2)")
	assert.NilError(t, l.Proxies[0].Kill())
	other := connect(ctx, t, l.Proxies[1], "")
	execute(ctx, t, other, "UPDATE orders SET part = 'whole' WHERE id = 1")
	var n int
	assert.NilError(t, other.QueryRow(ctx, "SELECT count(*) FROM orders WHERE part = 'whole'").Scan(&n))
	assert.Equal(t, n, 1)
	assert.NilError(t, other.QueryRow(ctx, "SELECT count(*) FROM orders").Scan(&n))
	assert.Equal(t, n, 1)
}

// TestProxyDrains sends SIGTERM to a proxy with one idle session and one with an open
// transaction. The idle session is closed, the transaction commits, and a second
// signal has no effect.
func TestProxyDrains(t *testing.T) {
	ctx, l := start(t, 3, 2)
	createTable(ctx, t, l.Proxies[0])
	idle := connect(ctx, t, l.Proxies[0], "")
	execute(ctx, t, idle, "SELECT 1")
	busy := connect(ctx, t, l.Proxies[0], "")
	execute(ctx, t, busy, "BEGIN")
	execute(ctx, t, busy, "INSERT INTO orders (id) VALUES (1)")

	exited := make(chan int, 1)
	go func() {
		exit, err := l.Proxies[0].Terminate(context.Background())
		if err != nil {
			exit = -1
		}
		exited <- exit
	}()
	assert.NilError(t, l.Wait(ctx, "the proxy to stop listening", func() bool {
		return insertOnce(ctx, l.Proxies[0], 100) != nil
	}))
	assert.NilError(t, l.Proxies[0].Signal(syscall.SIGTERM))
	_, err := idle.Exec(ctx, "SELECT 1")
	assert.Equal(t, code(err), "57P01")
	execute(ctx, t, busy, "INSERT INTO orders (id) VALUES (2)")
	execute(ctx, t, busy, "COMMIT")
	assert.Equal(t, <-exited, 0)
	for _, id := range []int{1, 2} {
		assert.Equal(t, countThroughPq(ctx, t, l.Proxies[1], id), 1)
	}
}
