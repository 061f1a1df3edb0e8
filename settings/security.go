package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// Security holds the key that all processes of a deployment share, and the
// files of TLS.
type Security struct {
	KeyFile         string // file with the cluster key
	AnnounceKeyFile string // file with the key that targets announce themselves with
	CertificateFile string
	PrivateKeyFile  string
	AuthorityFile   string
}

// security reads the settings of the system's own ports.
func (m *mapping) security() Security {
	s := m.sub("security")
	out := Security{
		KeyFile:         s.text("key_file", ""),
		AnnounceKeyFile: s.text("announce_key_file", ""),
		CertificateFile: s.text("certificate_file", ""),
		PrivateKeyFile:  s.text("private_key_file", ""),
		AuthorityFile:   s.text("authority_file", ""),
	}
	s.close()
	if out.AnnounceKeyFile != "" && out.KeyFile == "" {
		m.add(s.at("announce_key_file"), join(s.path, "announce_key_file"), "is given, but key_file is missing")
	}
	given := 0
	for _, f := range []string{out.CertificateFile, out.PrivateKeyFile, out.AuthorityFile} {
		if f != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		m.add(s.node, s.path, "TLS needs certificate_file, private_key_file and authority_file")
	}
	return out
}

// TLS reports whether the system's own ports use TLS.
func (s Security) TLS() bool { return s.CertificateFile != "" }

// Key returns the cluster key, or nothing when no file is named.
func (s Security) Key() (string, error) {
	key, err := ReadSecret(s.KeyFile)
	return key, trace.Wrap(err, "reading the cluster key")
}

// AnnounceKey returns the key of announcements, or nothing when no file is
// named.
func (s Security) AnnounceKey() (string, error) {
	key, err := ReadSecret(s.AnnounceKeyFile)
	return key, trace.Wrap(err, "reading the key of announcements")
}

// TLSConfigs holds the two sides of TLS; both are nil when it is off.
type TLSConfigs struct {
	Server *tls.Config
	Client *tls.Config
}

// LoadTLS reads the files of TLS. Both sides show a certificate and check the
// other's against the authority.
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
		return TLSConfigs{}, trace.BadParameter("file %s holds no certificate", s.AuthorityFile)
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

// Load reads the files and returns the server side, or nil when it is off.
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

// ReadSecret returns the content of a file without the space around it, or
// nothing when no file is named.
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
