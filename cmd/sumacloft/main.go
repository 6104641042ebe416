// Command sumacloft is a router for two-stage language-model serving.
package main

import (
	"context"
	"errors"
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
	"sumacloft/internal/config"
	"sumacloft/internal/core"
	"sumacloft/internal/discovery"
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
	log := logrus.New()
	if level, err := logrus.ParseLevel(os.Getenv("SUMACLOFT_LOG")); err == nil {
		log.SetLevel(level)
	}
	if err := run(log); err != nil {
		log.WithError(err).Fatal("sumacloft stopped")
	}
}

func run(log *logrus.Logger) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	cfg, err := config.Platform(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(int(cfg.Limits.Cores), 1))
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Limits.MemoryMB<<20)))
	set, err := cfg.Settings.Brain()
	if err != nil {
		return err
	}
	budget := upstream.NewBudget(cfg.Limits.Sockets)
	pool := upstream.NewPool(budget, config.Millis(cfg.Settings.Bounds.ConnectTimeoutMs), config.Millis(cfg.Settings.Bounds.ConnIdleMs))
	workers := platform.NewWorkers(pool)
	c := core.New(set, cfg.Seed, workers, log)
	names := discovery.Names{Zones: cfg.Settings.Zones, Kinds: cfg.Settings.Kinds}
	c.Listed(brain.ListCached, names.Workers(cfg.Known.Members))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.Run(ctx)
	go discovery.New(cfg.Discovery, log).Run(ctx, cfg.Known.Revision, func(l discovery.List) {
		kind := brain.ListDelta
		if l.Complete {
			kind = brain.ListWhole
		}
		c.Listed(kind, names.Workers(l.Members))
	})
	go func() {
		for range time.Tick(sweeps) {
			pool.Sweep()
		}
	}()
	return serve(log, cfg.Listen, budget, platform.New(c, workers, cfg.Settings.Class), signals)
}

// serve answers until a signal comes, then takes what still arrives for a while and ends what it has taken.
func serve(log *logrus.Logger, addr string, budget *upstream.Budget, front *platform.Front, signals <-chan os.Signal) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: front, ReadHeaderTimeout: headTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHead}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(budget.Listen(listener)) }()
	log.WithField("listen", addr).Info("ready")
	select {
	case err := <-failed:
		return err
	case sig := <-signals:
		log.WithField("signal", sig).Info("draining")
	}
	front.Drain()
	time.Sleep(lingers)
	err = server.Shutdown(context.Background())
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	log.Info("drained")
	return err
}
