package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// patientDriver has a known position, reads that may take 3 s, and members that
// have answered for some time.
func patientDriver(t *testing.T) *driver {
	d := startingDriver(t)
	for range 30 {
		for id := types.SessionID(11); id <= 14; id++ {
			d.openDatabase(id, "catalog")
			d.readOnce(id)
			d.reply(40)
			d.closeSession(id)
		}
		d.advance(100 * time.Millisecond)
	}
	return d
}

func (d *driver) closeSession(id types.SessionID) { d.step(event.SessionClosed{Session: id}) }

// startingDriver has members that have hardly answered yet.
func startingDriver(t *testing.T) *driver {
	d := newManagedDriver(t)
	p := d.config.Profiles["catalog"]
	p.MaxAge, p.RequestTimeout, p.QueueTimeout = time.Minute, 3*time.Second, 3*time.Second
	d.config.Profiles["catalog"] = p
	d.openDatabase(1, "catalog")
	d.readOnce(1)
	d.reply(40)
	return d
}

// TestReadLeavesAReplicaThatDoesNotAnswer covers a replica whose health is good
// and that answers nothing.
func TestReadLeavesAReplicaThatDoesNotAnswer(t *testing.T) {
	d := patientDriver(t)
	seq := d.readOnce(1)
	first, silent := d.sent()
	assert.Assert(t, silent != "a")
	d.advance(attemptTimeout + 50*time.Millisecond)
	d.connect()
	_, other := d.sent()
	assert.Assert(t, other != silent && other != "a", "sent to %s again", other)
	assert.Assert(t, d.closed[first.Conn], "the silent replica still holds the connection")
	d.reply(40)
	assert.Assert(t, d.answered(seq))
	for range 6 {
		d.readOnce(1)
		_, name := d.sent()
		assert.Assert(t, name != silent, "the next read went to the silent replica")
		d.reply(40)
	}
}

// TestSilentReplicaIsTriedAgain bounds how long a replica is passed over.
func TestSilentReplicaIsTriedAgain(t *testing.T) {
	d := patientDriver(t)
	d.readOnce(1)
	_, silent := d.sent()
	d.advance(attemptTimeout + 50*time.Millisecond)
	d.connect()
	d.reply(40)
	d.advance(baseEjectionTime)
	again := false
	for range 20 {
		d.readOnce(1)
		d.connect()
		_, name := d.sent()
		again = again || name == silent
		d.reply(40)
	}
	assert.Assert(t, again, "the replica is never asked again")
}

// TestWriteIsNotRepeated leaves a write with its target: it may have run.
func TestWriteIsNotRepeated(t *testing.T) {
	d := patientDriver(t)
	d.writeOnce(1)
	sent := len(d.sends)
	d.advance(attemptTimeout + 500*time.Millisecond)
	assert.Equal(t, len(d.sends), sent)
}

// TestSlowAnswersAfterAStartAreAwaited covers the restart of everything, when all
// proxies connect at once: what is asked twice then is work done twice.
func TestSlowAnswersAfterAStartAreAwaited(t *testing.T) {
	d := startingDriver(t)
	seq := d.readOnce(1)
	sent := len(d.sends)
	d.advance(attemptTimeout + 500*time.Millisecond)
	assert.Equal(t, len(d.sends), sent)
	assert.Equal(t, len(d.lastReport().Suspect), 0)
	d.reply(40)
	assert.Assert(t, d.answered(seq))
}

// TestReplicaThatAnswersOthersIsNotLeft covers a long statement.
func TestReplicaThatAnswersOthersIsNotLeft(t *testing.T) {
	d := patientDriver(t)
	d.readOnce(1)
	e, slow := d.sent()
	for range 10 {
		d.openDatabase(2, "catalog")
		d.readOnce(2)
		d.reply(40)
		d.closeSession(2)
		d.advance(attemptTimeout / 8)
	}
	assert.Assert(t, !d.closed[e.Conn], "the read on %s was given up", slow)
}
