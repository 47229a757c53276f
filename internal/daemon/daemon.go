package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"balsambarrow/internal/config"
	"balsambarrow/internal/entry"
	"balsambarrow/internal/lookup"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/operator"
	"balsambarrow/internal/peer"
	"balsambarrow/internal/platform"
	"balsambarrow/internal/posting"
	"balsambarrow/internal/quota"
	"balsambarrow/internal/relay"
	"balsambarrow/internal/settings"
	"balsambarrow/internal/telemetry"
	"balsambarrow/internal/upstream"
	"balsambarrow/internal/view"
)

// Bounds of slow callers.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
)

// Options are what tests replace.
type Options struct {
	// Dial opens every connection to peers, relays, upstreams and the
	// platform. Default: net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// LookupTTL is how long a stopping daemon waits for callers to look
	// elsewhere. Default: lookup.TTL.
	LookupTTL time.Duration
}

// Daemon is one running balsambarrowd.
type Daemon struct {
	settings *settings.Settings
	options  Options
	log      *log.Logger
	tracing  *telemetry.Tracing
	metrics  *metrics.Set
	identity membership.Member

	store    platform.Store
	hostList platform.HostList
	platform *platform.Client
	conns    *peer.Conns
	client   *upstream.Client

	view     view.Published
	ledger   *quota.Ledger
	handler  *upstream.Handler
	postings *posting.Table
	control  *control
	// lease is the store's lease that slots are held under; it is written by
	// the control thread only.
	lease string

	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	servers []*http.Server
	errs    chan error
}

// New makes a daemon and opens its listeners. Start lets it serve.
func New(s *settings.Settings, logger *log.Logger, opts Options) (*Daemon, error) {
	tracing, err := telemetry.NewTracing(s.TraceFile)
	if err != nil {
		return nil, err
	}
	if opts.LookupTTL == 0 {
		opts.LookupTTL = lookup.TTL
	}
	instance := s.Host + "-" + uuid.NewString()[:8]
	d := &Daemon{
		settings: s, options: opts, tracing: tracing, metrics: metrics.NewSet(),
		log:      logger.With("host", s.Host, "zone", s.Zone),
		platform: platform.NewClient(s.Platform.URL, s.PlatformTimeout(), opts.Dial),
		conns:    peer.NewConns(opts.Dial, nil),
		client:   upstream.NewClient(opts.Dial),
		ledger:   quota.NewLedger(),
		handler:  upstream.NewHandler(),
		postings: posting.NewTable(instance, time.Now()),
		errs:     make(chan error, 4),
	}
	d.store, d.hostList = d.platform, d.platform
	d.identity = membership.Member{Instance: instance, Host: s.Host, Zone: s.Zone}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.control = newControl(d)
	return d, nil
}

// Identity is this daemon's name and addresses, known after Start.
func (d *Daemon) Identity() membership.Member { return d.identity }

// OperatorsAddress is the operators' listener, known after Start.
func (d *Daemon) OperatorsAddress() string { return d.servers[1].Addr }

// View is the snapshot in force.
func (d *Daemon) View() *view.Snapshot { return d.view.Load() }

// Start opens the listeners and begins to serve.
func (d *Daemon) Start() error {
	peers, err := d.listenAll()
	if err != nil {
		return err
	}
	mux := drpcmux.New()
	if err := errors.WithStack(peer.DRPCRegisterMembership(mux, d)); err != nil {
		return err
	}
	if err := errors.WithStack(peer.DRPCRegisterConfiguration(mux, d)); err != nil {
		return err
	}
	if err := errors.WithStack(peer.DRPCRegisterQuota(mux, d)); err != nil {
		return err
	}
	d.spawn(func(ctx context.Context) { _ = drpcserver.New(mux).Serve(ctx, peers) })
	d.spawn(d.control.run)
	d.spawn(d.borrow)
	d.spawn(d.followConfig)
	d.log.Info("listening", "instance", d.identity.Instance, "callers", d.identity.Callers,
		"operators", d.OperatorsAddress(), "peers", d.identity.Peers, "relay", d.identity.Relay)
	return nil
}

func (d *Daemon) listenAll() (net.Listener, error) {
	runner := &upstream.Runner{Handler: d.handler, Client: d.client, KeyValid: d.keyValid, Tracer: d.tracing.Tracer}
	scheme := "http"
	front := entry.New(entry.Deps{
		View: &d.view, Ledger: d.ledger, Postings: d.postings, Local: runner,
		Relay:        relay.NewClient(d.client, scheme, d.identity.Instance),
		MaxBodyBytes: d.settings.Limits.MaxBodyBytes, Tracer: d.tracing.Tracer, Log: d.log,
	})
	operators := operator.New(operator.Deps{
		View: &d.view, Repository: config.NewRepository(d.store, time.Now), Metrics: d.metrics,
		Adopt: func(r *config.Record) { d.control.send(recordFound{record: r, confirmed: time.Now()}) },
	})
	relays := &relay.Server{Handle: runner, Posting: entry.PostingRunner{Server: front}}
	var err error
	if d.identity.Callers, err = d.serveHTTP(d.settings.Listen.Callers, front); err != nil {
		return nil, err
	}
	if _, err = d.serveHTTP(d.settings.Listen.Operators, operators); err != nil {
		return nil, err
	}
	if d.identity.Relay, err = d.serveHTTP(d.settings.Listen.Relay, relays); err != nil {
		return nil, err
	}
	peers, err := net.Listen("tcp", d.settings.Listen.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	d.identity.Peers = peers.Addr().String()
	return peers, nil
}

func (d *Daemon) serveHTTP(address string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{
		Addr: l.Addr().String(), Handler: handler,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: d.settings.Limits.MaxHeaderBytes,
		ErrorLog:       d.log.StandardLog(),
	}
	d.servers = append(d.servers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.errs <- err
		}
	}()
	return server.Addr, nil
}

func (d *Daemon) keyValid(digest config.Digest, customer string) bool {
	active := d.view.Load().Config
	if active == nil {
		return false
	}
	owner, ok := active.Owner(digest)
	return ok && owner.Customer == customer
}

// spawn runs a task that ends with the daemon.
func (d *Daemon) spawn(task func(context.Context)) {
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		task(d.ctx)
	}()
}

// Failed reports a listener that broke.
func (d *Daemon) Failed() <-chan error { return d.errs }
