// Command sumacloft is a router for two-stage language-model serving. On the platform it reads the PROXY_*
// variables; with -config it serves the chat API as an operator's file sets it up.
package main

import (
	"context"
	"errors"
	"flag"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"sumacloft/brain"
	"sumacloft/internal/chat"
	"sumacloft/internal/config"
	"sumacloft/internal/core"
	"sumacloft/internal/discovery"
	"sumacloft/internal/etcd"
	"sumacloft/internal/platform"
	"sumacloft/internal/upstream"
)

const (
	// lingers is how long after SIGTERM new connections are still taken: the front notices late that a router
	// is not ready any more.
	lingers = 900 * time.Millisecond
	// headTime is how long a client may take to send the head of a request, idleTime how long it may keep a
	// connection without one.
	headTime, idleTime = 10 * time.Second, 2 * time.Minute
	maxHead            = 16 << 10
	sweeps             = time.Second
	// memoryShare of the limit is what the collector aims at; the rest is for what it does not see.
	memoryShare = 0.75
)

func main() {
	file := flag.String("config", "", "the operator's file; without it the PROXY_* variables are read")
	flag.Parse()
	log := logrus.New()
	if text := os.Getenv("SUMACLOFT_LOG"); text != "" {
		level, err := logrus.ParseLevel(text)
		if err != nil {
			log.WithError(err).Fatal("SUMACLOFT_LOG")
		}
		log.SetLevel(level)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	start := onPlatform
	if *file != "" {
		start = func(log *logrus.Logger) (*router, error) { return forOperator(log, *file) }
	}
	r, err := start(log)
	if err == nil {
		err = r.serve(ctx, log)
		if r.close != nil {
			err = errors.Join(err, r.close())
		}
	}
	if err != nil {
		log.WithError(err).Fatal("sumacloft stopped")
	}
}

// front is what either front gives the daemon.
type front interface {
	http.Handler
	Drain()
}

// router is the wired program.
type router struct {
	listen string
	budget *upstream.Budget
	pool   *upstream.Pool
	core   *core.Core
	front  front
	watch  func(context.Context) // nil: the list of workers does not change
	close  func() error
}

func (r *router) limit(l config.Limits) {
	runtime.GOMAXPROCS(max(int(l.Cores), 1))
	debug.SetMemoryLimit(int64(memoryShare * float64(l.MemoryMB<<20)))
	r.budget = upstream.NewBudget(l.Sockets)
}

// source brings lists of members until its context ends.
type source func(ctx context.Context, tell func(discovery.List))

// follow keeps the core's list of workers by a source.
func (r *router) follow(run source, names discovery.Names) {
	r.watch = func(ctx context.Context) {
		run(ctx, func(l discovery.List) {
			kind := brain.ListDelta
			if l.Complete {
				kind = brain.ListWhole
			}
			r.core.Listed(kind, names.Workers(l.Members))
		})
	}
}

func agent(addr string, revision int64, log logrus.FieldLogger) source {
	return func(ctx context.Context, tell func(discovery.List)) {
		discovery.New(addr, log).Run(ctx, revision, tell)
	}
}

func onPlatform(log *logrus.Logger) (*router, error) {
	cfg, err := config.Platform(os.Getenv)
	if err != nil {
		return nil, err
	}
	set, err := cfg.Settings.Brain()
	if err != nil {
		return nil, err
	}
	r := &router{listen: cfg.Listen}
	r.limit(cfg.Limits)
	bounds := cfg.Settings.Bounds
	r.pool = upstream.NewPool(r.budget, config.Millis(bounds.ConnectTimeoutMs), config.Millis(bounds.ConnIdleMs))
	workers := platform.NewWorkers(r.pool)
	r.core = core.New(set, cfg.Seed, workers, log)
	names := discovery.Names{Zones: cfg.Settings.Zones, Kinds: cfg.Settings.Kinds}
	r.core.Listed(brain.ListCached, names.Workers(cfg.Known.Members))
	r.follow(agent(cfg.Discovery, cfg.Known.Revision, log), names)
	r.front = platform.New(r.core, workers, cfg.Settings.Class)
	return r, nil
}

func forOperator(log *logrus.Logger, file string) (*router, error) {
	cfg, err := config.ReadOperator(file)
	if err != nil {
		return nil, err
	}
	r := &router{listen: cfg.Listen}
	if cfg.Store.ID != "" {
		if cfg, r.close, err = openStore(cfg, log); err != nil {
			return nil, err
		}
	}
	r.limit(config.Limits(cfg.Limits))
	r.pool = upstream.NewPool(r.budget, config.Millis(cfg.Chat.ConnectTimeoutMs), config.Millis(cfg.Chat.ConnIdleMs))
	servers := chat.NewServers(r.pool, cfg.Chat.HealthPath)
	seed := cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	r.core = core.New(cfg.Chat.Brain(), seed, servers, log)
	r.core.Listed(brain.ListWhole, cfg.Chat.Workers())
	if cfg.Discovery != "" {
		r.follow(agent(cfg.Discovery, 0, log), cfg.Chat.Names())
	} else if len(cfg.Members.Endpoints) > 0 {
		members := &etcd.Members{Endpoints: cfg.Members.Endpoints, Prefix: cfg.Members.Prefix, Log: log}
		r.follow(members.Run, cfg.Chat.Names())
	}
	r.front = chat.New(r.core, servers, cfg.Chat)
	return r, nil
}

// serve answers until ctx ends, then takes what still arrives for a while and ends what it has taken.
func (r *router) serve(ctx context.Context, log *logrus.Logger) error {
	listener, err := net.Listen("tcp", r.listen)
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go r.core.Run(background)
	if r.watch != nil {
		go r.watch(background)
	}
	go r.sweep(background)
	complaints := log.WriterLevel(logrus.WarnLevel)
	defer complaints.Close()
	server := &http.Server{Handler: r.front, ReadHeaderTimeout: headTime, IdleTimeout: idleTime,
		MaxHeaderBytes: maxHead, ErrorLog: stdlog.New(complaints, "", 0)}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(r.budget.Listen(listener)) }()
	log.WithField("listen", r.listen).Info("ready")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	log.Info("draining")
	r.front.Drain()
	time.Sleep(lingers)
	if err := server.Shutdown(context.Background()); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	log.Info("drained")
	return nil
}

func (r *router) sweep(ctx context.Context) {
	every := time.NewTicker(sweeps)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			r.pool.Sweep()
		}
	}
}
