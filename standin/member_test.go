package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// statementEvent returns the event for a statement on a connection.
func statementEvent(t *testing.T, conn connID, sql string) statementReceived {
	t.Helper()
	statements, err := parseAll(sql)
	assert.Assert(t, err == nil, "%v", err)
	return statementReceived{conn: conn, st: statements[0]}
}

// TestSlotsAreBounded runs three statements with a single slot. It guards against
// a slot that stays occupied after the connection of a queued or running statement
// is closed.
func TestSlotsAreBounded(t *testing.T) {
	m := newMember(memberOptions{maxConnections: 10, slots: 1})
	for id := connID(1); id <= 3; id++ {
		m.step(0, connOpened{conn: id})
	}
	sleep := func(conn connID) []effect { return m.step(0, statementEvent(t, conn, "SELECT pg_sleep(1)")) }
	first := sleep(1)
	assert.Equal(t, len(first), 1)
	assert.Equal(t, first[0], delay{conn: 1, duration: time.Second})
	assert.Equal(t, len(sleep(2)), 0)
	assert.Equal(t, len(sleep(3)), 0)
	m.step(0, connClosed{conn: 2})
	effects := m.step(0, delayElapsed{conn: 1})
	assert.Equal(t, len(effects), 2)
	assert.Equal(t, effects[0].(reply).conn, connID(1))
	assert.Equal(t, effects[1], delay{conn: 3, duration: time.Second})
	m.step(0, connClosed{conn: 3})
	assert.Equal(t, len(m.step(0, delayElapsed{conn: 3})), 0)
	assert.Equal(t, m.slotsInUse, 0)
}

// TestReplacedWriterCommitsNothing guards against a transaction, implicit or
// explicit, that commits although the member's term as primary ended after its
// write.
func TestReplacedWriterCommitsNothing(t *testing.T) {
	for _, begin := range []bool{false, true} {
		m := newMember(memberOptions{maxConnections: 10, slots: 1})
		m.step(0, connOpened{conn: 1})
		m.step(0, connOpened{conn: 2})
		m.step(0, statementEvent(t, 2, "PADDLE PROMOTE TERM 1"))
		if begin {
			m.step(0, statementEvent(t, 1, "BEGIN"))
		}
		m.step(0, statementEvent(t, 1, "CREATE TABLE t (id BIGINT)"))
		m.step(0, statementEvent(t, 2, "PADDLE FOLLOW 'b' '127.0.0.1:1' TERM 2 START 0"))
		var end event = batchEnded{conn: 1}
		if begin {
			end = statementEvent(t, 1, "COMMIT")
		}
		effects := m.step(0, end)
		assert.Equal(t, effects[0].(reply).result.err, errPrimaryReplaced)
		assert.Equal(t, len(m.log.entries), 0)
	}
}

// TestMemberAnnouncesAndLeaves guards against announcements that stop because one
// of the daemons is unreachable, and against a member that leaves before an open
// transaction ends.
func TestMemberAnnouncesAndLeaves(t *testing.T) {
	announcements := make(chan announcement, 100)
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a announcement
		assert.Check(t, r.URL.Path == "/v1/announce")
		assert.Check(t, json.NewDecoder(r.Body).Decode(&a))
		announcements <- a
	}))
	defer daemon.Close()
	m := startMember(t, Config{
		Service: "spares", Name: "a", AvailabilityZone: "gulf-a",
		Announce: []string{"127.0.0.1:1", daemon.Listener.Addr().String()}, AnnounceInterval: time.Millisecond,
	})
	want := announcement{Service: "spares", Name: "a", Address: m.Address(), AvailabilityZone: "gulf-a"}
	assert.Equal(t, <-announcements, want)
	assert.Equal(t, <-announcements, want)

	conn := dial(t, m)
	exec(t, conn, "BEGIN")
	left := make(chan error, 1)
	go func() { left <- m.Leave(context.Background()) }()
	for a := range announcements {
		if a.Leaving {
			break
		}
	}
	select {
	case <-left:
		t.Fatal("the member left within a transaction")
	default:
	}
	exec(t, conn, "COMMIT")
	assert.NilError(t, <-left)
}
