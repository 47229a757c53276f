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

// writeFleetTLS writes a CA certificate, which is also the host certificate, and its
// key to a directory.
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

// Guards against relayed requests from outside the fleet. A client without the
// fleet's certificate, over plain HTTP or with a TLS certificate of its own, sends a
// request to a relay listener in the name of a customer. No such request may reach
// an upstream. The fleet's own requests must work, also after its certificates were
// replaced. The old certificate must then be rejected, on open connections too.
func TestRelayAcceptsOnlyFleetCertificates(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	files := writeFleetTLS(t, t.TempDir())
	f.startWith("vt-1", "vt-a", tlsSettings(files))
	f.startWith("me-1", "me-a", tlsSettings(files))
	c := twoRegionConfig()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "me-a", fastUpstream)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	lookup := func() wire.Outcome {
		return f.call("vt-1", http.MethodGet, "lookup/animal/7", "secret", nil).Outcome
	}
	g.Expect(lookup()).To(Equal(wire.OutcomeRan))
	servedBefore := f.upstreams["lookup-1"].Stats().Total

	foreignFiles := writeFleetTLS(t, t.TempDir())
	foreignCert, err := tls.LoadX509KeyPair(foreignFiles.CertFile, foreignFiles.KeyFile)
	g.Expect(err).NotTo(HaveOccurred())
	sendRelayed := func(scheme string, transport *http.Transport) error {
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
	sendForged := func(scheme string, conf *tls.Config) error {
		transport := &http.Transport{TLSClientConfig: conf}
		defer transport.CloseIdleConnections()
		return sendRelayed(scheme, transport)
	}
	g.Expect(sendForged("http", nil)).NotTo(Succeed())
	g.Expect(sendForged("https", &tls.Config{InsecureSkipVerify: true})).NotTo(Succeed())
	g.Expect(sendForged("https", &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{foreignCert}})).NotTo(Succeed())
	g.Expect(f.upstreams["lookup-1"].Stats().Total).To(Equal(servedBefore))

	oldCert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	g.Expect(err).NotTo(HaveOccurred())
	keptTransport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{oldCert}}}
	defer keptTransport.CloseIdleConnections()
	g.Expect(sendRelayed("https", keptTransport)).To(Succeed())

	writeFleetTLS(t, filepath.Dir(files.CertFile))
	newCert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() error {
		return sendForged("https", &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{newCert}})
	}, settleTimeout).Should(Succeed())
	g.Expect(sendRelayed("https", keptTransport)).NotTo(Succeed())
	g.Eventually(lookup, settleTimeout).Should(Equal(wire.OutcomeRan))
}

// Guards against an unprotected relay listener: a daemon that cannot read its TLS
// files must not start.
func TestUnreadableTLSFilesPreventStart(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.Parse("test", []byte(`{"host":"a","zone":"z","platform":{"url":"http://127.0.0.1:1"},`+
		tlsSettings(settings.TLS{CertFile: "/none", KeyFile: "/none", CAFile: "/none"})+`}`))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = daemon.New(s, telemetry.NewLogger(t.Output(), "info"), daemon.Options{})
	g.Expect(err).To(HaveOccurred())
}
