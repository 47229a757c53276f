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

// tlsRefreshInterval is how often the TLS files are read: a withdrawn authority
// counts within seconds, for the price of three small reads.
const tlsRefreshInterval = 2 * time.Second

// fleetTLS protects the peers and relay listeners. The relay listener believes
// what it is told about customer and key, since the sender has checked it:
// mutual TLS is what makes sure that the sender is a daemon of the fleet.
// Without it (settings: tls.plain) whoever reaches the port is believed.
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

// scheme of URLs of relay listeners.
func (s fleetTLS) scheme() string {
	if s.source == nil {
		return "http"
	}
	return "https"
}

// clientConfig returns the configuration of new connections; nil means plain TCP.
func (s fleetTLS) clientConfig() func() *tls.Config {
	if s.source == nil {
		return nil
	}
	return s.source.ClientConfig
}

func (s fleetTLS) wrapListener(l net.Listener) net.Listener {
	if s.source == nil {
		return l
	}
	return tls.NewListener(l, s.source.ServerConfig())
}

// requireTrustedClient refuses requests of clients that the authority in force no longer
// vouches for, on connections made before it changed.
func (s fleetTLS) requireTrustedClient(next http.Handler) http.Handler {
	if s.source == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.source.VerifyClient(r.TLS); err != nil {
			w.Header().Set("Connection", "close")
			wire.Refuse(wire.TypeNoRoom, "relay: "+err.Error(), tlsRefreshInterval).Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// watchTLSFiles takes over changed files until the daemon ends.
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
	d.peers.CloseConns()
	d.relayClient.Close()
}
