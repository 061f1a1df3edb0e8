package pg

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	targetpg "github.com/camphorpaddle/camphorpaddle/dialer/pg"
)

// tlsConfigs returns the TLS configurations of a server with a self-signed
// certificate and of its clients.
func tlsConfigs(t *testing.T) (*tls.Config, *tls.Config) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{{127, 0, 0, 1}},
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	server := &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
	return server, &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"}
}

// TestTLS connects with pgx, and with the dialer for targets as a caller.
func TestTLS(t *testing.T) {
	server, client := tlsConfigs(t)
	p := startHarness(t, Config{TLS: server}, nil)
	config, err := pgx.ParseConfig(p.url(""))
	assert.NilError(t, err)
	config.TLSConfig = client
	conn, err := pgx.ConnectConfig(t.Context(), config)
	assert.NilError(t, err)
	defer conn.Close(t.Context())
	exec(t, conn, "SELECT 1")

	ref := types.TargetRef{Service: "spares", Name: "a"}
	secured := targetpg.NewDialer(targetpg.Config{TLS: client})
	target, err := secured.Dial(t.Context(), ref, types.Address(p.address), "")
	assert.NilError(t, err)
	defer target.Close()
	results, _, err := target.Exchange(t.Context(), []types.Operation{{Kind: types.OpPosition}})
	assert.NilError(t, err)
	assert.Equal(t, len(results), 1)

	plain := startHarness(t, Config{}, nil)
	_, err = secured.Dial(t.Context(), ref, types.Address(plain.address), "")
	assert.ErrorContains(t, err, "does not offer TLS")
}

// TestFlush requests answers before the Sync.
func TestFlush(t *testing.T) {
	p := startHarness(t, Config{}, nil)
	setUpPrimary(t, p)
	c := dialRaw(t, p.address)
	c.frontend.Send(&pgproto3.Parse{Name: "a", Query: "SELECT part FROM stock WHERE id = $1"})
	c.frontend.Send(&pgproto3.Describe{ObjectType: 'S', Name: "a"})
	c.frontend.Send(&pgproto3.Flush{})
	assert.NilError(t, c.frontend.Flush())
	for _, want := range []pgproto3.BackendMessage{
		&pgproto3.ParseComplete{}, &pgproto3.ParameterDescription{}, &pgproto3.RowDescription{},
	} {
		got, err := c.frontend.Receive()
		assert.NilError(t, err)
		assert.Equal(t, describeType(got), describeType(want))
	}
	c.frontend.Send(&pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{[]byte("1")}})
	c.frontend.Send(&pgproto3.Execute{})
	c.frontend.Send(&pgproto3.Sync{})
	answers, err := c.answers()
	assert.NilError(t, err)
	assert.Equal(t, len(answers), 3)

	c.frontend.Send(&pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{[]byte("1")}})
	c.frontend.Send(&pgproto3.Flush{})
	answers, err = c.answers()
	assert.Assert(t, err != nil)
	assert.DeepEqual(t, answers, []string{"error " + codeNotSupported})
}

// describeType returns the type byte of a message.
func describeType(m pgproto3.BackendMessage) string {
	encoded, err := m.Encode(nil)
	if err != nil {
		return err.Error()
	}
	return string(encoded[:1])
}
