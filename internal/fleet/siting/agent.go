package siting

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/decide/sites"
	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/loop"
	"sumacloft/internal/fleet/roster"
)

// Options set up an agent.
type Options struct {
	Name, Boot string // of the router
	Endpoints  []string
	Zone       string // of this router
	Roster     *roster.Roster
	// Fence holds a write to this router's registration; nil: writes are not fenced.
	Fence  loop.Fence
	Log    logrus.FieldLogger
	Broken sites.Fault
}

// Agent has a router take part in its fleet's plan for the loss of a site. Use Open, then Run. It serves chat.Meter.
type Agent struct {
	options Options
	store   Store
	meter   *Meter
	start   time.Time
	faults  loop.FaultLogger
	// planned tells whether there is a plan: without one no request costs anything here.
	planned atomic.Bool

	mu              sync.Mutex
	policy          Policy
	decision        *sites.Decision
	orders          map[string]sites.Orders
	ready           map[string]int           // servers by site
	unansweredSince map[string]time.Duration // since when a site's servers have not answered this router
	nextProbe       map[string]int           // which servers of a site are probed next
}

// Policy are what the policy in force says.
type Policy struct {
	Model   sites.Model // without sites: there is no plan
	Version int64
}

// Open makes an agent and registers it with the keeper of the list. It comes after rooms that take servers out: what is
// out has no weight in its site.
func Open(o Options) (*Agent, error) {
	client, err := etcd.NewClient(o.Endpoints)
	if err != nil {
		return nil, err
	}
	a := &Agent{options: o, store: Store{client}, meter: NewMeter(), start: time.Now(), faults: loop.FaultLogger{Log: o.Log},
		unansweredSince: map[string]time.Duration{}, nextProbe: map[string]int{}}
	o.Roster.AdjustSettings(a.adjustSettings)
	o.Roster.AdjustWorkers(a.adjustWorkers)
	o.Roster.SubscribeProbes(a.probeSubscription())
	return a, nil
}

// Close ends the agent's connections.
func (a *Agent) Close() error { return a.store.Close() }

func (a *Agent) now() time.Duration { return time.Since(a.start) }

// Arrived gives a request's rank.
func (a *Agent) Arrived(class string, session uint64) float64 {
	if !a.planned.Load() {
		return 0
	}
	return a.meter.Arrived(class, session)
}

// Tried counts an attempt at a site.
func (a *Agent) Tried(zone int, heard, inTime bool, session uint64) {
	if a.planned.Load() {
		a.meter.Tried(a.options.Roster.Zone(zone), heard, inTime, session)
	}
}

// Refused counts what was turned away: what the plan has room for and the module turns away shows less room than was declared.
func (a *Agent) Refused(class string, rank float64) {
	if !a.planned.Load() {
		return
	}
	a.mu.Lock()
	mainSite, admitted := a.options.Zone, a.decision.Admitted(class, a.options.Zone)
	if p := a.decision; p != nil {
		largest := 0.0
		for _, name := range slices.Sorted(maps.Keys(p.Shares[class][a.options.Zone])) {
			if fraction := p.Shares[class][a.options.Zone][name]; fraction > largest {
				mainSite, largest = name, fraction
			}
		}
	}
	a.mu.Unlock()
	if rank < admitted {
		a.meter.Observe(mainSite, func(s *sites.Observation) { s.Rejected++ })
	}
}

// SetPolicy has the agent follow another policy; the keeper of the list takes it next and tells the module.
func (a *Agent) SetPolicy(policy Policy) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy = policy
	a.planned.Store(len(policy.Model.Sites) > 0)
}

// adjustSettings shows the settings as what is agreed on has them: the plan says what goes where, and what is taken.
func (a *Agent) adjustSettings(settings *brain.Settings, classIndex map[string]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.policy.Model.Sites) == 0 {
		return
	}
	if a.decision != nil && len(a.decision.Shares) > 0 {
		settings.Zone = -1
	}
	for class, at := range classIndex {
		roster.ScaleAdmitted(settings, at, a.decision.Admitted(class, a.options.Zone))
	}
}

// adjustWorkers gives servers their parts by what is agreed on: a site's part is shared by its servers, as they weigh.
func (a *Agent) adjustWorkers(policy roster.Policy, list []core.Worker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	weights, planned := map[string]float64{}, map[string]bool{}
	a.ready = map[string]int{}
	for _, w := range list {
		site := a.options.Roster.Site(w)
		switch {
		case w.Availability != brain.Ready:
		case w.Weight > 0:
			weights[site] += w.Weight
			a.ready[site]++
		default:
			weights[site]++
			a.ready[site]++
		}
	}
	m := a.policy.Model
	if len(m.Sites) == 0 {
		return
	}
	for _, s := range m.Sites {
		planned[s.Name] = true
	}
	p := a.decision
	if p == nil {
		p = &sites.Decision{}
	}
	unreachable := a.unreachableSites(m.WithDefaults())
	for i := range list {
		w, site := &list[i], a.options.Roster.Site(list[i])
		if !planned[site] {
			continue
		}
		if unreachable[site] {
			w.ClassWeights = make([]float64, len(policy.Settings.Classes))
			continue
		}
		for class, at := range policy.ClassIndex {
			if fractions, found := p.Shares[class][a.options.Zone]; found {
				roster.ScaleWeight(w, at, fractions[site]/max(weights[site], 1))
			}
		}
	}
}

// unreachableSites are the sites that this router alone finds dead: nothing goes there from here, whatever the others see,
// unless it can reach none.
func (a *Agent) unreachableSites(m sites.Model) map[string]bool {
	out := map[string]bool{}
	for name, since := range a.unansweredSince {
		if float64(a.now()-since)/float64(time.Millisecond) >= m.LostAfterMs {
			out[name] = true
		}
	}
	if len(out) >= len(m.Sites) {
		clear(out)
	}
	return out
}

// Run keeps the agent until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	decider := &sites.Decider{Router: a.options.Name, Fault: a.options.Broken}
	loop.Runner{Client: a.store.Client, WatchPrefix: postureKey,
		Period: func() (time.Duration, bool) {
			m := a.model()
			return time.Duration(m.ReportMs) * time.Millisecond, len(m.Sites) > 0
		},
		Tick: func(ctx context.Context, since, period time.Duration) {
			a.writeReport(ctx, a.model(), since, period)
			a.refresh(ctx, decider, period)
		},
		Refresh: func(ctx context.Context, period time.Duration) { a.refresh(ctx, nil, period) },
	}.Run(ctx)
}

// model is the plan in force, with its defaults.
func (a *Agent) model() sites.Model {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.policy.Model.WithDefaults()
}

// writeReport writes what was seen since the last one.
func (a *Agent) writeReport(ctx context.Context, m sites.Model, since, period time.Duration) {
	offered, observations := a.meter.Drain()
	r := sites.Report{Router: a.options.Name, Boot: a.options.Boot, Site: a.options.Zone, Observations: map[string]sites.Observation{}, Offered: map[string]float64{}, Stopped: since > 3*period,
		WindowMs: float64(max(since, period)) / float64(time.Millisecond)}
	a.mu.Lock()
	for _, s := range m.Sites {
		observation := observations[s.Name]
		observation.Ready = a.ready[s.Name]
		r.Observations[s.Name] = observation
		_, marked := a.unansweredSince[s.Name]
		switch {
		case observation.Answered > 0:
			delete(a.unansweredSince, s.Name)
		case observation.Attempts > 0 && !marked && !r.Stopped:
			a.unansweredSince[s.Name] = a.now()
		}
	}
	a.mu.Unlock()
	for class, n := range offered {
		r.Offered[class] = float64(n) / max(since, period).Seconds()
	}
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	if err := a.store.records().WriteReport(ctx, a.options.Name, r); err != nil && ctx.Err() == nil {
		a.options.Log.WithError(err).Debug("sites: the report was not taken")
	}
}

// refresh reads what is agreed on, has the module follow it, and writes what should take its place if that is this
// router's turn. Without a decider it only reads.
func (a *Agent) refresh(ctx context.Context, d *sites.Decider, period time.Duration) {
	defer a.options.Roster.Refresh() // what this router alone sees counts without the store too
	ctx, cancel := context.WithTimeout(ctx, max(period, 200*time.Millisecond))
	defer cancel()
	records, err := a.store.records().ReadAll(ctx, true)
	if err != nil {
		return
	}
	v, err := toView(records)
	a.faults.Report("sites", err)
	a.mu.Lock()
	v.Model, v.Version = a.policy.Model, a.policy.Version
	a.orders = v.Orders
	if v.Last != nil && (a.decision == nil || v.Last.Rev > a.decision.Rev) {
		a.logChanges(a.decision, v.Last)
		a.decision = v.Last
	}
	a.mu.Unlock()
	if d == nil || !records.Writable() {
		return
	}
	next := d.Next(v, a.now())
	if next == nil {
		return
	}
	var fence []*pb.Compare
	if a.options.Fence != nil {
		var registered bool
		if fence, registered = a.options.Fence(); !registered {
			return
		}
	}
	if rev, err := a.store.records().ReplaceState(ctx, records.StateRev, next, fence); err == nil {
		next.Rev = rev
		a.mu.Lock()
		a.logChanges(a.decision, next)
		a.decision = next
		a.mu.Unlock()
	}
}

// logChanges logs what changed between two postures.
func (a *Agent) logChanges(from, to *sites.Decision) {
	if from == nil {
		from = &sites.Decision{}
	}
	for _, name := range slices.Sorted(maps.Keys(to.Sites)) {
		current, previous := to.Sites[name], from.Sites[name]
		if current.State != previous.State && (previous.State != "" || current.State != sites.Up) || current.Kind != previous.Kind {
			a.options.Log.WithFields(logrus.Fields{"site": name, "state": current.State, "kind": current.Kind, "ramp": current.Ramp, "losses": current.Losses, "reason": current.Reason, "seq": to.Seq, "by": to.By}).Warn("sites: a verdict")
		}
	}
	if (len(from.Admit) == 0) != (len(to.Admit) == 0) {
		a.options.Log.WithFields(logrus.Fields{"admit": to.Admit, "seq": to.Seq, "plan": to.Method}).Warn("sites: classes that are taken in part")
	}
}
