// Package run is the proxy's process: its listeners, its readiness and its orderly end.
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
	"sumacloft/internal/mesh/membership"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/traffic"
	"sumacloft/internal/periodic"
	"sumacloft/internal/proxy/bounds"
	"sumacloft/internal/proxy/budget"
	"sumacloft/internal/proxy/calls"
	"sumacloft/internal/proxy/feed"
	"sumacloft/internal/proxy/front"
	"sumacloft/internal/proxy/hints"
	"sumacloft/internal/proxy/lane"
	"sumacloft/internal/trial"
	"sumacloft/internal/upstream"
)

// Error is the class of failures to start: the boot file's addresses may be taken by another process.
var Error = errs.Class("proxy: check listen_on in the boot file")

const (
	// dialLimit bounds how long a connection to a worker may take to come up.
	dialLimit = 700 * time.Millisecond
	// idleLimit is how long workers keep an idle connection where they do not announce it.
	idleLimit = 10 * time.Second
	// sweepInterval is how often idle connections are looked through.
	sweepInterval = 2 * time.Second
	// reservedDescriptors are kept for files, listeners and the agent; the rest is for clients and workers alike.
	reservedDescriptors = 300
	// notedTime is how long the platform may go on sending new connections after the proxy says that it is not ready.
	notedTime = 2500 * time.Millisecond
	// lastCall is how long before the end of the grace what is still open is given up.
	lastCall = 500 * time.Millisecond
	// headerLimit bounds the head of the platform's question for readiness. Clients are held to the configuration's limits.
	headerLimit = 10 * time.Second
	settleCheck = 20 * time.Millisecond
)

// Proxy is the process.
type Proxy struct {
	settings *boot.Settings
	network  network.Network
	log      zerolog.Logger
	front    *front.Front
	feed     *feed.Feed
	pool     *upstream.Pool
	meter    *traffic.Meter // of exchanges with workers
	hints    *hints.Hints
	ready    atomic.Bool
	began    time.Time
}

// WorkerTerms are the terms on which a proxy speaks to workers.
func WorkerTerms(over network.Network) upstream.Terms {
	return upstream.Terms{
		Patient:            true,
		EndsWithConnection: true,
		KeepAlive:          true,
		EventFields:        []string{"versions"},
		Network:            over,
	}
}

// New makes a proxy on a machine's network. The output of the parts that log by logrus goes to the same ring.
func New(settings *boot.Settings, over network.Network, logger zerolog.Logger, ring io.Writer) *Proxy {
	sockets := max(settings.Limits.OpenFiles-reservedDescriptors, 64) / 2
	terms := WorkerTerms(over)
	terms.Meter = &traffic.Meter{}
	pool := upstream.NewPoolOn(terms, upstream.NewBudget(sockets), dialLimit, idleLimit)
	worker := calls.New(pool)
	p := &Proxy{settings: settings, network: over, log: logger, pool: pool, meter: terms.Meter, began: time.Now()}
	p.front = &front.Front{Calls: worker, Bounds: bounds.New(), NoResume: settings.Trial.Has(trial.PickUp)}
	lines := logrus.New()
	lines.SetOutput(ring)
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(settings.Node)) // never fails
	around := lane.Surroundings{
		Calls: worker,
		Zone:  settings.Zone,
		Zones: feed.Zones(settings.Zones),
		Budget: budget.Terms{
			Window: settings.Rules.RetryWindow,
			Ratio:  settings.Rules.RetryRatio,
			Extra:  settings.Rules.ExtraTries,
		},
		Seed:  seed.Sum64(),
		Log:   lines,
		Trial: settings.Trial,
	}
	if !settings.FirstRun {
		around.Began = time.Now()
	}
	p.feed = feed.New(over, agent.FeedAddress(settings), p.front, around, logger)
	return p
}

// Run serves until the context ends, then ends in good order within the grace.
func (p *Proxy) Run(ctx context.Context) error {
	server := p.front.Bounds.Server(p.front, log.New(p.log, "", 0))
	if err := p.serve(server, p.settings.ListenOn.Front, p.front.Bounds.Listen); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/ready", p.answerReady)
	health := &http.Server{Handler: mux, ReadHeaderTimeout: headerLimit}
	if err := p.serve(health, p.settings.ListenOn.Ready, unbounded); err != nil {
		return err
	}
	following, stop := context.WithCancel(context.Background())
	defer stop()
	exchange, err := hints.New(p.network, p.settings.IP, p.settings.InsidePorts.First+membership.PortHints, p.feed, p.log)
	if err != nil {
		return err
	}
	p.hints = exchange
	p.feed.OnRouters = exchange.Peers
	if !p.settings.Trial.Has(trial.Hints) {
		p.feed.Use(exchange)
		p.front.Calls.OnRead = exchange.Hurry
		go exchange.Run(following)
	}
	go p.feed.Run(following)
	go periodic.Run(following, sweepInterval, p.pool.Sweep)
	p.ready.Store(true)
	<-ctx.Done()
	p.end(server)
	p.feed.Stop()
	_ = health.Close() // the process ends
	return nil
}

// serve has a server take the connections to an address, each wrapped as wrap does.
func (p *Proxy) serve(server *http.Server, address string, wrap func(net.Listener) net.Listener) error {
	listener, err := p.network.Listen(address)
	if err != nil {
		return Error.Wrap(err)
	}
	go func() { _ = server.Serve(wrap(listener)) }() // ends with Shutdown
	return nil
}

// unbounded leaves a listener as it is.
func unbounded(l net.Listener) net.Listener { return l }

// end serves on until the platform has noticed that this proxy is not ready, then finishes what is open.
func (p *Proxy) end(server *http.Server) {
	began := time.Now()
	p.ready.Store(false)
	p.front.Drain()
	time.Sleep(notedTime)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(p.settings.Rules.Grace-lastCall))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		p.log.Warn().Int64("open", p.front.OpenRequests()).Msg("ending with requests still open")
		_ = server.Close() // what is open is given up
		time.Sleep(settleCheck)
	}
}
