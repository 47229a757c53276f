package daemon_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	crypto "crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"balsambarrow/internal/config"
	"balsambarrow/internal/daemon"
	"balsambarrow/internal/settings"
	"balsambarrow/internal/telemetry"
	"balsambarrow/internal/wire"
)

// writeFleetTLS makes an authority and a certificate by it in a directory.
func writeFleetTLS(t *testing.T, dir string) settings.TLS {
	t.Helper()
	g := NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), crypto.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(crypto.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	files := settings.TLS{CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), CAFile: filepath.Join(dir, "ca")}
	for path, block := range map[string]*pem.Block{
		files.CertFile: {Type: "CERTIFICATE", Bytes: der},
		files.KeyFile:  {Type: "EC PRIVATE KEY", Bytes: keyDER},
		files.CAFile:   {Type: "CERTIFICATE", Bytes: der},
	} {
		g.Expect(os.WriteFile(path, pem.EncodeToMemory(block), 0o600)).To(Succeed())
	}
	return files
}

func tlsSettings(files settings.TLS) string {
	return fmt.Sprintf(`"tls":{"cert_file":%q,"key_file":%q,"ca_file":%q}`, files.CertFile, files.KeyFile, files.CAFile)
}

// Someone inside the network talks to a relay listener and claims to be a
// customer, without the fleet's certificate: over plain HTTP and over TLS of
// its own. No request of theirs may reach a worker. The fleet itself relays as
// before, also after its certificates were changed; who held the old ones is
// refused then, on standing connections too.
func TestRelayBelievesTheFleetOnly(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	files := writeFleetTLS(t, t.TempDir())
	f.startWith("vt-1", "vt-a", tlsSettings(files))
	f.startWith("me-1", "me-a", tlsSettings(files))
	c := twoRegions()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "me-a", quick)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	lookup := func() wire.Outcome {
		return f.call("vt-1", http.MethodGet, "lookup/animal/7", "secret", nil).Outcome
	}
	g.Expect(lookup()).To(Equal(wire.OutcomeRan))
	seen := f.upstreams["lookup-1"].Stats().Total

	wrong := writeFleetTLS(t, t.TempDir())
	own, err := tls.LoadX509KeyPair(wrong.CertFile, wrong.KeyFile)
	g.Expect(err).NotTo(HaveOccurred())
	ask := func(scheme string, transport *http.Transport) error {
		req, err := http.NewRequest(http.MethodGet, scheme+"://"+f.daemons["me-1"].Identity().RelayAddress+"/relay/lookup/x", nil)
		g.Expect(err).NotTo(HaveOccurred())
		req.Header.Set(wire.HeaderRole, wire.RoleHandle)
		req.Header.Set(wire.HeaderCustomer, "farm")
		req.Header.Set(wire.HeaderKeyDigest, config.DigestOf("secret").String())
		req.Header.Set(wire.HeaderBudgetMs, "1000")
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return errors.Errorf("status %d", resp.StatusCode)
		}
		return nil
	}
	forge := func(scheme string, conf *tls.Config) error {
		transport := &http.Transport{TLSClientConfig: conf}
		defer transport.CloseIdleConnections()
		return ask(scheme, transport)
	}
	g.Expect(forge("http", nil)).NotTo(Succeed())
	g.Expect(forge("https", &tls.Config{InsecureSkipVerify: true})).NotTo(Succeed())
	g.Expect(forge("https", &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{own}})).NotTo(Succeed())
	g.Expect(f.upstreams["lookup-1"].Stats().Total).To(Equal(seen))

	before, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	g.Expect(err).NotTo(HaveOccurred())
	standing := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{before}}}
	defer standing.CloseIdleConnections()
	g.Expect(ask("https", standing)).To(Succeed())

	writeFleetTLS(t, filepath.Dir(files.CertFile))
	fresh, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() error {
		return forge("https", &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{fresh}})
	}, settle).Should(Succeed())
	g.Expect(ask("https", standing)).NotTo(Succeed())
	g.Eventually(lookup, settle).Should(Equal(wire.OutcomeRan))
}

// A daemon whose TLS files cannot be read must not come up: in doubt it would
// serve the relay unprotected.
func TestUnreadableTLSFilesStopTheStart(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.Parse("test", []byte(`{"host":"a","zone":"z","platform":{"url":"http://127.0.0.1:1"},`+
		tlsSettings(settings.TLS{CertFile: "/none", KeyFile: "/none", CAFile: "/none"})+`}`))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = daemon.New(s, telemetry.NewLogger(t.Output(), "info"), daemon.Options{})
	g.Expect(err).To(HaveOccurred())
}
