package rig3

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Client is a session of a client.
type Client struct {
	Name   string
	conn   net.Conn
	in     *bufio.Reader
	record *Record
}

// Answer is the answer to a statement.
type Answer struct {
	Code  string // of an error, or empty
	Text  string // of the error, or the signature
	Rows  []string
	State string
	Sent  time.Time
	Got   time.Time
}

// Connect opens a session.
func Connect(r *Record, name, address, database string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{Name: name, conn: conn, in: bufio.NewReaderSize(conn, 64<<10), record: r}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, name); err != nil {
		return nil, err
	}
	line, err := c.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = conn.Close()
		return nil, fmt.Errorf("the session was not opened: %q, %v", line, err)
	}
	return c, nil
}

// Close closes the session.
func (c *Client) Close() { _ = c.conn.Close() }

var lastID atomic.Uint64

// NewID returns an id for a statement.
func NewID() string { return fmt.Sprintf("%08x", lastID.Add(1)+0x5c000000) }

var sentIDs sync.Map

// Sent reports whether a client sent a statement with an id.
func Sent(id string) bool {
	_, ok := sentIDs.Load(id)
	return ok
}

// Query sends a statement and waits for its answer.
func (c *Client) Query(id, text string, wait time.Duration) (Answer, error) {
	a := Answer{Sent: time.Now()}
	c.record.Printf("client %s sends %s: %s", c.Name, id, text)
	sentIDs.Store(id, true)
	_ = c.conn.SetDeadline(a.Sent.Add(wait))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return a, err
	}
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			c.record.Printf("client %s gets no answer to %s: %v", c.Name, id, err)
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.Rows = append(a.Rows, rest)
		case "COMPLETE":
			a.Text = rest
		case "ERROR":
			a.Code, a.Text, _ = strings.Cut(rest, " ")
		case "READY":
			a.State, a.Got = strings.Fields(rest)[0], time.Now()
			c.record.Printf("client %s gets for %s: code %q, %q, rows %v, state %s", c.Name, id, a.Code, a.Text, a.Rows, a.State)
			return a, nil
		default:
			return a, fmt.Errorf("unexpected line %q", line)
		}
	}
}

// PutConfig sends a configuration until a control host accepts it.
func PutConfig(r *Record, control []string, body string) error {
	client := &http.Client{Timeout: time.Second}
	for try := range 100 {
		resp, err := client.Post("http://"+control[try%len(control)]+"/config/put", "application/json", bytes.NewReader([]byte(body)))
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			r.Printf("operator: /config/put answers %d %s", resp.StatusCode, bytes.TrimSpace(text))
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			if resp.StatusCode == http.StatusBadRequest {
				return fmt.Errorf("the configuration was refused: %s", text)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the configuration was not accepted")
}

// AwaitWrite waits until a write through a proxy succeeds.
func AwaitWrite(r *Record, address, database string) error {
	for range 100 {
		c, err := Connect(r, "probe", address, database)
		if err == nil {
			a, err := c.Query(NewID(), "WRITE start 0", 3*time.Second)
			c.Close()
			if err == nil && a.Code == "" {
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("no write succeeded at " + address)
}

// ServePlatform serves the platform's calls.
func ServePlatform(address string, g *Group) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, g) }()
	return nil
}
