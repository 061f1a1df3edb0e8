package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// Security names the files with the keys and the TLS certificates of the ports that
// the processes of a deployment and its operators use.
type Security struct {
	KeyFile         string // cluster key, which all processes of a deployment share
	AnnounceKeyFile string // key that allows announcements of targets only
	CertificateFile string
	PrivateKeyFile  string
	AuthorityFile   string // certificate authority of all processes
}

// security reads the security settings of the system's internal ports.
func (m *mapping) security() Security {
	s := m.submapping("security")
	out := Security{
		KeyFile:         s.text("key_file", ""),
		AnnounceKeyFile: s.text("announce_key_file", ""),
		CertificateFile: s.text("certificate_file", ""),
		PrivateKeyFile:  s.text("private_key_file", ""),
		AuthorityFile:   s.text("authority_file", ""),
	}
	s.reportUnknownKeys()
	if out.AnnounceKeyFile != "" && out.KeyFile == "" {
		m.addFinding(s.valueNode("announce_key_file"), joinPath(s.path, "announce_key_file"), "is given, but key_file is missing")
	}
	given := 0
	for _, f := range []string{out.CertificateFile, out.PrivateKeyFile, out.AuthorityFile} {
		if f != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		m.addFinding(s.node, s.path, "TLS needs certificate_file, private_key_file and authority_file")
	}
	return out
}

// TLS reports whether the system's internal ports use TLS.
func (s Security) TLS() bool { return s.CertificateFile != "" }

// Key returns the cluster key, or the empty string if no file is configured.
func (s Security) Key() (string, error) {
	key, err := ReadSecret(s.KeyFile)
	return key, trace.Wrap(err, "reading the cluster key")
}

// AnnounceKey returns the announcement key, or the empty string if no file is
// configured.
func (s Security) AnnounceKey() (string, error) {
	key, err := ReadSecret(s.AnnounceKeyFile)
	return key, trace.Wrap(err, "reading the announcement key")
}

// TLSConfigs holds the TLS configurations of servers and clients; both are nil when
// TLS is off.
type TLSConfigs struct {
	Server *tls.Config
	Client *tls.Config
}

// LoadTLS reads the TLS files. Server and client both present the certificate and
// verify the peer's certificate against the authority.
func (s Security) LoadTLS() (TLSConfigs, error) {
	if !s.TLS() {
		return TLSConfigs{}, nil
	}
	cert, err := tls.LoadX509KeyPair(s.CertificateFile, s.PrivateKeyFile)
	if err != nil {
		return TLSConfigs{}, trace.Wrap(err, "reading the certificate %s", s.CertificateFile)
	}
	pem, err := os.ReadFile(s.AuthorityFile)
	if err != nil {
		return TLSConfigs{}, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return TLSConfigs{}, trace.BadParameter("file %s contains no PEM certificate", s.AuthorityFile)
	}
	certs := []tls.Certificate{cert}
	return TLSConfigs{
		Server: &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: certs,
			ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		},
		Client: &tls.Config{MinVersion: tls.VersionTLS13, Certificates: certs, RootCAs: pool},
	}, nil
}

// Load reads the files and returns the server configuration, or nil when TLS is off.
func (c CallersTLS) Load() (*tls.Config, error) {
	if c == (CallersTLS{}) {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(c.CertificateFile, c.PrivateKeyFile)
	if err != nil {
		return nil, trace.Wrap(err, "reading the certificate %s", c.CertificateFile)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}}, nil
}

// ReadSecret returns the content of a file without surrounding white space, or the
// empty string if no file is named.
func ReadSecret(file string) (string, error) {
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
