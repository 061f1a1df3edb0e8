package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"gotest.tools/v3/assert"
)

// writeCertificates writes a self-signed certificate for loopback that is its own
// authority.
func writeCertificates(t *testing.T) settings.Security {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:        true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	dir := t.TempDir()
	out := settings.Security{
		CertificateFile: filepath.Join(dir, "cert.pem"), PrivateKeyFile: filepath.Join(dir, "key.pem"),
		AuthorityFile: filepath.Join(dir, "cert.pem"),
	}
	writePEM(t, out.CertificateFile, "CERTIFICATE", cert)
	writePEM(t, out.PrivateKeyFile, "EC PRIVATE KEY", private)
	return out
}

func writePEM(t *testing.T, name, kind string, data []byte) {
	t.Helper()
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	assert.NilError(t, os.WriteFile(name, text, 0o600))
}

// TestDaemonsOverTLS runs a control host and a proxy with certificates of the same
// authority. A client with another authority's certificate and one without TLS must
// be rejected.
func TestDaemonsOverTLS(t *testing.T) {
	ctx, secrets := testContext(t), writeCertificates(t)
	c := startControl(t, secrets)
	p, err := NewProxy(&settings.Daemon{
		Role: settings.RoleProxy, Host: "proxy-1", AvailabilityZone: "az-1", Region: "north",
		Listen:   settings.Listen{Callers: "127.0.0.1:0", HTTP: "127.0.0.1:0"},
		Control:  []types.Address{types.Address(c.peers.Addr().String())},
		Security: secrets,
		Limits:   settings.DefaultLimits(), Target: settings.DefaultTarget(), Shards: 1, DrainLimit: time.Second,
	}, "test")
	assert.NilError(t, err)
	t.Cleanup(runUntilStopped(t, p.Run))
	client, err := api.NewSecureClient([]string{p.http.Addr().String()}, secrets)
	assert.NilError(t, err)
	for {
		var st api.ProxyStatus
		assert.NilError(t, client.Call(ctx, http.MethodGet, api.PathStatus, nil, &st))
		if st.LeaseLive {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	other, err := api.NewSecureClient(client.Addresses, writeCertificates(t))
	assert.NilError(t, err)
	err = other.CallAddress(ctx, client.Addresses[0], http.MethodGet, api.PathStatus, nil, nil)
	assert.Assert(t, err != nil)
	plain := api.NewClient(client.Addresses, "", nil)
	err = plain.CallAddress(ctx, client.Addresses[0], http.MethodGet, api.PathStatus, nil, nil)
	assert.Assert(t, err != nil)
}
