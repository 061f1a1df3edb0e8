package pg

import (
	"crypto/tls"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// maxStartupMessages limits the messages of the startup. A caller sends at most
// a request for GSS encryption and one for TLS before its startup message.
const maxStartupMessages = 4

// secretKeySize is the size of the key in a cancel request, in bytes.
const secretKeySize = 4

// statusParameters are the parameters that the front end reports after the
// startup.
var statusParameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0 (camphorpaddle)"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "IntervalStyle", Value: "postgres"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// startup runs the protocol up to the first ReadyForQuery. It reports false
// without an error if the connection carried only a cancel request.
func (c *caller) startup(atCapacity bool) (bool, error) {
	if err := c.conn.SetDeadline(time.Now().Add(c.server.config.StartupTimeout)); err != nil {
		return false, trace.Wrap(err)
	}
	msg, err := c.startupMessage()
	if err != nil || msg == nil {
		return false, trace.Wrap(err)
	}
	if atCapacity {
		return false, c.fatal(newError(codeTooManyConnections,
			"not run: the proxy has reached its limit of %d caller connections", c.server.config.MaxSessions))
	}
	if err := c.applyParameters(msg.Parameters); err != nil {
		return false, c.fatal(newError(codeInvalidValue, "not run: %v", err))
	}
	if c.params.Service == "" {
		return false, c.fatal(newError(codeUnknownService, "not run: the startup message names no database"))
	}
	c.reader.startupDone()
	if err := c.authenticate(); err != nil {
		return false, trace.Wrap(err)
	}
	if err := c.completeStartup(msg.ProtocolVersion); err != nil {
		return false, trace.Wrap(err)
	}
	return true, trace.Wrap(c.conn.SetDeadline(time.Time{}))
}

// startupMessage reads messages up to and including the startup message. It
// returns nil for a connection that only carries a cancel request.
func (c *caller) startupMessage() (*pgproto3.StartupMessage, error) {
	for range maxStartupMessages {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, c.handleStartupError(err)
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			return nil, nil
		case *pgproto3.SSLRequest:
			err = c.offerTLS()
		case *pgproto3.GSSEncRequest:
			err = c.write([]byte{'N'})
		}
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return nil, c.fatal(newError(codeProtocolViolation, "not run: no startup message among the first %d messages", maxStartupMessages))
}

func (c *caller) handleStartupError(err error) error {
	if isConnectionError(err) {
		return trace.Wrap(err, "reading the startup message")
	}
	return c.fatal(newError(codeProtocolViolation, "not run: %v", err))
}

// offerTLS answers a request for TLS and switches to TLS if it is configured.
func (c *caller) offerTLS() error {
	if c.server.config.TLS == nil {
		return c.write([]byte{'N'})
	}
	if _, ok := c.conn.(*tls.Conn); ok {
		return c.fatal(newError(codeProtocolViolation, "not run: TLS is already active"))
	}
	if err := c.write([]byte{'S'}); err != nil {
		return trace.Wrap(err)
	}
	secured := tls.Server(c.conn, c.server.config.TLS)
	if err := secured.HandshakeContext(c.ctx); err != nil {
		return trace.Wrap(err, "TLS handshake with the caller")
	}
	c.setConn(secured)
	return nil
}

// applyParameters applies the parameters of the startup message.
func (c *caller) applyParameters(parameters map[string]string) error {
	options, err := parseOptions(parameters["options"])
	if err != nil {
		return trace.Wrap(err)
	}
	c.params.Caller = callerName(parameters, c.conn)
	database := parameters["database"]
	if database == "" {
		database = parameters["user"]
	}
	c.params.Service = types.ServiceName(database)
	for _, group := range []map[string]string{parameters, options} {
		if err := c.applySettings(group); err != nil {
			return trace.Wrap(err)
		}
	}
	c.params.Trace = c.settings.trace
	return nil
}

// applySettings applies the session settings among the parameters. Other
// parameters are ignored, because drivers send parameters of their own.
func (c *caller) applySettings(parameters map[string]string) error {
	for name, value := range parameters {
		if name == settingToken {
			token, err := parseToken(value)
			if err != nil {
				return trace.Wrap(err)
			}
			c.params.Token = token
			continue
		}
		if _, err := c.settings.set(name, value); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// callerName returns the name of the caller for logs.
func callerName(parameters map[string]string, conn net.Conn) string {
	if name := parameters["application_name"]; name != "" {
		return name
	}
	return conn.RemoteAddr().String()
}

// completeStartup sends the messages that end the startup.
func (c *caller) completeStartup(version uint32) error {
	messages := []pgproto3.BackendMessage{}
	if version != pgproto3.ProtocolVersion30 {
		messages = append(messages, &pgproto3.NegotiateProtocolVersion{})
	}
	messages = append(messages, &pgproto3.AuthenticationOk{})
	for i := range statusParameters {
		messages = append(messages, &statusParameters[i])
	}
	key := binary.BigEndian.AppendUint32(make([]byte, 0, secretKeySize), rand.Uint32())
	messages = append(messages, &pgproto3.BackendKeyData{ProcessID: rand.Uint32N(1 << 31), SecretKey: key})
	var out []byte
	var err error
	for _, m := range messages {
		if out, err = m.Encode(out); err != nil {
			return trace.Wrap(err)
		}
	}
	return c.reply(out)
}
