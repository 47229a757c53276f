package entryhost

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"balsambarrow/internal/clock"
	"balsambarrow/internal/fleet"
	"balsambarrow/internal/follow"
	"balsambarrow/internal/front"
	"balsambarrow/internal/h1"
	"balsambarrow/internal/kv"
	"balsambarrow/internal/place"
	"balsambarrow/internal/retry"
	"balsambarrow/internal/share"
	"balsambarrow/internal/telemetry"
	"balsambarrow/platform"
)

const (
	// upstreamDialBound bounds a connection to an upstream: three ways to the
	// farthest region and back, and one lost packet.
	upstreamDialBound = 600 * time.Millisecond
	// storeDialBound bounds a connection to the store. One that was tried while
	// the host was cut off hangs for as long after the cut has healed.
	storeDialBound = 600 * time.Millisecond
	// headerBound and idleBound bound slow and idle callers; they are above
	// what operators allow callers.
	headerBound = 10 * time.Second
	idleBound   = 60 * time.Second
	// directionsFor is how long callers keep an answer of the directory.
	directionsFor = 2 * time.Second
)

// Daemon is one running entry host.
type Daemon struct {
	settings atomic.Pointer[Settings]
	self     Self
	events   *telemetry.Events
	metrics  *telemetry.Metrics
	tracing  *telemetry.Tracing
	store    kv.Store
	wire     *fleet.Transport
	conns    *h1.Pool
	table    *place.Table
	shares   *share.Limiter
	tokens   *tokens
	retries  *retry.WindowBudget
	control  *control

	state     atomic.Pointer[front.State]
	directory atomic.Pointer[directory]
	pool      atomic.Pointer[pool]
	ready     atomic.Bool
	// registeredOnce says that this host has held shares, or that it stands by and will
	// not: where no owner of a bucket answers it goes by its fallback bucket.
	registeredOnce atomic.Bool
	// listed is closed after the first listing of the store; peersKnown says that it
	// had other hosts.
	listed     chan struct{}
	peersKnown atomic.Bool
	// needed is closed when the host knows, before its first listing, that it will take
	// callers.
	needed chan struct{}
	// lookWhenRegistered says that no look at the store follows the first registration.
	lookWhenRegistered atomic.Bool
	// spends says that this host should hold shares of customers' rates.
	spends atomic.Bool
	// watches says that this host watches the store for its region.
	watches atomic.Bool
	// known is what the store held and when, for hosts that ask.
	known atomic.Pointer[knowledge]
	// hurry ends the pause before the next look at the store.
	hurry chan struct{}
	// fresh tells of each new state, and newHosts of each change of the hosts.
	fresh, newHosts signal
	// startedAt is when the daemon started, and startedWall the time of day then.
	startedAt, startedWall time.Time
	// startingFor bounds how long a caller waits after the start.
	startingFor time.Duration
	meter       meter

	callerConns *callerConns

	// addresses are those that the listeners have; port 0 of the settings is
	// replaced by the one that the system gave.
	addresses Listen
	listeners map[string]net.Listener
	servers   []*http.Server
	errs      chan error
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
}

// New opens the listeners of a daemon; Start lets it serve.
func New(s *Settings, events *telemetry.Events, metrics *telemetry.Metrics) (*Daemon, error) {
	tracing, err := telemetry.NewTracing(s.TraceFile)
	if err != nil {
		return nil, err
	}
	addresses, listeners, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	wire, err := fleet.Listen(s.Listen.Peers)
	if err != nil {
		return nil, err
	}
	addresses.Peers = wire.Address()
	region := s.Zones[s.Zone]
	d := &Daemon{
		self: Self{
			Host: place.Host{Instance: s.Host + "-" + uuid.NewString()[:8], Zone: s.Zone, Region: region},
			Name: s.Host, Callers: addresses.Callers, Peers: addresses.Peers,
		},
		events: events, metrics: metrics, tracing: tracing, wire: wire, addresses: addresses, listeners: listeners,
		conns:   h1.NewPool(h1.Dialer(upstreamDialBound), clock.Now),
		shares:  share.New(),
		retries: retry.NewWindowBudget(s.Bounds.RetryWindow.Value(), s.Bounds.RetryRatio),
		errs:    make(chan error, 4),
		hurry:   make(chan struct{}, 1),
		listed:  make(chan struct{}),
		needed:  make(chan struct{}),

		startingFor: startGrace,

		callerConns: newCallerConns(),
	}
	d.table = place.NewTable(d.self.Host, s.Zones)
	d.settings.Store(s)
	d.state.Store(&front.State{})
	d.directory.Store(&directory{self: d.self})
	d.ctx, d.cancel = context.WithCancel(context.Background())
	ahead := h1.Preconnect(d.ctx, h1.Dialer(storeDialBound), s.Store)
	d.store = platform.NewStore("http://"+s.Store, ahead.Dial, metrics.StoreCall)
	d.control = newControl(d)
	d.tokens = newTokens(d)
	d.pool.Store(&pool{})
	return d, nil
}

func (d *Daemon) now() time.Time { return clock.Now() }

// Start serves callers and follows the store.
func (d *Daemon) Start() {
	d.startedAt, d.startedWall = d.now(), time.Now()
	deps := front.Deps{
		State: d.state.Load, Codec: platform.Headers{}, Pool: d.conns, Table: d.table, RateLimiter: d.tokens,
		RetryBudget: d.retries, Bounds: d.bounds, Log: d.events, Observe: d.observe, Now: d.now,
		Refresh: d.refresh, Updates: d.fresh.next, StartupTimeLeft: d.starting, DisableKeepAlive: d.crowded,
	}
	if d.settings.Load().TraceFile != "" {
		deps.Tracer = d.tracing.Tracer
	}
	callers := front.New(deps)
	for address, handler := range map[string]http.Handler{
		d.addresses.Callers:   callers,
		d.addresses.Readiness: platform.ReadinessHandler(d.ready.Load),
		d.addresses.Directory: platform.ResolveHandler(d.resolve),
		d.addresses.Metrics:   d.metricsHandler(),
	} {
		if l := d.listeners[address]; l != nil {
			d.serve(l, handler)
		}
	}
	d.spawn(d.control.run)
	d.spawn(func(ctx context.Context) {
		d.wire.Receive(ctx, d.received, func(err error) { d.events.Debug("packet not readable", "error", err) })
	})
	registrar := newRegistrar(d)
	follower := &follow.Follower{
		Store: d.store, Prefix: platform.AllKeys, Timing: d.storePace, Now: d.now, Sink: storeSink{d.control}, Wake: d.hurry,
		Bootstrap: d.startFromGuide,
		AfterInitialList: func(ctx context.Context) {
			await(ctx, registrar.done, registerWithin)
			d.lookWhenRegistered.Store(!isClosed(registrar.done))
		},
	}
	d.spawn(follower.Run)
	d.spawn(registrar.run)
	d.spawn(d.conns.Run)
	d.spawn(d.sweepCallers)
	d.events.Info("started", "instance", d.self.Instance, "zone", d.self.Zone, "region", d.self.Region,
		"callers", d.self.Callers, "peers", d.self.Peers, "store", d.settings.Load().Store)
}

// received takes a packet of a peer in.
func (d *Daemon) received(p *fleet.Packet, from string) {
	if b := p.GetHeartbeat(); b != nil {
		d.control.send(func(c *control) { c.handleHeartbeat(b) })
		return
	}
	if q := p.GetConfirmRequest(); q != nil {
		d.answerConfirmRequest(q, from)
		return
	}
	if a := p.GetConfirmAnswer(); a != nil {
		d.control.send(func(c *control) { c.handleConfirmation(a) })
		return
	}
	d.tokens.receive(p, from)
}

// listen opens the listeners and returns the addresses that they have.
func listen(l Listen) (Listen, map[string]net.Listener, error) {
	listeners := map[string]net.Listener{}
	for _, address := range []*string{&l.Callers, &l.Readiness, &l.Directory, &l.Metrics} {
		if *address == "" {
			continue
		}
		opened, err := h1.Listener().Listen(context.Background(), "tcp4", *address)
		if err != nil {
			return l, nil, errors.Wrap(err, "listen")
		}
		*address = opened.Addr().String()
		listeners[*address] = opened
	}
	return l, listeners, nil
}

func (d *Daemon) serve(l net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerBound, IdleTimeout: idleBound,
		DisableGeneralOptionsHandler: true, ErrorLog: d.events.StdLogger(),
	}
	if l == d.listeners[d.addresses.Callers] {
		server.ConnState = d.callerConns.track
		server.ConnContext = front.WithCallerConn
	}
	d.servers = append(d.servers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.errs <- errors.Wrap(err, l.Addr().String())
		}
	}()
}

// Addresses are those that the listeners have.
func (d *Daemon) Addresses() Listen { return d.addresses }

// bounds are the front's, from the settings in force.
func (d *Daemon) bounds() front.Bounds {
	b := d.settings.Load().Bounds
	if !b.StrictRevocation || b.Revoke.Value() == 0 {
		return front.Bounds{}
	}
	return front.Bounds{KeyMaxAge: max(b.Revoke.Value()-watchSilence-keyMargin, tickEvery)}
}

func (d *Daemon) resolve(region, _ string) platform.Resolution {
	return platform.Resolution{Addresses: d.awaitDirectory().resolve(region), TTL: directionsFor}
}

func (d *Daemon) spawn(task func(context.Context)) {
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		task(d.ctx)
	}()
}

// Failed reports a listener that broke.
func (d *Daemon) Failed() <-chan error { return d.errs }

// Reload takes new settings over. What is bound to open listeners stays.
func (d *Daemon) Reload(s *Settings) {
	d.settings.Store(s)
	d.events.SetLevel(s.LogLevel)
	d.events.Info("settings reloaded", "log_level", s.LogLevel, "grace", s.Bounds.Grace, "revoke", s.Bounds.Revoke)
}
