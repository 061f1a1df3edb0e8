package pg

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/camphorpaddle/camphorpaddle/core/organisation"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/internal/key"
)

const millKey = "secret-of-mill-0001"

// organisationView returns a view with organisation mill and a lease.
func organisationView() *types.NodeView {
	config := &types.Config{
		Version: 1, Organisations: map[types.OrganisationName]types.Organisation{
			"mill": {Name: "mill", Keys: key.Digests([]string{millKey})},
		},
	}
	return &types.NodeView{
		LeaseUntil: types.Instant(1 << 62), Cluster: &types.ClusterView{Version: 1, Config: config},
		KeyHolders: organisation.KeyHolders(config),
	}
}

// startWithOrganisations starts a front end whose configuration has organisations.
func startWithOrganisations(t *testing.T, c Config, setup func(*fakeShard)) *harness {
	t.Helper()
	p := startHarness(t, c, func(f *fakeShard) {
		f.view = organisationView()
		if setup != nil {
			setup(f)
		}
	})
	select {
	case <-p.proxy.Configured():
	case <-time.After(10 * time.Second):
		t.Fatal("the proxy published no view")
	}
	return p
}

// withPassword returns the configuration of a pgx caller with a password.
func (p *harness) withPassword(t *testing.T, password string) *pgx.ConnConfig {
	t.Helper()
	config, err := pgx.ParseConfig(p.url(""))
	assert.NilError(t, err)
	config.Password = password
	return config
}

func TestKeyIsThePassword(t *testing.T) {
	p := startWithOrganisations(t, Config{}, nil)
	conn, err := pgx.ConnectConfig(t.Context(), p.withPassword(t, millKey))
	assert.NilError(t, err)
	defer conn.Close(t.Context())
	exec(t, conn, "PADDLE PROMOTE TERM 1")
	assert.Equal(t, p.shard.recordedParams()[0].Key, key.Digest(millKey))
}

func TestUnknownKeyIsRefused(t *testing.T) {
	p := startWithOrganisations(t, Config{}, nil)
	for _, password := range []string{"", "secret-of-nobody", strings.Repeat("s", 1<<20)} {
		_, err := pgx.ConnectConfig(t.Context(), p.withPassword(t, password))
		assert.Assert(t, err != nil)
		assert.Assert(t, !strings.Contains(err.Error(), "secret"), "%v", err)
		if len(password) > maxPasswordMessage {
			continue // the connection may be reset before the error is read
		}
		assert.Equal(t, pgError(t, err).Code, codeInvalidPassword)
		assert.Equal(t, pgError(t, err).Severity, "FATAL")
	}
	assert.Equal(t, len(p.shard.recordedParams()), 0)
}

// TestRevokedKeyEndsTheConnection guards against pooled connections that stay open although
// every request on them is refused.
func TestRevokedKeyEndsTheConnection(t *testing.T) {
	p := startWithOrganisations(t, Config{}, func(f *fakeShard) {
		f.refuse = map[types.RequestSeq]types.Refusal{1: {Code: types.RefuseUnknownKey, Reason: "the key belongs to no organisation"}}
	})
	conn, err := pgx.ConnectConfig(t.Context(), p.withPassword(t, millKey))
	assert.NilError(t, err)
	_, err = conn.Exec(t.Context(), "SELECT 1")
	assert.Equal(t, pgError(t, err).Code, codeInvalidPassword)
	assert.Equal(t, pgError(t, err).Severity, "FATAL")
	assert.Assert(t, conn.IsClosed())
}

func TestNoPasswordIsAskedForWithoutOrganisations(t *testing.T) {
	p := startHarness(t, Config{}, nil)
	conn, err := pgx.ConnectConfig(t.Context(), p.withPassword(t, millKey))
	assert.NilError(t, err)
	defer conn.Close(t.Context())
	exec(t, conn, "PADDLE PROMOTE TERM 1")
	assert.Equal(t, p.shard.recordedParams()[0].Key, types.KeyDigest{})
}

// TestKeyNeedsTLSWhereItIsOffered checks that a caller without TLS is refused before it is
// asked for its key.
func TestKeyNeedsTLSWhereItIsOffered(t *testing.T) {
	server, client := tlsConfigs(t)
	p := startWithOrganisations(t, Config{TLS: server}, nil)
	_, err := pgx.ConnectConfig(t.Context(), p.withPassword(t, millKey))
	assert.Equal(t, pgError(t, err).Code, codeInvalidAuthorization)
	config := p.withPassword(t, millKey)
	config.TLSConfig = client
	conn, err := pgx.ConnectConfig(t.Context(), config)
	assert.NilError(t, err)
	assert.NilError(t, conn.Close(t.Context()))
}

func TestOtherMessageInsteadOfPassword(t *testing.T) {
	p := startWithOrganisations(t, Config{}, nil)
	conn, err := net.Dial("tcp", p.address)
	assert.NilError(t, err)
	defer conn.Close()
	frontend := pgproto3.NewFrontend(conn, conn)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "caller", "database": "spares"},
	})
	frontend.Send(&pgproto3.Query{String: "SELECT 1"})
	assert.NilError(t, frontend.Flush())
	for {
		msg, err := frontend.Receive()
		assert.NilError(t, err)
		if e, ok := msg.(*pgproto3.ErrorResponse); ok {
			assert.Equal(t, e.Code, codeProtocolViolation)
			break
		}
		_, ok := msg.(*pgproto3.AuthenticationCleartextPassword)
		assert.Assert(t, ok, "%T", msg)
	}
	_, err = frontend.Receive()
	assert.Assert(t, err != nil, "the connection stays open")
}
