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

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
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
	return &authority{cert: cert, key: key}
}

// write puts a certificate that ends at until into dir, with this authority.
func (a *authority) write(t *testing.T, dir string, until time.Time) tlsfiles.Files {
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

func (a *authority) source(t *testing.T, until time.Time) *tlsfiles.Source {
	t.Helper()
	s, err := tlsfiles.Load(a.write(t, t.TempDir(), until))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return s
}

// talk lets a client of one configuration read a byte from a server of
// another; both must agree.
func talk(t *testing.T, client, server *tls.Config) error {
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

// Someone who can reach a daemon's port, or answer at its address, without a
// certificate of the fleet must get nowhere.
func TestOnlyTheFleetsCertificatesAreBelieved(t *testing.T) {
	g := NewWithT(t)
	soon := time.Now().Add(time.Hour)
	fleet, stranger := newAuthority(t), newAuthority(t)
	good, wrong := fleet.source(t, soon), stranger.source(t, soon)
	expired := fleet.source(t, time.Now().Add(-time.Hour))
	bare := good.ClientConfig()
	bare.Certificates = nil

	g.Expect(talk(t, good.ClientConfig(), good.ServerConfig())).To(Succeed())
	for name, pair := range map[string][2]*tls.Config{
		"client of another authority": {wrong.ClientConfig(), good.ServerConfig()},
		"server of another authority": {good.ClientConfig(), wrong.ServerConfig()},
		"client without certificate":  {bare, good.ServerConfig()},
		"expired client":              {expired.ClientConfig(), good.ServerConfig()},
		"expired server":              {good.ClientConfig(), expired.ServerConfig()},
	} {
		g.Expect(talk(t, pair[0], pair[1])).NotTo(Succeed(), name)
	}
}

// An operator replaces the three files, one after the other, by those of a new
// authority. Half-written files change nothing; whole ones count at once.
func TestChangedFilesCount(t *testing.T) {
	g := NewWithT(t)
	soon := time.Now().Add(time.Hour)
	before, after := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	files := before.write(t, dir, soon)
	s, err := tlsfiles.Load(files)
	g.Expect(err).NotTo(HaveOccurred())
	server := s.ServerConfig()
	g.Expect(os.WriteFile(files.Cert, []byte("half"), 0o600)).To(Succeed())
	changed, err := s.Refresh()
	g.Expect(changed).To(BeFalse())
	g.Expect(err).To(HaveOccurred())
	g.Expect(talk(t, before.source(t, soon).ClientConfig(), server)).To(Succeed())

	after.write(t, dir, soon)
	changed, err = s.Refresh()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeTrue())
	g.Expect(talk(t, after.source(t, soon).ClientConfig(), server)).To(Succeed())
	g.Expect(talk(t, before.source(t, soon).ClientConfig(), server)).NotTo(Succeed())
}
