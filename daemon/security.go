package daemon

import (
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"

	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/gravitational/trace"
)

// readSecret returns the content of a file without the space around it, or
// nothing when no file is named.
func readSecret(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	secret := strings.TrimSpace(string(data))
	if secret == "" {
		return "", trace.BadParameter("file %s is empty", file)
	}
	return secret, nil
}

// tlsConfigs holds the two sides of TLS; both are nil when it is off.
type tlsConfigs struct {
	server *tls.Config
	client *tls.Config
}

// loadTLS reads the files of TLS. Both sides show a certificate and check the
// other's against the authority.
func loadTLS(s settings.Security) (tlsConfigs, error) {
	if !s.TLS() {
		return tlsConfigs{}, nil
	}
	cert, err := tls.LoadX509KeyPair(s.CertificateFile, s.PrivateKeyFile)
	if err != nil {
		return tlsConfigs{}, trace.Wrap(err, "reading the certificate %s", s.CertificateFile)
	}
	pem, err := os.ReadFile(s.AuthorityFile)
	if err != nil {
		return tlsConfigs{}, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return tlsConfigs{}, trace.BadParameter("file %s holds no certificate", s.AuthorityFile)
	}
	return tlsConfigs{
		server: &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert},
			ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		},
		client: &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool,
		},
	}, nil
}

// requireKey lets requests below /v1/ pass only with the cluster key. With an
// empty key, which the settings allow on loopback only, all pass.
func requireKey(key string) func(http.Handler) http.Handler {
	want := []byte("Bearer " + key)
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got := []byte(r.Header.Get("Authorization"))
			guarded := key != "" && strings.HasPrefix(r.URL.Path, "/v1/")
			if guarded && subtle.ConstantTimeCompare(got, want) != 1 {
				writeError(w, &api.Error{Kind: api.ErrUnauthorized, Message: "the cluster key is missing or wrong"})
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}
