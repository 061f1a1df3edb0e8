package pg

import (
	"crypto/tls"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/camphorpaddle/camphorpaddle/internal/key"
)

// maxPasswordMessage limits the message that answers the request for a password, in
// bytes. It comes from a caller that is not known yet.
const maxPasswordMessage = 1 << 10

// authenticate asks the caller for the key of its organisation if the configuration has
// organisations, and refuses a caller without a known key. The password of the protocol
// carries the key.
func (c *caller) authenticate() error {
	if !c.server.proxy.HasOrganisations() {
		return nil
	}
	if _, secured := c.conn.(*tls.Conn); c.server.config.TLS != nil && !secured {
		return c.fatal(newError(codeInvalidAuthorization, "not run: a key is accepted over TLS only"))
	}
	password, err := c.requestPassword()
	if err != nil {
		return trace.Wrap(err)
	}
	c.params.Key = key.Digest(password)
	if refusal, refused := c.server.proxy.RefuseSession(c.params); refused {
		return c.fatal(refusalError(&refusal))
	}
	return nil
}

// requestPassword asks for a password in clear text and returns it.
func (c *caller) requestPassword() (string, error) {
	if err := c.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return "", trace.Wrap(err)
	}
	request, err := (&pgproto3.AuthenticationCleartextPassword{}).Encode(nil)
	if err != nil {
		return "", trace.Wrap(err)
	}
	if err := c.write(request); err != nil {
		return "", trace.Wrap(err)
	}
	c.backend.SetMaxBodyLen(maxPasswordMessage)
	msg, err := c.backend.Receive()
	if err != nil {
		return "", c.handleStartupError(err)
	}
	c.backend.SetMaxBodyLen(c.server.config.MaxMessage)
	answer, ok := msg.(*pgproto3.PasswordMessage)
	if !ok {
		return "", c.fatal(newError(codeProtocolViolation, "not run: message %T received instead of a password", msg))
	}
	return answer.Password, nil
}
