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

// refreshEvery is how often the TLS files are read: a withdrawn authority
// counts within seconds, for the price of three small reads.
const refreshEvery = 2 * time.Second

// security protects the peers and relay listeners. The relay listener believes
// what it is told about customer and key, since the sender has checked it:
// mutual TLS is what makes sure that the sender is a daemon of the fleet.
// Without it (settings: tls.plain) whoever reaches the port is believed.
type security struct {
	source *tlsfiles.Source
}

func newSecurity(t settings.TLS) (security, error) {
	if t.Plain {
		return security{}, nil
	}
	source, err := tlsfiles.Load(tlsfiles.Files{Cert: t.CertFile, Key: t.KeyFile, CA: t.CAFile})
	return security{source: source}, err
}

// scheme of URLs of relay listeners.
func (s security) scheme() string {
	if s.source == nil {
		return "http"
	}
	return "https"
}

// client returns the configuration of new connections; nil means plain TCP.
func (s security) client() func() *tls.Config {
	if s.source == nil {
		return nil
	}
	return s.source.ClientConfig
}

func (s security) listener(l net.Listener) net.Listener {
	if s.source == nil {
		return l
	}
	return tls.NewListener(l, s.source.ServerConfig())
}

// guarded refuses requests of clients that the authority in force no longer
// vouches for, on connections made before it changed.
func (s security) guarded(next http.Handler) http.Handler {
	if s.source == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.source.VerifyClient(r.TLS); err != nil {
			w.Header().Set("Connection", "close")
			wire.Refuse(wire.TypeNoRoom, "relay: "+err.Error(), refreshEvery).Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// followTLSFiles takes over changed files until the daemon ends.
func (d *Daemon) followTLSFiles(ctx context.Context) {
	ticker := time.NewTicker(refreshEvery)
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
	changed, err := d.security.source.Refresh()
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
