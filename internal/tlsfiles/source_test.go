package tlsfiles_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/tlsfiles"
)

// testCA is a CA that signs certificates for tests.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newCA(t *testing.T) *testCA {
	t.Helper()
	g := NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(HaveOccurred())
	return &testCA{cert: cert, key: key}
}

// write writes a new certificate that is valid until the given time into dir, with its
// key and the CA's certificate.
func (a *testCA) write(t *testing.T, dir string, until time.Time) tlsfiles.Files {
	t.Helper()
	g := NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "host"},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey, a.key)
	g.Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	files := tlsfiles.Files{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	for path, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: der},
		files.Key:  {Type: "EC PRIVATE KEY", Bytes: keyDER},
		files.CA:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		g.Expect(os.WriteFile(path, pem.EncodeToMemory(block), 0o600)).To(Succeed())
	}
	return files
}

func (a *testCA) source(t *testing.T, until time.Time) *tlsfiles.Source {
	t.Helper()
	s, err := tlsfiles.Load(a.write(t, t.TempDir(), until))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return s
}

// readByte connects a client to a server with the given configurations and reads one
// byte. It fails if either side rejects the other.
func readByte(t *testing.T, client, server *tls.Config) error {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	go func() {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = raw.Close() }()
		_, _ = tls.Server(raw, server).Write([]byte("x"))
	}()
	conn, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = io.ReadFull(conn, make([]byte, 1))
	return err
}

// A client or server without a valid certificate of the fleet's CA must be rejected,
// even if it can connect to a daemon's port or listen at its address.
func TestOnlyFleetCertificatesAreAccepted(t *testing.T) {
	g := NewWithT(t)
	soon := time.Now().Add(time.Hour)
	fleet, stranger := newCA(t), newCA(t)
	good, wrong := fleet.source(t, soon), stranger.source(t, soon)
	expired := fleet.source(t, time.Now().Add(-time.Hour))
	noCertificate := good.ClientConfig()
	noCertificate.Certificates = nil

	g.Expect(readByte(t, good.ClientConfig(), good.ServerConfig())).To(Succeed())
	for name, pair := range map[string][2]*tls.Config{
		"client of another authority": {wrong.ClientConfig(), good.ServerConfig()},
		"server of another authority": {good.ClientConfig(), wrong.ServerConfig()},
		"client without certificate":  {noCertificate, good.ServerConfig()},
		"expired client":              {expired.ClientConfig(), good.ServerConfig()},
		"expired server":              {good.ClientConfig(), expired.ServerConfig()},
	} {
		g.Expect(readByte(t, pair[0], pair[1])).NotTo(Succeed(), name)
	}
}

// An operator replaces the three files one after the other with those of a new CA.
// Partially written files change nothing; complete files take effect at once.
func TestChangedFilesTakeEffect(t *testing.T) {
	g := NewWithT(t)
	soon := time.Now().Add(time.Hour)
	before, after := newCA(t), newCA(t)
	dir := t.TempDir()
	files := before.write(t, dir, soon)
	s, err := tlsfiles.Load(files)
	g.Expect(err).NotTo(HaveOccurred())
	server := s.ServerConfig()
	g.Expect(os.WriteFile(files.Cert, []byte("half"), 0o600)).To(Succeed())
	changed, err := s.Refresh()
	g.Expect(changed).To(BeFalse())
	g.Expect(err).To(HaveOccurred())
	g.Expect(readByte(t, before.source(t, soon).ClientConfig(), server)).To(Succeed())

	after.write(t, dir, soon)
	changed, err = s.Refresh()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeTrue())
	g.Expect(readByte(t, after.source(t, soon).ClientConfig(), server)).To(Succeed())
	g.Expect(readByte(t, before.source(t, soon).ClientConfig(), server)).NotTo(Succeed())
}
