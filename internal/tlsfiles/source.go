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
	// ErrNoCACertificate means that the CA file holds no certificate.
	ErrNoCACertificate = errors.New("tlsfiles: no certificate in the CA file")
	// ErrNoCertificate means that a peer has presented no certificate.
	ErrNoCertificate = errors.New("tlsfiles: peer shows no certificate")
)

// Files holds the paths of the three files, all in PEM format.
type Files struct {
	Cert, Key, CA string
}

// contents holds the bytes of the three files.
type contents struct {
	cert, key, ca []byte
}

// credentials holds the parsed contents.
type credentials struct {
	contents
	certificate tls.Certificate
	caPool      *x509.CertPool
	// verifiedClients holds the SHA-256 digests ([32]byte) of the client
	// certificates that were verified against this CA. There are one or two for
	// each daemon of the fleet.
	verifiedClients sync.Map
}

// Source holds the current credentials. It is safe for concurrent use, except that
// only one goroutine may call Refresh.
type Source struct {
	files   Files
	current atomic.Pointer[credentials]
}

// Load reads the files and returns a Source.
func Load(files Files) (*Source, error) {
	s := &Source{files: files}
	if _, err := s.Refresh(); err != nil {
		return nil, err
	}
	return s, nil
}

// Refresh reads the files again and reports whether they have changed. If they are
// unusable, the previous credentials stay in use: a certificate and its key are
// replaced one after the other, and do not match in between.
func (s *Source) Refresh() (changed bool, err error) {
	read, err := s.files.read()
	if err != nil {
		return false, err
	}
	if current := s.current.Load(); current != nil && current.equal(read) {
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
	for path, dst := range map[string]*[]byte{f.Cert: &c.cert, f.Key: &c.key, f.CA: &c.ca} {
		text, err := os.ReadFile(path)
		if err != nil {
			return contents{}, errors.Wrap(err, "read TLS file")
		}
		*dst = text
	}
	return c, nil
}

func (c contents) equal(other contents) bool {
	return bytes.Equal(c.cert, other.cert) && bytes.Equal(c.key, other.key) && bytes.Equal(c.ca, other.ca)
}

func parse(c contents) (*credentials, error) {
	certificate, err := tls.X509KeyPair(c.cert, c.key)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate and key")
	}
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM(c.ca) {
		return nil, ErrNoCACertificate
	}
	return &credentials{contents: c, certificate: certificate, caPool: caPool}, nil
}

// ServerConfig returns the TLS configuration of a listener. Each handshake uses the
// credentials that are current at that time.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := s.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{current.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.caPool,
				// A resumed session would stay valid after its CA was replaced.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig returns the TLS configuration of one new connection to another daemon.
//
// The default verification of crypto/tls is replaced, because it compares names.
// VerifyConnection checks the chain to the CA, the validity period and the key usage
// on every handshake. Without this check, anyone who can listen at a daemon's address
// would receive callers' requests.
func (s *Source) ClientConfig() *tls.Config {
	current := s.current.Load()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{current.certificate},
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(current.caPool, state, x509.ExtKeyUsageServerAuth)
		},
	}
}

// VerifyClient verifies the client certificate of an established connection against
// the current CA. A connection may outlive the credentials with which it was opened;
// without this check, a client would stay trusted after its CA was replaced.
func (s *Source) VerifyClient(state *tls.ConnectionState) error {
	if state == nil || len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	current := s.current.Load()
	leaf := state.PeerCertificates[0]
	digest := sha256.Sum256(leaf.Raw)
	if _, known := current.verifiedClients.Load(digest); known && time.Now().Before(leaf.NotAfter) {
		return nil
	}
	if err := verifyPeer(current.caPool, *state, x509.ExtKeyUsageClientAuth); err != nil {
		return err
	}
	current.verifiedClients.Store(digest, struct{}{})
	return nil
}

func verifyPeer(caPool *x509.CertPool, state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: caPool, Intermediates: intermediates, CurrentTime: time.Now(),
		KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return errors.Wrap(err, "verify peer")
}
