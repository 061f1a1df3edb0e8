package lab

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEcho starts a server that echoes all data and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return lis.Addr().String()
}

func startRelay(t *testing.T, delay time.Duration) (*Relay, net.Conn) {
	t.Helper()
	r, err := NewRelay(startEcho(t), delay)
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	c, err := net.Dial("tcp", r.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return r, c
}

func TestRelayDelaysBothDirections(t *testing.T) {
	const delay = 20 * time.Millisecond
	_, c := startRelay(t, delay)
	in := bufio.NewReader(c)
	for range 3 {
		start := time.Now()
		_, err := c.Write([]byte("order\n"))
		assert.NilError(t, err)
		line, err := in.ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "order\n")
		assert.Assert(t, time.Since(start) >= 2*delay)
	}
}

func TestCutHoldsDataBackUntilHeal(t *testing.T) {
	r, c := startRelay(t, time.Millisecond)
	in := bufio.NewReader(c)
	r.Cut()
	_, err := c.Write([]byte("order\n"))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = in.ReadString('\n')
	assert.ErrorContains(t, err, "timeout")
	r.Heal()
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	line, err := in.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "order\n")
}

// echoes reports whether a line is echoed within 100 ms.
func echoes(t *testing.T, c net.Conn) bool {
	t.Helper()
	if _, err := c.Write([]byte("order\n")); err != nil {
		return false
	}
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && line == "order\n"
}

func TestBlackholeDoesNotAffectNewConnections(t *testing.T) {
	r, c := startRelay(t, 0)
	assert.Assert(t, echoes(t, c))
	r.Blackhole()
	assert.Assert(t, !echoes(t, c))
	next, err := net.Dial("tcp", r.Address())
	assert.NilError(t, err)
	defer next.Close()
	assert.Assert(t, echoes(t, next))
}

func TestResetClosesConnections(t *testing.T) {
	r, c := startRelay(t, 0)
	assert.Assert(t, echoes(t, c))
	r.Reset()
	_, err := bufio.NewReader(c).ReadString('\n')
	assert.ErrorContains(t, err, "reset")
}

func TestOneWayCut(t *testing.T) {
	r, c := startRelay(t, 0)
	assert.Assert(t, echoes(t, c))
	r.CutDirection(ToCaller)
	assert.Assert(t, !echoes(t, c))
	r.Heal()
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	line, err := bufio.NewReader(c).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "order\n")
}
