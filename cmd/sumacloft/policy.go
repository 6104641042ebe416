package main

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/chat"
	"sumacloft/internal/config"
	"sumacloft/internal/core"
	"sumacloft/internal/decide/ledger"
	decide "sumacloft/internal/decide/reuse"
	"sumacloft/internal/decide/rollout"
	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/outage"
	"sumacloft/internal/fleet/policy"
	"sumacloft/internal/fleet/reuse"
	"sumacloft/internal/fleet/roster"
	"sumacloft/internal/fleet/samples"
	"sumacloft/internal/fleet/siting"
	"sumacloft/internal/fleet/work"
)

// fleet is this router's part in its fleet: the policy that it follows and the work in hand that it writes down.
type fleet struct {
	gate     *policy.Gate[*chat.Terms]
	handover *chat.Handover
	roster   *roster.Roster
	sites    *siting.Agent
	outage   *outage.Agent
	reuse    *reuse.Agent
	samples  *samples.Agent
	start    func()
	// leave takes the registration back. The gate is shut from then on.
	leave func() error
}

// joinFleet makes this router a member of its fleet; once started it registers and follows the fleet's policy. The gate
// is shut until then. applied is the revision that this daemon's member of the store has; nil: it hosts none.
func joinFleet(cfg config.Operator, c *core.Core, servers *chat.Servers, applied func() int64, log *logrus.Logger) (*fleet, error) {
	kv, err := etcd.NewClient(cfg.Policy.Endpoints)
	if err != nil {
		return nil, err
	}
	f, me := &fleet{handover: &chat.Handover{Serve: cfg.Work.OnAway == config.AwayServe, Log: log}}, ledger.Owner{Name: cfg.Policy.Name, Boot: uuid.NewString()}
	closeSpans := func() error { return nil }
	if cfg.Work.TraceFile != "" {
		if f.handover.Spans, closeSpans, err = work.NewSpans(cfg.Work.TraceFile, me.Name); err != nil {
			return nil, errors.Join(err, kv.Close())
		}
	}
	var agent *policy.Agent[*chat.Terms]
	fence := func() ([]*pb.Compare, bool) { return agent.Fence() }
	f.roster = roster.New(roster.Options{Zones: cfg.Chat.Zones, UpdateWorkers: c.Listed, UpdateSettings: c.UpdateSettings, Probe: servers.Probe})
	if f.outage, err = outage.Open(outage.Options{Name: me.Name, Boot: me.Boot, Label: cfg.Policy.Label, Endpoints: cfg.Policy.Endpoints,
		Roster: f.roster, Fence: fence, Applied: applied, Copies: func() bool { return f.reuse != nil && f.reuse.On() }, Busy: c.OpenAttempts, Open: c.Open, Log: log, Broken: outage.Injected()}); err != nil {
		return nil, errors.Join(err, kv.Close(), closeSpans())
	}
	if f.sites, err = siting.Open(siting.Options{Name: me.Name, Boot: me.Boot, Endpoints: cfg.Policy.Endpoints, Zone: cfg.Chat.Zone,
		Roster: f.roster, Fence: fence, Log: log, Broken: siting.Injected()}); err != nil {
		return nil, errors.Join(err, kv.Close(), closeSpans(), f.outage.Close())
	}
	if f.samples, err = samples.Open(samples.Options{Name: me.Name, Boot: me.Boot, Endpoints: cfg.Policy.Endpoints, Roster: f.roster, Reload: f.outage.Reload,
		Fence: fence, Log: log, Broken: samples.Injected()}); err != nil {
		return nil, errors.Join(err, kv.Close(), closeSpans(), f.outage.Close(), f.sites.Close())
	}
	f.handover.Samples = f.samples
	known := reuse.NewOpenings()
	if f.reuse, err = reuse.Open(reuse.Options{Name: me.Name, Region: cfg.Chat.Zone, Endpoints: cfg.Policy.Endpoints, Copier: warmer(known, servers, c, func() error { return f.guard() }), Openings: known,
		Servers: reuse.NewServers(f.roster).List, Conditions: func() map[string]decide.Condition { return conditions(f.sites) }, Leaving: f.outage.Leaving, Busy: c.OpenAttempts, ReadTokens: reuse.ReadTokens, Fence: fence,
		Log: log, Broken: reuse.Injected()}); err != nil {
		return nil, errors.Join(err, kv.Close(), closeSpans(), f.outage.Close(), f.sites.Close(), f.samples.Close())
	}
	shut := func() error {
		return errors.Join(f.reuse.Close(), f.samples.Close(), f.outage.Close(), f.sites.Close(), kv.Close(), closeSpans())
	}
	classes := &config.ChatCatalog{}
	agent, err = policy.Open(policy.Options[*chat.Terms]{
		Name: me.Name, Boot: me.Boot, Listen: cfg.Listen, Label: cfg.Policy.Label, Endpoints: cfg.Policy.Endpoints, Dir: cfg.Store.Dir, OnLapse: cfg.Policy.OnLapse,
		Lease: cfg.Policy.Lease(), Margin: cfg.Policy.Margin(), Patience: cfg.Policy.Hold(), Most: cfg.Policy.HoldMost,
		First: func(ctx context.Context) (string, error) { return earlier(ctx, kv, cfg) },
		Check: func(text string) error {
			_, err := cfg.Under(text)
			return err
		},
		TakeUp: func(v rollout.Version) (*chat.Terms, error) {
			set, err := cfg.Under(v.Text)
			if err != nil {
				return nil, err
			}
			plan, err := config.PlanOf(v.Text, set)
			if err != nil {
				return nil, err
			}
			budget, err := config.OutageOf(v.Text)
			if err != nil {
				return nil, err
			}
			copies, err := config.ReuseOf(v.Text)
			if err != nil {
				return nil, err
			}
			if err := f.reuse.Took(copies, v.Version); err != nil {
				return nil, err
			}
			tuned, makes, err := config.SamplesOf(v.Text)
			if err != nil {
				return nil, err
			}
			brain, places := classes.Take(set)
			weighed := samples.Terms{Version: v.Version, Classes: makes}
			if tuned != nil {
				weighed.Model, weighed.On = *tuned, true
			}
			f.samples.Took(weighed)
			f.sites.SetPolicy(siting.Policy{Model: plan, Version: v.Version})
			f.outage.Took(budget, v.Version)
			f.roster.SetPolicy(brain, named(set, places), v.Version)
			return chat.NewTerms(set, places, v.Version), nil
		},
		Enter: f.outage.Enter,
		Seen:  func(v rollout.View) { f.handover.Book.Seen(living(v), v.Revision) },
		Log:   log, Broken: policy.Injected()})
	if err != nil {
		return nil, errors.Join(err, shut())
	}
	f.gate = agent.Gate()
	w := cfg.Work
	f.handover.Book, err = work.Open(work.Options{Endpoints: cfg.Policy.Endpoints, Me: me, Batch: w.Batch, Pace: w.TakeoverPerS,
		Limits:  ledger.Limits{Open: w.MaxOpen, Kept: w.MaxKept, Body: w.MaxBodyKB << 10, Answer: w.MaxAnswerKB << 10, Keep: w.Keep()},
		Session: f.gate.Session, Attempts: func() int {
			if t := f.gate.Last(); t != nil {
				return t.MaxAttempts()
			}
			return 1
		},
		Resume: f.handover.Resume, Log: log, Spans: f.handover.Spans, Broken: work.Injected()})
	if err != nil {
		return nil, errors.Join(err, agent.Close(), shut())
	}
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	f.start = func() {
		for _, run := range []func(context.Context){agent.Run, f.handover.Book.Run, f.sites.Run, f.outage.Run, f.samples.Run, f.reuse.Run, f.roster.RunProbes} {
			all.Add(1)
			go func() { defer all.Done(); run(ctx) }()
		}
		if cfg.Store.ID != "" {
			go fill(ctx, kv, cfg, log)
		}
	}
	f.leave = func() error {
		settling, done := context.WithTimeout(context.Background(), leaves)
		f.handover.Settle(settling)
		done()
		stop()
		all.Wait()
		return errors.Join(agent.Close(), f.handover.Book.Close(), shut())
	}
	return f, nil
}

// guard tells why nothing may be sent, under a budget for outages: what is out was agreed on without a router whose lease is
// over.
func (f *fleet) guard() error {
	if !f.outage.On() {
		return nil
	}
	return f.gate.Ready()
}

// leaves is how long requests in hand whose clients have left may take to end before the router takes its registration
// back; what is left then is another router's.
const leaves = 10 * time.Second

// named are the places of classes in the module, by their names.
func named(set config.Chat, places []int) map[string]int {
	out := map[string]int{}
	for i, k := range set.Classes {
		out[k.Name] = places[i]
	}
	return out
}

// living are the processes whose lease stands in a view.
func living(v rollout.View) []ledger.Owner {
	var out []ledger.Owner
	for name, r := range v.Routers {
		if r.Lease != 0 {
			out = append(out, ledger.Owner{Name: name, Boot: r.Boot})
		}
	}
	return out
}
