package pg

import (
	"bufio"
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/runtime"
)

// Defaults of Config.
const (
	DefaultMaxReply    = 64 << 20 // bytes
	DefaultDialTimeout = 5 * time.Second
)

// applicationName is the name of the application on connections that carry no
// organisation's requests.
const applicationName = "camphorpaddle"

// readBufferSize is the size of the read buffer of a connection, in bytes.
const readBufferSize = 16 << 10

// Config configures the connections to targets.
type Config struct {
	// User is the user name of the startup message.
	User string
	// Password is sent when the target requests it in clear text. Dialing a
	// target that requests another authentication method fails.
	Password string
	// Database is the database name; if it is empty, the service name is used.
	Database string
	// TLS enables TLS if it is set.
	TLS *tls.Config
	// MaxReply limits the size of all answers to one exchange, in bytes.
	MaxReply int
	// DialTimeout limits the time of a dial, startup included. An earlier
	// deadline of the context applies as well.
	DialTimeout time.Duration
}

// Dialer opens connections to targets.
type Dialer struct {
	config Config
	net    net.Dialer
}

var _ runtime.TargetDialer = (*Dialer)(nil)

// NewDialer returns a dialer; fields of c that are not set get their defaults.
func NewDialer(c Config) *Dialer {
	if c.User == "" {
		c.User = "camphorpaddle"
	}
	if c.MaxReply <= 0 {
		c.MaxReply = DefaultMaxReply
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	return &Dialer{config: c}
}

// Dial connects to the target and completes the startup. The target is told the
// organisation as the name of the application.
func (d *Dialer) Dial(
	ctx context.Context, ref types.TargetRef, addr types.Address, organisation types.OrganisationName,
) (runtime.TargetConn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.config.DialTimeout)
	defer cancel()
	raw, err := d.net.DialContext(ctx, "tcp", string(addr))
	if err != nil {
		return nil, trace.Wrap(err, "connecting to target %s", ref)
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	conn, err := d.startup(ctx, raw, ref, organisation)
	if !stop() || err != nil {
		raw.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, trace.Wrap(err, "starting a connection to target %s", ref)
	}
	return conn, nil
}

func (d *Dialer) startup(
	ctx context.Context, raw net.Conn, ref types.TargetRef, organisation types.OrganisationName,
) (*Conn, error) {
	secured, err := d.secure(ctx, raw)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := &Conn{conn: secured, reader: bufio.NewReaderSize(secured, readBufferSize), maxReply: d.config.MaxReply}
	if err := c.sendStartup(d.config, ref.Service, organisation); err != nil {
		return nil, trace.Wrap(err)
	}
	return c, trace.Wrap(c.awaitReady(d.config.Password))
}

// secure negotiates TLS if it is configured.
func (d *Dialer) secure(ctx context.Context, raw net.Conn) (net.Conn, error) {
	if d.config.TLS == nil {
		return raw, nil
	}
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := raw.Write(request); err != nil {
		return nil, trace.Wrap(err)
	}
	answer := make([]byte, 1)
	if _, err := raw.Read(answer); err != nil {
		return nil, trace.Wrap(err)
	}
	if answer[0] != 'S' {
		return nil, trace.AccessDenied("the target does not offer TLS")
	}
	secured := tls.Client(raw, d.config.TLS)
	return secured, trace.Wrap(secured.HandshakeContext(ctx))
}

func (c *Conn) sendStartup(config Config, service types.ServiceName, organisation types.OrganisationName) error {
	database := config.Database
	if database == "" {
		database = string(service)
	}
	startup := pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user": config.User, "database": database,
			"application_name": cmp.Or(string(organisation), applicationName),
		},
	}
	message, err := startup.Encode(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = c.conn.Write(message)
	return trace.Wrap(err)
}

// awaitReady reads the answers to the startup message up to ReadyForQuery.
func (c *Conn) awaitReady(password string) error {
	for {
		msgType, body, err := c.readMessage()
		if err != nil {
			return trace.Wrap(err)
		}
		switch msgType {
		case msgReadyForQuery:
			return nil
		case msgErrorResponse:
			return trace.Wrap(decodeError(body))
		case msgAuthentication:
			if err := c.authenticate(body, password); err != nil {
				return trace.Wrap(err)
			}
		}
	}
}

// authenticate answers an authentication request.
func (c *Conn) authenticate(body []byte, password string) error {
	if (&pgproto3.AuthenticationOk{}).Decode(body) == nil {
		return nil
	}
	if (&pgproto3.AuthenticationCleartextPassword{}).Decode(body) != nil || password == "" {
		return trace.AccessDenied("the target requests an authentication method that is not configured")
	}
	message, err := (&pgproto3.PasswordMessage{Password: password}).Encode(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = c.conn.Write(message)
	return trace.Wrap(err)
}
