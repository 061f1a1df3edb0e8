package lab

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echo answers every line with itself.
func echo(t *testing.T) string {
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

func startRelay(t *testing.T, delay time.Duration) (*relay, net.Conn) {
	t.Helper()
	r, err := newRelay(echo(t), delay)
	assert.NilError(t, err)
	t.Cleanup(r.close)
	c, err := net.Dial("tcp", r.address())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return r, c
}

func TestRelayDelaysBothDirections(t *testing.T) {
	const delay = 20 * time.Millisecond
	_, c := startRelay(t, delay)
	in := bufio.NewReader(c)
	for range 3 {
		began := time.Now()
		_, err := c.Write([]byte("order\n"))
		assert.NilError(t, err)
		line, err := in.ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "order\n")
		assert.Assert(t, time.Since(began) >= 2*delay)
	}
}

func TestCutHoldsBytesBackUntilHealed(t *testing.T) {
	r, c := startRelay(t, time.Millisecond)
	in := bufio.NewReader(c)
	r.cut()
	_, err := c.Write([]byte("order\n"))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = in.ReadString('\n')
	assert.ErrorContains(t, err, "timeout")
	r.heal()
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	line, err := in.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "order\n")
}
