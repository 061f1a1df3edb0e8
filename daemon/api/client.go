package api

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/gravitational/trace"
)

// Timing and sizes of the client.
const (
	attemptTimeout = 5 * time.Second
	retryPause     = 200 * time.Millisecond
	maxReplyBytes  = 64 << 20
)

// Client calls the control hosts. A call goes to one address after the other
// until the leader answers or the context ends.
type Client struct {
	Addresses []string // host:port of the HTTP ports
	Key       string   // cluster key, or empty
	TLS       *tls.Config
	http      *http.Client
}

// NewClient returns a client of the control hosts at addresses.
func NewClient(addresses []string, key string, tlsConfig *tls.Config) *Client {
	return &Client{
		Addresses: addresses, Key: key, TLS: tlsConfig,
		http: &http.Client{
			Timeout:   attemptTimeout,
			Transport: &http.Transport{TLSClientConfig: tlsConfig},
		},
	}
}

// NewSecureClient returns a client with the key and the certificates that the
// settings name.
func NewSecureClient(addresses []string, s settings.Security) (*Client, error) {
	key, err := s.Key()
	if err != nil {
		return nil, err
	}
	configs, err := s.LoadTLS()
	if err != nil {
		return nil, err
	}
	return NewClient(addresses, key, configs.Client), nil
}

// Call sends a request to the leader and decodes its answer into out, unless
// out is nil. The error is an *Error or a connection problem.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	body, err := encode(in)
	if err != nil {
		return trace.Wrap(err)
	}
	for {
		err := c.tryAll(ctx, method, path, body, out)
		if err == nil || !retriable(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryPause):
		}
	}
}

// tryAll asks one address after the other. It returns the first answer of a
// leader, or why none answered.
func (c *Client) tryAll(ctx context.Context, method, path string, body []byte, out any) error {
	var last error = trace.ConnectionProblem(nil, "no address of a control host is known")
	for _, addr := range c.Addresses {
		err := c.attempt(ctx, addr, method, path, body, out)
		if err == nil || !retriable(err) {
			return err
		}
		last = err
	}
	return last
}

// LeaderStatus returns the status of the control host that leads or, when none
// leads, of the one that has applied most.
func (c *Client) LeaderStatus(ctx context.Context) (Status, error) {
	var best Status
	var err error = trace.ConnectionProblem(nil, "no address of a control host is known")
	answered := false
	for _, addr := range c.Addresses {
		var st Status
		if askErr := c.Ask(ctx, addr, http.MethodGet, PathStatus, nil, &st); askErr != nil {
			err = askErr
			continue
		}
		if st.Leading {
			return st, nil
		}
		if !answered || st.Applied > best.Applied {
			best, answered = st, true
		}
	}
	if answered {
		return best, nil
	}
	return best, err
}

// Ask sends a request to one address only.
func (c *Client) Ask(ctx context.Context, addr, method, path string, in, out any) error {
	body, err := encode(in)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.attempt(ctx, addr, method, path, body, out)
}

func (c *Client) attempt(ctx context.Context, addr, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.url(addr, path), bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err, "building the request to %s", addr)
	}
	req.Header.Set("Content-Type", "application/json")
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "control host at %s did not answer", addr)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return trace.ConnectionProblem(err, "the answer of %s broke off", addr)
	}
	return decode(res.StatusCode, data, out)
}

func (c *Client) url(addr, path string) string {
	if c.TLS != nil {
		return "https://" + addr + path
	}
	return "http://" + addr + path
}

func encode(in any) ([]byte, error) {
	if in == nil {
		return nil, nil
	}
	return json.Marshal(in)
}

// decode reads an answer: out on success, an *Error otherwise.
func decode(status int, data []byte, out any) error {
	if status >= http.StatusBadRequest {
		refused := &Error{}
		if err := json.Unmarshal(data, refused); err != nil || refused.Kind == "" {
			return &Error{Kind: ErrInternal, Message: http.StatusText(status)}
		}
		return refused
	}
	if out == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(data, out), "reading the answer")
}

// retriable reports whether another control host, or the same one later, may
// give an answer. All calls may be sent again: changes carry their id, and the
// others name the state that they ask for.
func retriable(err error) bool {
	var refused *Error
	if errors.As(err, &refused) {
		return refused.Kind == ErrNotLeader || refused.Kind == ErrUnknown
	}
	return trace.IsConnectionProblem(err)
}
