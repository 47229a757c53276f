package entryhost

import (
	"context"
	"net"
	"net/http"
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
	"balsambarrow/internal/memory"
	"balsambarrow/internal/place"
	"balsambarrow/internal/release"
	"balsambarrow/internal/retry"
	"balsambarrow/internal/share"
	"balsambarrow/internal/telemetry"
	"balsambarrow/internal/tunnel"
	"balsambarrow/platform"
)

const (
	// upstreamDialTimeout bounds the time to connect to an upstream. It covers three round
	// trips to the farthest region and one lost packet.
	upstreamDialTimeout = 600 * time.Millisecond
	// storeDialTimeout bounds the time to connect to the store. A connection attempt made
	// during a network partition hangs for that long after the partition has healed.
	storeDialTimeout = 600 * time.Millisecond
	// headerTimeout and callerIdleTimeout bound slow and idle callers. They exceed the limits
	// that operators set for callers.
	headerTimeout     = 10 * time.Second
	callerIdleTimeout = 60 * time.Second
	// maxOwnHeaderBytes bounds the header of requests to the host itself: for the directory, readiness,
	// metrics and tunnels.
	maxOwnHeaderBytes = 8 << 10
	// directoryTTL is how long callers may cache a response of the directory.
	directoryTTL = 2 * time.Second
)

// Daemon is a running entry host.
type Daemon struct {
	// OnActive is called when the host becomes active, and when it becomes a standby again.
	// Optional; it must be set before Start.
	OnActive func(active bool)
	// OnMemory is called each second, while callers are connected, with the bytes that callers make
	// the process hold. Optional; it must be set before Start.
	OnMemory func(held int64)
	// DialUpstream opens connections to upstreams. Tests replace it before Start to simulate
	// network faults.
	DialUpstream h1.DialFunc

	settings      atomic.Pointer[Settings]
	self          Self
	events        *telemetry.Events
	metrics       *telemetry.Metrics
	tracing       *telemetry.Tracing
	store         kv.Store
	transport     *fleet.Transport
	upstreamConns *h1.Pool
	// links connects to upstreams, through other hosts if necessary, and tunnels connects other
	// hosts to upstreams. tunnelPeers are the hosts that do so for this one.
	links        *tunnel.Dialer
	tunnels      *tunnel.Server
	tunnelPeers  atomic.Pointer[[]tunnel.Peer]
	table        *place.Table
	shares       *share.Limiter
	tokens       *tokens
	upstreamEnds *upstreamEnds
	suspects     *suspects
	rooms        *rooms
	retries      *retry.WindowBudget
	control      *control

	state       atomic.Pointer[front.State]
	directory   atomic.Pointer[directory]
	bucketHosts atomic.Pointer[bucketHosts]
	// ready is the result of the readiness check. A standby that can serve is ready too.
	ready atomic.Bool
	// fallbackAllowed is set once this host has held rate shares, or is a standby and will not
	// hold any. Only then does it use its fallback bucket when no owner of a bucket responds.
	fallbackAllowed atomic.Bool
	// listed is closed after the first listing of the store. hasPeers is set if that listing
	// contained other entry hosts.
	listed   chan struct{}
	hasPeers atomic.Bool
	// willBeActive is closed if the host knows before its first listing that it will be active.
	willBeActive chan struct{}
	// readWhenRegistered is set if the first registration must trigger a read of the store,
	// because the first watch does not follow it.
	readWhenRegistered atomic.Bool
	// wantsShares is set if this host should hold rate shares.
	wantsShares atomic.Bool
	// wakeRegistrar ends the pause before the next renewal of the registration.
	wakeRegistrar chan struct{}
	// overwritten is set if another writer has overwritten the registration.
	overwritten atomic.Bool
	// watches is set while this host watches the store for its region.
	watches atomic.Bool
	// summary describes the state of the store that this host knows, for peers that send
	// confirmation requests.
	summary atomic.Pointer[storeSummary]
	// wakeReader ends the pause before the next read of the store.
	wakeReader chan struct{}
	// stateUpdated fires at each new state, and hostsUpdated at each change of the known hosts.
	stateUpdated, hostsUpdated signal
	// startedAt is when the daemon started, and startedWall the wall-clock time of the start.
	startedAt, startedWall time.Time
	// startupWait bounds how long a caller may wait for a host that has just started.
	startupWait time.Duration
	meter       meter

	// plannedStop is nil until a planned stop begins.
	plannedStop atomic.Pointer[front.Stop]

	activity    activity
	callers     *front.Handler
	callerConns *callerConns
	// budget bounds the bytes that callers make the process hold; nil if its memory is unknown.
	budget       *memory.Budget
	strayCallers strayCallers

	// addresses are the addresses of the listeners. A port 0 in the settings is replaced by the
	// port that the system assigned.
	addresses Listen
	listeners map[string]net.Listener
	servers   []*http.Server
	// callersServer is the one of servers that serves callers. callersAccepted is closed once it accepts no more connections.
	callersServer   *http.Server
	callersAccepted chan struct{}
	errs            chan error
	ctx             context.Context
	cancel          context.CancelFunc
	tasks           *taskGroup
	// stopPhase names what a planned stop waits for.
	stopPhase atomic.Pointer[string]
}

// New opens the listeners of a daemon. Start begins to serve.
func New(s *Settings, events *telemetry.Events, metrics *telemetry.Metrics) (*Daemon, error) {
	tracing, err := telemetry.NewTracing(s.TraceFile)
	if err != nil {
		return nil, err
	}
	addresses, listeners, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	transport, err := fleet.Listen(s.Listen.Peers)
	if err != nil {
		return nil, err
	}
	addresses.Peers = transport.Address()
	region := s.Zones[s.Zone]
	d := &Daemon{
		self: Self{
			Host: place.Host{Instance: s.Host + "-" + uuid.NewString()[:8], Zone: s.Zone, Region: region},
			Name: s.Host, Callers: addresses.Callers, Peers: addresses.Peers, Tunnels: addresses.Tunnels,
		},
		events: events, metrics: metrics, tracing: tracing, transport: transport, addresses: addresses, listeners: listeners,
		DialUpstream:  h1.Dialer(upstreamDialTimeout),
		shares:        share.New(),
		retries:       retry.NewWindowBudget(s.Bounds.RetryWindow.Value(), s.Bounds.RetryRatio),
		errs:          make(chan error, 4),
		wakeReader:    make(chan struct{}, 1),
		wakeRegistrar: make(chan struct{}, 1),
		listed:        make(chan struct{}),
		willBeActive:  make(chan struct{}),
		startupWait:   defaultStartupWait,
		callerConns:   newCallerConns(),
		tasks:         newTaskGroup(),
	}
	d.table = place.NewTable(d.self.Host, s.Zones)
	d.boundMemory(s)
	d.tunnelPeers.Store(&[]tunnel.Peer{})
	d.settings.Store(s)
	d.state.Store(&front.State{})
	d.directory.Store(&directory{self: d.self})
	d.ctx, d.cancel = context.WithCancel(context.Background())
	storeDialer := h1.Preconnect(d.ctx, h1.Dialer(storeDialTimeout), s.Store)
	d.store = platform.NewStore("http://"+s.Store, storeDialer.Dial, metrics.StoreCall)
	d.links = d.newLinks()
	d.tunnels = d.newTunnelServer()
	d.upstreamConns = h1.NewPool(d.links.DialContext, clock.Now)
	d.upstreamConns.Paths = d.links
	d.control = newControl(d)
	d.tokens, d.rooms = newTokens(d), newRooms(d)
	d.upstreamEnds, d.suspects = newUpstreamEnds(d), newSuspects(d)
	d.bucketHosts.Store(&bucketHosts{})
	return d, nil
}

func (d *Daemon) now() time.Time { return clock.Now() }

// Start serves callers and follows the store.
func (d *Daemon) Start() {
	d.startedAt, d.startedWall = d.now(), time.Now()
	deps := front.Deps{
		State: d.state.Load, Codec: platform.Headers{}, Pool: d.upstreamConns, Table: d.table, Room: d.rooms, RateLimiter: d.tokens,
		RetryBudget: d.retries, Bounds: d.bounds, Log: d.events, Observe: d.observe, ObserveFailedAttempt: d.observeFailedAttempt, ObserveRetry: d.observeRetry, ObserveLost: d.upstreamEnds.observeLost, ObserveUpstreamEnd: d.observeUpstreamEnd, Suspects: d.suspects.tracker, Now: d.now,
		Refresh: d.refresh, LoadUpstreams: d.loadUpstreamsForCallers, Updates: d.stateUpdated.next, StartupTimeLeft: d.remainingStartupWait, Stop: d.currentStop, DisableKeepAlive: d.nearConnectionLimit,
		Memory: d.budget, ObserveMemory: d.observeMemory,
	}
	deps.Queues, deps.ObserveQueue = d.queues, d.observeQueue
	if d.settings.Load().TraceFile != "" {
		deps.Tracer = d.tracing.Tracer
	}
	d.callers = front.New(deps)
	for address, handler := range map[string]http.Handler{
		d.addresses.Callers:   d.callers,
		d.addresses.Readiness: platform.ReadinessHandler(d.ready.Load),
		d.addresses.Directory: platform.ResolveHandler(d.resolve),
		d.addresses.Tunnels:   d.tunnels,
		d.addresses.Metrics:   d.metricsHandler(),
	} {
		if l := d.listeners[address]; l != nil {
			d.serve(l, handler)
		}
	}
	d.spawn(d.control.run)
	d.spawn(d.suspects.announce)
	d.spawn(func(ctx context.Context) {
		d.transport.Receive(ctx, d.handlePacket, func(err error) { d.events.Debug("packet not readable", "error", err) })
	})
	registrar := newRegistrar(d)
	follower := &follow.Follower{
		Store: d.store, Prefix: platform.AllKeys, Timing: d.storeTiming, Now: d.now, Sink: storeSink{d.control}, Wake: d.wakeReader,
		Bootstrap: d.startFromHint,
		AfterInitialList: func(ctx context.Context) {
			await(ctx, registrar.registered, registrationTimeout)
			d.readWhenRegistered.Store(!isClosed(registrar.registered))
		},
	}
	d.spawn(follower.Run)
	d.spawn(registrar.run)
	d.spawn(d.closeIdleCallers)
	d.events.Info("started", "release", release.Number, "instance", d.self.Instance, "zone", d.self.Zone, "region", d.self.Region,
		"callers", d.self.Callers, "peers", d.self.Peers, "store", d.settings.Load().Store)
}

// handlePacket dispatches a packet from a peer.
func (d *Daemon) handlePacket(p *fleet.Packet, from string) {
	d.tokens.requester.Silence.Heard(from)
	if b := p.GetHeartbeat(); b != nil {
		d.control.send(func(c *control) { c.handleHeartbeat(b) })
		return
	}
	if q := p.GetConfirmRequest(); q != nil {
		d.handleConfirmRequest(q, from)
		return
	}
	if a := p.GetConfirmAnswer(); a != nil {
		d.control.send(func(c *control) { c.handleConfirmAnswer(a) })
		return
	}
	if d.rooms.handlePacket(p, from) || d.suspects.handlePacket(p, from) {
		return
	}
	d.tokens.handlePacket(p, from)
}

// listen opens the listeners and returns their addresses.
func listen(l Listen) (Listen, map[string]net.Listener, error) {
	listeners := map[string]net.Listener{}
	for _, address := range []*string{&l.Callers, &l.Readiness, &l.Directory, &l.Tunnels, &l.Metrics} {
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
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
		DisableGeneralOptionsHandler: true, ErrorLog: d.events.StdLogger(), MaxHeaderBytes: maxOwnHeaderBytes,
	}
	forCallers := l == d.listeners[d.addresses.Callers]
	if forCallers {
		d.callersServer, d.callersAccepted = server, make(chan struct{})
		server.MaxHeaderBytes = front.MaxHeaderBytes
		server.ConnState = func(c net.Conn, state http.ConnState) {
			d.callerConns.track(c, state)
			front.TrackHeader(c, state)
		}
		server.ConnContext = front.WithCallerConn
		l = d.limitCallers(l)
	}
	d.servers = append(d.servers, server)
	go func() {
		err := server.Serve(l)
		if forCallers {
			close(d.callersAccepted)
		}
		if stopped := d.currentStop().Begun() && errors.Is(err, net.ErrClosed); !stopped && !errors.Is(err, http.ErrServerClosed) {
			d.errs <- errors.Wrap(err, l.Addr().String())
		}
	}()
}

// Addresses returns the addresses of the listeners.
func (d *Daemon) Addresses() Listen { return d.addresses }

// bounds returns the bounds for package front from the settings in force.
func (d *Daemon) bounds() front.Bounds {
	b := d.settings.Load().Bounds
	if !b.StrictRevocation || b.Revoke.Value() == 0 {
		return front.Bounds{}
	}
	return front.Bounds{KeyMaxAge: max(b.Revoke.Value()-watchLossDelay-keyCheckMargin, tickInterval)}
}

func (d *Daemon) resolve(region, _ string) platform.Resolution {
	return platform.Resolution{Addresses: d.awaitDirectory().resolve(region), TTL: directoryTTL}
}

// spawn runs a task until the daemon ends.
func (d *Daemon) spawn(task func(context.Context)) {
	d.tasks.start(d.ctx, task)
}

// Failed returns a channel that reports listeners that failed.
func (d *Daemon) Failed() <-chan error { return d.errs }

// Reload applies new settings. Listeners that are already open keep their addresses.
func (d *Daemon) Reload(s *Settings) {
	d.settings.Store(s)
	d.suspects.trust(s)
	d.events.SetLevel(s.LogLevel)
	d.events.Info("settings reloaded", "log_level", s.LogLevel, "grace", s.Bounds.Grace, "revoke", s.Bounds.Revoke)
}
