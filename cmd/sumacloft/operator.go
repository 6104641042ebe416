package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"sumacloft/brain"
	"sumacloft/internal/chat"
	"sumacloft/internal/config"
	"sumacloft/internal/core"
	"sumacloft/internal/discovery"
	"sumacloft/internal/etcd"
	fleetoutage "sumacloft/internal/fleet/outage"
	"sumacloft/internal/upstream"
)

// forOperator wires the chat front as an operator's file sets it up.
func forOperator(log *logrus.Logger, file string) (*router, error) {
	cfg, err := config.ReadOperator(file)
	if err != nil {
		return nil, err
	}
	r := &router{listen: cfg.Listen}
	read := cfg // as the file has it
	var applied func() int64
	if cfg.Store.ID != "" {
		if r.close, applied, err = openStore(cfg, log); err != nil {
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
	r.core.Listed(brain.ListComplete, cfg.Chat.Workers())
	r.names = cfg.Chat.Names()
	r.source = operators(cfg, log)
	r.front = chat.New(r.core, servers, cfg.Chat)
	if cfg.Policy.On() {
		fleet, err := joinFleet(cfg, r.core, servers, applied, log)
		if err != nil {
			if r.close != nil {
				err = errors.Join(err, r.close())
			}
			return nil, err
		}
		front := chat.NewGated(r.core, servers, fleet.gate, cfg.Policy.Header)
		fleet.handover.Bind(front)
		front.Hold(openings{fleet.reuse})
		front.Count(meters{fleet.sites, fleet.outage, fleet.samples})
		front.Guard(fleet.guard)
		r.front, r.listed = front, fleet.roster.UpdateWorkers
		fleet.outage.Bind(duck(r, front))
		fleet.roster.UpdateWorkers(brain.ListComplete, cfg.Chat.Workers())
		fleet.start()
		if cfg.Work.HandOverDrain {
			r.handOver = fleet.handover.HandOver
		}
		shut := r.close
		r.close = func() error { // the registration is taken back while the store still runs
			err := fleet.leave()
			if shut != nil {
				err = errors.Join(err, shut())
			}
			return err
		}
	}
	r.reload = func() (source, error) {
		next, err := config.ReadOperator(file)
		if err != nil {
			return nil, err
		}
		needRestart(log, read.Stale(next))
		if !read.Moved(next) {
			return nil, nil
		}
		read.Take(next)
		return operators(read, log), nil
	}
	return r, nil
}

// duck is how a router empties itself while it is let out: its health check fails, what waits is handed over, and it is
// empty once what it had by then has ended. Who comes all the same, past what looks at the health check, is answered, and by
// whoever stops it in good order too: it must not be waited for until nobody comes.
func duck(r *router, front *chat.Front) fleetoutage.Duck {
	var left atomic.Pointer[func() int]
	return fleetoutage.Duck{Empty: func() bool {
		had := left.Load()
		return had != nil && (*had)() == 0
	}, Set: func(on bool) {
		front.Duck(on)
		r.guard.Shed(on)
		if !on {
			return
		}
		if r.handOver != nil {
			r.handOver()
		}
		had := r.core.TrackOpen()
		left.Store(&had)
	}}
}

// operators is the source of members that an operator's file names.
func operators(cfg config.Operator, log *logrus.Logger) source {
	switch {
	case cfg.Discovery != "":
		return agent(cfg.Discovery, &discovery.Pace{}, discovery.From{}, log)
	case len(cfg.Members.Endpoints) > 0:
		return (&etcd.Members{Endpoints: cfg.Members.Endpoints, Prefix: cfg.Members.Prefix, Log: log}).Run
	}
	return func(_ context.Context, tell func(discovery.List)) {
		tell(discovery.List{Complete: true, Members: cfg.Chat.Members()})
	}
}
