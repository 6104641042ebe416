// Package run is the proxy's process: its listeners, its readiness and its graceful shutdown.
package run

import (
	"context"
	"hash/fnv"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"sumacloft/internal/agent"
	"sumacloft/internal/boot"
	"sumacloft/internal/bounds"
	"sumacloft/internal/inflight"
	"sumacloft/internal/mesh/membership"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/traffic"
	"sumacloft/internal/periodic"
	"sumacloft/internal/proxy/budget"
	"sumacloft/internal/proxy/calls"
	"sumacloft/internal/proxy/feed"
	"sumacloft/internal/proxy/front"
	"sumacloft/internal/proxy/hints"
	"sumacloft/internal/proxy/lane"
	"sumacloft/internal/trial"
	"sumacloft/internal/upstream"
)

// Error is the class of startup errors. Another process may use the addresses of the boot file.
var Error = errs.Class("proxy: check listen_on in the boot file")

const (
	// dialTimeout bounds how long connecting to a worker may take.
	dialTimeout = 700 * time.Millisecond
	// idleTimeout is how long an idle connection is assumed to stay open at workers that do not announce a time.
	idleTimeout = 10 * time.Second
	// sweepInterval is how often idle connections are checked.
	sweepInterval = 2 * time.Second
	// reservedDescriptors is the number of file descriptors for files, listeners and the agent. Clients and workers
	// share the rest.
	reservedDescriptors = 300
	// minSockets is the number of sockets of a proxy on a machine with few descriptors.
	minSockets = 64
	// drainNotice is how long the platform may keep sending new connections after the proxy reports that it is not
	// ready.
	drainNotice = 2500 * time.Millisecond
	// closeMargin is how long before the end of the grace period open requests are aborted.
	closeMargin = 500 * time.Millisecond
	// closeWait is the pause after the abort, for the handlers to return.
	closeWait = 20 * time.Millisecond
)

// MemoryShare is how a proxy divides its memory. It leaves room for the agent, whose machine it shares.
var MemoryShare = inflight.Share{Requests: 0.25, Connections: 0.125, Runtime: 0.5}

// Account returns the account of all requests of the process, for its other listeners.
func (p *Proxy) Account() *inflight.Account { return p.account }

// Proxy is the proxy's process.
type Proxy struct {
	account  *inflight.Account // of all requests of the process
	settings *boot.Settings
	network  network.Network
	log      zerolog.Logger
	front    *front.Front
	feed     *feed.Feed
	pool     *upstream.Pool
	meter    *traffic.Meter // traffic with workers
	hints    *hints.Hints
	ready    atomic.Bool
	started  time.Time
}

// WorkerTerms are the protocol settings for connections to workers.
func WorkerTerms(transport network.Network) upstream.Terms {
	return upstream.Terms{
		Patient:            true,
		EndsWithConnection: true,
		KeepAlive:          true,
		EventFields:        []string{"versions"},
		Network:            transport,
	}
}

// New creates a proxy on a machine's network. Components that log with logrus write to the same ring.
func New(settings *boot.Settings, transport network.Network, logger zerolog.Logger, ring io.Writer) *Proxy {
	sockets := max(settings.Limits.OpenFiles-reservedDescriptors, minSockets) / 2
	account := MemoryShare.Account(settings.Limits.MemoryMB, sockets)
	terms := WorkerTerms(transport)
	terms.Meter = &traffic.Meter{}
	pool := upstream.NewPoolOn(terms, upstream.NewBudget(sockets), dialTimeout, idleTimeout)
	workerCalls := calls.New(pool)
	p := &Proxy{account: account, settings: settings, network: transport, log: logger, pool: pool, meter: terms.Meter, started: time.Now()}
	p.front = &front.Front{Calls: workerCalls, Bounds: bounds.New(account), NoResume: settings.Trial.Has(trial.PickUp)}
	coreLog := logrus.New()
	coreLog.SetOutput(ring)
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(settings.Node)) // never fails
	env := lane.Environment{
		Calls: workerCalls,
		Zone:  settings.Zone,
		Zones: feed.Zones(settings.Zones),
		Budget: budget.Terms{
			Window: settings.Rules.RetryWindow,
			Ratio:  settings.Rules.RetryRatio,
			Extra:  settings.Rules.ExtraTries,
		},
		Seed:     seed.Sum64(),
		Log:      coreLog,
		Disabled: settings.Trial,
	}
	if !settings.FirstRun {
		env.Started = time.Now()
	}
	p.feed = feed.New(transport, agent.FeedAddress(settings), p.front, env, logger)
	return p
}

// Run serves until the context ends, then shuts down within the grace period.
func (p *Proxy) Run(ctx context.Context) error {
	server := p.front.Bounds.Server(p.front, log.New(p.log, "", 0))
	if err := p.serve(server, p.settings.ListenOn.Front, p.front.Bounds.Listen); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/ready", p.serveReady)
	checks := bounds.NewPreferred(p.account)
	health := checks.Server(mux, log.New(p.log, "", 0))
	if err := p.serve(health, p.settings.ListenOn.Ready, checks.Listen); err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	exchange, err := hints.New(p.network, p.settings.IP, p.settings.InsidePorts.First+membership.PortHints, p.feed, p.log)
	if err != nil {
		return err
	}
	p.hints = exchange
	p.feed.OnRouters = exchange.Peers
	if !p.settings.Trial.Has(trial.Hints) {
		p.feed.SetWaitingSource(exchange)
		p.front.Calls.OnPrefill = exchange.SendNow
		go exchange.Run(background)
	}
	go p.feed.Run(background)
	go periodic.Run(background, sweepInterval, p.pool.Sweep)
	p.ready.Store(true)
	<-ctx.Done()
	p.drain(server)
	p.feed.Stop()
	_ = health.Close() // the process ends
	return nil
}

// serve starts a server on an address. wrap is applied to the listener.
func (p *Proxy) serve(server *http.Server, address string, wrap func(net.Listener) net.Listener) error {
	listener, err := p.network.Listen(address)
	if err != nil {
		return Error.Wrap(err)
	}
	go func() { _ = server.Serve(wrap(listener)) }() // ends with Shutdown
	return nil
}

// drain keeps serving until the platform has seen that this proxy is not ready, then finishes the open requests.
func (p *Proxy) drain(server *http.Server) {
	started := time.Now()
	p.ready.Store(false)
	p.front.Drain()
	time.Sleep(drainNotice)
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(p.settings.Rules.Grace-closeMargin))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		p.log.Warn().Int64("open", p.front.OpenRequests()).Msg("grace period is over; aborting open requests")
		_ = server.Close() // aborts what is still open
		time.Sleep(closeWait)
	}
}
