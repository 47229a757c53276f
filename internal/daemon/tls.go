package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"balsambarrow/internal/settings"
	"balsambarrow/internal/tlsfiles"
	"balsambarrow/internal/wire"
)

// tlsRefreshInterval is the time between two reads of the TLS files. A
// removed certificate authority is no longer trusted after a few seconds, at
// the cost of three small reads per interval.
const tlsRefreshInterval = 2 * time.Second

// fleetTLS protects the peers and relay listeners. The relay listener trusts
// the customer and key in a request, because the sender has checked them.
// Mutual TLS ensures that the sender is a daemon of the fleet. Without TLS
// (settings: tls.plain), every client that can reach the port is trusted.
type fleetTLS struct {
	source *tlsfiles.Source
}

func newFleetTLS(t settings.TLS) (fleetTLS, error) {
	if t.Plain {
		return fleetTLS{}, nil
	}
	source, err := tlsfiles.Load(tlsfiles.Files{Cert: t.CertFile, Key: t.KeyFile, CA: t.CAFile})
	return fleetTLS{source: source}, err
}

// scheme returns the URL scheme of relay listeners.
func (t fleetTLS) scheme() string {
	if t.source == nil {
		return "http"
	}
	return "https"
}

// clientConfig returns a function that provides the TLS configuration of new
// connections, or nil for plain TCP.
func (t fleetTLS) clientConfig() func() *tls.Config {
	if t.source == nil {
		return nil
	}
	return t.source.ClientConfig
}

func (t fleetTLS) wrapListener(l net.Listener) net.Listener {
	if t.source == nil {
		return l
	}
	return tls.NewListener(l, t.source.ServerConfig())
}

// requireTrustedClient rejects requests of clients whose certificate fails
// verification against the certificate authority in force. Such requests arrive
// on connections that were opened before the authority changed.
func (t fleetTLS) requireTrustedClient(next http.Handler) http.Handler {
	if t.source == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := t.source.VerifyClient(r.TLS); err != nil {
			w.Header().Set("Connection", "close")
			wire.NotRunProblem(wire.TypeNoRoom, "relay: "+err.Error(), tlsRefreshInterval).Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// watchTLSFiles applies changed TLS files until the daemon ends.
func (d *Daemon) watchTLSFiles(ctx context.Context) {
	ticker := time.NewTicker(tlsRefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.refreshTLS()
		}
	}
}

func (d *Daemon) refreshTLS() {
	changed, err := d.fleetTLS.source.Refresh()
	if err != nil {
		d.log.Warn("tls_files_unusable", "err", err)
		return
	}
	if !changed {
		return
	}
	d.log.Info("tls_files_changed")
	d.conns.CloseIdle()
	d.peerListener.CloseConns()
	d.relayClient.Close()
}
