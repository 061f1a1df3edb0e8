package harness

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Client is one session with a proxy.
type Client struct {
	record *Record
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

var lastID atomic.Int64

// NextID returns a new id of a statement.
func NextID() string { return fmt.Sprintf("%016x", time.Now().UnixMilli()<<16|lastID.Add(1)&0xffff) }

// Dial opens a session with a database. It fails if READY takes more than 2 s.
func (s *System) Dial(proxy, database, name string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", s.Callers(proxy), 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{record: s.Record, name: name, conn: conn, reader: bufio.NewReader(conn)}
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, name); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = conn.Close()
		return nil, fmt.Errorf("startup answered %q, %v", strings.TrimSpace(line), err)
	}
	return c, nil
}

// Query sends one statement under a new id and returns the id and the lines of its answer.
func (c *Client) Query(text string, limit time.Duration) (string, []string, error) {
	id := NextID()
	lines, err := c.QueryAs(id, text, limit)
	return id, lines, err
}

// QueryAs sends one statement and returns the lines of its answer.
func (c *Client) QueryAs(id, text string, limit time.Duration) ([]string, error) {
	c.record.Add("client %s sends %s %s", c.name, id, text)
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return nil, err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	var lines []string
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			c.record.Add("client %s gets for %s: %q, then %v", c.name, id, lines, err)
			return lines, err
		}
		line = strings.TrimSuffix(line, "\r\n")
		if strings.HasPrefix(line, "READY ") {
			c.record.Add("client %s gets for %s: %q %s", c.name, id, lines, line)
			return lines, nil
		}
		lines = append(lines, line)
	}
}

// Succeeded reports whether the lines of an answer say success.
func Succeeded(lines []string) bool {
	return len(lines) > 0 && strings.HasPrefix(lines[len(lines)-1], "COMPLETE")
}

// Close ends the session.
func (c *Client) Close() {
	_, _ = fmt.Fprint(c.conn, "TERMINATE\r\n")
	_ = c.conn.Close()
}

// AwaitReady waits until proxies answer the ready probe with 200.
func (s *System) AwaitReady(limit time.Duration, names ...string) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for _, name := range names {
		for {
			resp, err := client.Get("http://" + s.Ready(name) + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("proxy %s is not ready", name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// AwaitSuccess sends a statement in new sessions until it succeeds.
func (s *System) AwaitSuccess(proxy, database, text string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		c, err := s.Dial(proxy, database, "probe")
		if err != nil {
			continue
		}
		_, lines, err := c.Query(text, 2*time.Second)
		c.Close()
		if err == nil && Succeeded(lines) {
			return nil
		}
	}
	return fmt.Errorf("%q does not succeed at %s", text, proxy)
}
