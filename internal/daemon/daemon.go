package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"

	"balsambarrow/internal/config"
	"balsambarrow/internal/entry"
	"balsambarrow/internal/kv"
	"balsambarrow/internal/lookup"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/operator"
	"balsambarrow/internal/peer"
	"balsambarrow/internal/posting"
	"balsambarrow/internal/quota"
	"balsambarrow/internal/relay"
	"balsambarrow/internal/retry"
	"balsambarrow/internal/settings"
	"balsambarrow/internal/telemetry"
	"balsambarrow/internal/upstream"
	"balsambarrow/internal/view"
	"balsambarrow/platform"
)

// Timeouts for slow clients, on every HTTP listener. The size of a body is
// limited by the handler that reads it.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// operatorTimeout limits the time to read an operator's full request. The
	// largest request is a patch of a few megabytes.
	operatorTimeout = 30 * time.Second
)

// Options are the parameters that tests override.
type Options struct {
	// Dial opens every connection to peers, relay listeners, upstreams and the
	// platform. Default: net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// LookupTTL is how long a stopping daemon waits for its callers to look up
	// another entry host. Default: lookup.TTL.
	LookupTTL time.Duration
}

// Daemon is one running balsambarrowd process.
type Daemon struct {
	settings *settings.Settings
	options  Options
	log      *log.Logger
	tracing  *telemetry.Tracing
	metrics  *telemetry.Metrics
	identity membership.Member

	store        kv.Store
	platform     *platform.Store
	fleetTLS     fleetTLS
	peerListener *peer.Listener
	conns        *peer.Conns
	// client sends requests to upstreams, and relayClient to other daemons.
	client      *upstream.Client
	relayClient *upstream.Client

	view           view.Publisher
	ledger         *quota.Ledger
	handler        *upstream.Handler
	postings       *posting.Table
	requestLimiter *entry.RequestLimiter
	control        *control
	ctx            context.Context
	cancel         context.CancelFunc
	tasks          sync.WaitGroup
	servers        []*http.Server
	// answersUntil is when a planned stop ends the requests that still run; nil
	// before, or if the stop has no limit.
	answersUntil atomic.Pointer[time.Time]
	listenerErrs chan error
}

// New creates a daemon. Start opens its listeners and begins to serve.
func New(s *settings.Settings, logger *log.Logger, opts Options) (*Daemon, error) {
	tracing, err := telemetry.NewTracing(s.TraceFile)
	if err != nil {
		return nil, err
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{}).DialContext
	}
	if opts.LookupTTL == 0 {
		opts.LookupTTL = lookup.TTL
	}
	security, err := newFleetTLS(s.TLS)
	if err != nil {
		return nil, err
	}
	instance := s.Host + "-" + uuid.NewString()[:8]
	d := &Daemon{
		settings: s, options: opts, tracing: tracing, metrics: telemetry.NewMetrics(),
		log:      logger.With("host", s.Host, "zone", s.Zone),
		fleetTLS: security,
		conns:    peer.NewConns(opts.Dial, security.clientConfig()),
		client:   upstream.NewClient(opts.Dial),

		relayClient:    upstream.NewTLSClient(opts.Dial, security.clientConfig()),
		ledger:         quota.NewLedger(),
		handler:        upstream.NewHandler(),
		postings:       posting.NewTable(instance, time.Now(), posting.DefaultLimits()),
		listenerErrs:   make(chan error, 4),
		requestLimiter: entry.NewRequestLimiter(s.Limits.MaxRunning),
	}
	d.platform = platform.NewStore(s.Platform.URL, opts.Dial, d.metrics.StoreCall)
	d.store = kv.WithTimeout(d.platform, s.PlatformTimeout())
	d.registerGauges()
	d.identity = membership.Member{Instance: instance, Host: s.Host, Zone: s.Zone}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.control = newControl(d)
	return d, nil
}

// Identity returns the name and the addresses of this daemon. They are complete
// after Start.
func (d *Daemon) Identity() membership.Member { return d.identity }

// OperatorsAddress returns the address of the operators' listener. It is valid
// after Start.
func (d *Daemon) OperatorsAddress() string { return d.servers[1].Addr }

// View returns the snapshot in force.
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
	if err := errors.WithStack(peer.DRPCRegisterHandover(mux, newHandoverServer(d))); err != nil {
		return err
	}
	d.spawn(func(ctx context.Context) { _ = peer.Serve(ctx, mux, peers) })
	if d.fleetTLS.source != nil {
		d.spawn(d.watchTLSFiles)
	}
	d.spawn(d.control.run)
	d.spawn(d.runBorrower)
	d.spawn((&upstream.Prober{Handler: d.handler, Client: d.client}).Run)
	d.log.Info("listening", "instance", d.identity.Instance, "callers", d.identity.CallerAddress,
		"operators", d.OperatorsAddress(), "peers", d.identity.PeerAddress, "relay", d.identity.RelayAddress)
	return nil
}

func (d *Daemon) listenAll() (net.Listener, error) {
	runner := &upstream.Runner{
		Handler: d.handler, Client: d.client, KeyValid: d.keyValid, Tracer: d.tracing.Tracer, RetryBudgets: retry.NewBudgets(),
	}
	limiter := &regionLimiter{next: runner, view: &d.view, ledger: d.ledger}
	entryServer := entry.New(entry.Deps{
		View: &d.view, Ledger: d.ledger, Postings: d.postings, LocalHandler: limiter,
		Relay:        relay.NewClient(d.relayClient, d.fleetTLS.scheme(), d.identity.Instance),
		MaxBodyBytes: d.settings.Limits.MaxBodyBytes, Tracer: d.tracing.Tracer, Log: d.log, RetryBudgets: retry.NewBudgets(),
		CheckStop: d.checkStop,
	})
	operators := operator.New(operator.Deps{
		View: &d.view, Repository: config.NewRepository(d.store, time.Now), Metrics: d.metrics.Set,
		ApplyRecord: func(r *config.Record, sentAt time.Time) { d.control.send(recordWritten{activateRecord(r), sentAt}) },
	})
	relayServer := &relay.Server{HandleRunner: &stopGuard{limiter, d.checkStop}, PostingRunner: entry.PostingRunner{Server: entryServer}, MaxBodyBytes: d.settings.Limits.MaxBodyBytes, PaceResponse: d.paceResponse}
	var err error
	if d.identity.CallerAddress, err = d.serveHTTP(d.settings.Listen.Callers, &http.Server{
		Handler: &requestMetrics{next: d.requestLimiter.Wrap(entryServer), metrics: d.metrics, isKnownService: d.hasService},
	}, plainTCP); err != nil {
		return nil, err
	}
	if _, err = d.serveHTTP(d.settings.Listen.Operators, &http.Server{
		Handler: operators, ReadTimeout: operatorTimeout,
	}, plainTCP); err != nil {
		return nil, err
	}
	if d.identity.RelayAddress, err = d.serveHTTP(d.settings.Listen.Relay, &http.Server{Handler: d.fleetTLS.requireTrustedClient(relayServer)}, d.fleetTLS.wrapListener); err != nil {
		return nil, err
	}
	peers, err := net.Listen("tcp", d.settings.Listen.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "daemon: listen for peers")
	}
	d.identity.PeerAddress = peers.Addr().String()
	d.peerListener = peer.NewListener(peers)
	return d.fleetTLS.wrapListener(d.peerListener), nil
}

// plainTCP returns the listener unchanged, without TLS.
func plainTCP(l net.Listener) net.Listener { return l }

func (d *Daemon) serveHTTP(address string, server *http.Server, wrap func(net.Listener) net.Listener) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "daemon: listen")
	}
	server.Handler = d.closeWhileLeaving(server.Handler)
	server.Addr = l.Addr().String()
	server.ReadHeaderTimeout, server.IdleTimeout = headerTimeout, idleTimeout
	server.MaxHeaderBytes = d.settings.Limits.MaxHeaderBytes
	server.ErrorLog = d.log.StandardLog()
	l = wrap(l)
	d.servers = append(d.servers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.listenerErrs <- err
		}
	}()
	return server.Addr, nil
}

// keyValid reports whether the API key still belongs to the customer.
func (d *Daemon) keyValid(digest config.Digest, customer string) bool {
	snap := d.view.Load()
	for deadline := time.Now().Add(view.MaxAge); !snap.Current(time.Now()) && time.Now().Before(deadline); {
		// The process has just resumed after a pause, during which the key may
		// have been withdrawn. Wait for a current snapshot.
		time.Sleep(tickInterval / 2)
		snap = d.view.Load()
	}
	return snap.OwnsKey(digest, customer)
}

// spawn runs a task whose context ends when the daemon is stopped.
func (d *Daemon) spawn(task func(context.Context)) {
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		task(d.ctx)
	}()
}

// ListenerErrors delivers the error of each HTTP listener that stops serving.
func (d *Daemon) ListenerErrors() <-chan error { return d.listenerErrs }
