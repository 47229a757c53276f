package tlsfiles

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Errors of this package.
var (
	// ErrNoCACertificate says that a CA file holds no certificate.
	ErrNoCACertificate = errors.New("tlsfiles: no certificate in the CA file")
	// ErrNoCertificate says that a peer showed no certificate.
	ErrNoCertificate = errors.New("tlsfiles: peer shows no certificate")
)

// Files names the three files, all PEM.
type Files struct {
	Cert, Key, CA string
}

// contents is what the files held at one moment.
type contents struct {
	cert, key, ca []byte
}

// material is what the contents mean.
type material struct {
	contents
	certificate tls.Certificate
	authority   *x509.CertPool
	// trusted are the digests ([32]byte) of clients' certificates that were
	// checked against this authority; a fleet has one or two for each daemon.
	trusted sync.Map
}

// Source holds the certificate in force. It is safe for concurrent use;
// Refresh is for one goroutine.
type Source struct {
	files   Files
	current atomic.Pointer[material]
}

// Load reads the files.
func Load(files Files) (*Source, error) {
	s := &Source{files: files}
	if _, err := s.Refresh(); err != nil {
		return nil, err
	}
	return s, nil
}

// Refresh reads the files again and reports whether they changed. Files that
// cannot be used leave the ones before in force: a certificate and a key are
// replaced one after the other, and between the two they do not fit.
func (s *Source) Refresh() (changed bool, err error) {
	read, err := s.files.read()
	if err != nil {
		return false, err
	}
	if now := s.current.Load(); now != nil && now.equal(read) {
		return false, nil
	}
	next, err := parse(read)
	if err != nil {
		return false, err
	}
	s.current.Store(next)
	return true, nil
}

func (f Files) read() (contents, error) {
	var c contents
	for path, into := range map[string]*[]byte{f.Cert: &c.cert, f.Key: &c.key, f.CA: &c.ca} {
		text, err := os.ReadFile(path)
		if err != nil {
			return contents{}, errors.Wrap(err, "read TLS file")
		}
		*into = text
	}
	return c, nil
}

func (c contents) equal(other contents) bool {
	return bytes.Equal(c.cert, other.cert) && bytes.Equal(c.key, other.key) && bytes.Equal(c.ca, other.ca)
}

func parse(c contents) (*material, error) {
	certificate, err := tls.X509KeyPair(c.cert, c.key)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate and key")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(c.ca) {
		return nil, ErrNoCACertificate
	}
	return &material{contents: c, certificate: certificate, authority: authority}, nil
}

// ServerConfig returns the configuration of a listener. Each handshake uses what is
// in force at that moment.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := s.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{now.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    now.authority,
				// A resumed session would outlive the authority that let it in.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig returns the configuration of one new connection to another daemon.
//
// The library's own check is replaced because it compares names. The chain to
// the authority, the dates and the purpose are checked here, on every
// handshake; without that anyone who can answer at a daemon's address would be
// given callers' requests.
func (s *Source) ClientConfig() *tls.Config {
	now := s.current.Load()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{now.certificate},
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(now.authority, state, x509.ExtKeyUsageServerAuth)
		},
	}
}

// VerifyClient checks the client of a standing connection against the authority in
// force now. A connection that is in use outlives the files that it was made
// by: a daemon whose authority was withdrawn would go on being believed.
func (s *Source) VerifyClient(state *tls.ConnectionState) error {
	if state == nil || len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	now := s.current.Load()
	leaf := state.PeerCertificates[0]
	digest := sha256.Sum256(leaf.Raw)
	if _, known := now.trusted.Load(digest); known && time.Now().Before(leaf.NotAfter) {
		return nil
	}
	if err := verify(now.authority, *state, x509.ExtKeyUsageClientAuth); err != nil {
		return err
	}
	now.trusted.Store(digest, struct{}{})
	return nil
}

func verify(authority *x509.CertPool, state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: between, CurrentTime: time.Now(),
		KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return errors.Wrap(err, "verify peer")
}
