package api

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/gravitational/trace"
)

// Timeouts and limits of the client.
const (
	attemptTimeout = 5 * time.Second
	retryInterval  = 200 * time.Millisecond
	maxReplyBytes  = 64 << 20
)

// Client sends requests to the control hosts. A request goes to one address after the
// other until the leader answers or the context ends.
type Client struct {
	Addresses []string // HTTP addresses of the control hosts, as host:port
	Key       string   // cluster key; empty if none is needed
	TLS       *tls.Config
	http      *http.Client
}

// NewClient returns a client for the control hosts at addresses.
func NewClient(addresses []string, key string, tlsConfig *tls.Config) *Client {
	return &Client{
		Addresses: addresses, Key: key, TLS: tlsConfig,
		http: &http.Client{
			Timeout:   attemptTimeout,
			Transport: &http.Transport{TLSClientConfig: tlsConfig},
		},
	}
}

// NewSecureClient returns a client with the cluster key and the certificates that the
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

// Call sends a request to the leader and decodes its response into out, unless out is
// nil. It returns an *Error or a connection problem, which trace.IsConnectionProblem
// detects.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	body, err := encodeRequest(in)
	if err != nil {
		return trace.Wrap(err)
	}
	var unknown error // of an attempt that may have been executed
	for {
		err := c.tryAll(ctx, method, path, body, out)
		if err == nil || !retryable(err) {
			return err
		}
		if isUnknown(err) {
			unknown = err
		}
		select {
		case <-ctx.Done():
			if unknown != nil {
				return unknown
			}
			return err
		case <-time.After(retryInterval):
		}
	}
}

// tryAll sends a request to one address after the other until one returns a result or
// an error that is not retryable. Otherwise it returns the last error, or that of an
// attempt that may have been executed.
func (c *Client) tryAll(ctx context.Context, method, path string, body []byte, out any) error {
	var lastErr error = trace.ConnectionProblem(nil, "no control host address is configured")
	for _, addr := range c.Addresses {
		err := c.attempt(ctx, addr, method, path, body, out)
		if err == nil || !retryable(err) {
			return err
		}
		if !isUnknown(lastErr) {
			lastErr = err
		}
	}
	return lastErr
}

// isUnknown reports whether the request may have been executed.
func isUnknown(err error) bool {
	var apiErr *Error
	return errors.As(err, &apiErr) && apiErr.Kind == ErrUnknown
}

// LeaderStatus returns the status of the leader or, if no control host is the leader, of
// the one with the highest applied index.
func (c *Client) LeaderStatus(ctx context.Context) (Status, error) {
	var best Status
	var err error = trace.ConnectionProblem(nil, "no control host address is configured")
	answered := false
	for _, addr := range c.Addresses {
		var st Status
		if callErr := c.CallAddress(ctx, addr, http.MethodGet, PathStatus, nil, &st); callErr != nil {
			err = callErr
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

// CallAddress sends a request to one address only.
func (c *Client) CallAddress(ctx context.Context, addr, method, path string, in, out any) error {
	body, err := encodeRequest(in)
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
		return noAnswer(method, err, "control host at "+addr+" did not answer")
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return noAnswer(method, err, "the answer of "+addr+" broke off")
	}
	return decodeResponse(res.StatusCode, data, out)
}

// noAnswer returns the error of a request without an answer. A change that may have
// reached the control host has an unknown outcome.
func noAnswer(method string, err error, message string) error {
	var opErr *net.OpError
	connected := !errors.As(err, &opErr) || opErr.Op != "dial"
	if method != http.MethodGet && connected {
		return &Error{Kind: ErrUnknown, Message: message + ": " + err.Error()}
	}
	return trace.ConnectionProblem(err, "%s", message)
}

func (c *Client) url(addr, path string) string {
	if c.TLS != nil {
		return "https://" + addr + path
	}
	return "http://" + addr + path
}

func encodeRequest(in any) ([]byte, error) {
	if in == nil {
		return nil, nil
	}
	return json.Marshal(in)
}

// decodeResponse decodes a successful response into out, and any other into an *Error.
func decodeResponse(status int, data []byte, out any) error {
	if status >= http.StatusBadRequest {
		apiErr := &Error{}
		if err := json.Unmarshal(data, apiErr); err != nil || apiErr.Kind == "" {
			return &Error{Kind: ErrInternal, Message: http.StatusText(status)}
		}
		return apiErr
	}
	if out == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(data, out), "reading the answer")
}

// retryable reports whether another control host, or the same one later, may answer the
// request. All requests are safe to repeat: configuration changes carry an id, and the
// others name the requested state.
func retryable(err error) bool {
	var apiErr *Error
	if errors.As(err, &apiErr) {
		return apiErr.Kind == ErrNotLeader || apiErr.Kind == ErrUnknown
	}
	return trace.IsConnectionProblem(err)
}
