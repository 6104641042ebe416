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

// Options configure an agent.
type Options struct {
	Name, Boot string // of the router
	Endpoints  []string
	Zone       string // of this router
	Roster     *roster.Roster
	// Fence binds writes to this router's registration. If nil, writes are not fenced.
	Fence  loop.Fence
	Log    logrus.FieldLogger
	Broken sites.Fault
}

// Agent takes part in the fleet's site failover plan for one router. Call Open, then Run. It implements chat.Meter.
type Agent struct {
	options Options
	store   Store
	meter   *Meter
	start   time.Time
	faults  loop.FaultLogger
	// planned is set if there is a plan. Without one, requests are not counted and pay no cost.
	planned atomic.Bool

	mu              sync.Mutex
	policy          Policy
	decision        *sites.Decision
	orders          map[string]sites.Orders
	ready           map[string]int           // number of ready servers by site
	unansweredSince map[string]time.Duration // start of the time in which a site's servers answer no attempt of this router
	nextProbe       map[string]int           // round-robin position of a site's probes
}

// Policy is the part of the current policy that concerns sites.
type Policy struct {
	Model   sites.Model // no plan if it has no sites
	Version int64
}

// Open returns an agent and registers it with the roster. Call it after the components that drain servers have registered,
// so that drained servers add no weight to their site.
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

// Close closes the connections to the store.
func (a *Agent) Close() error { return a.store.Close() }

func (a *Agent) now() time.Duration { return time.Since(a.start) }

// Arrived counts a request and returns its rank, which is 0 without a plan.
func (a *Agent) Arrived(class string, session uint64) float64 {
	if !a.planned.Load() {
		return 0
	}
	return a.meter.Arrived(class, session)
}

// Tried counts an attempt at a zone's servers.
func (a *Agent) Tried(zone int, responded, inTime bool, session uint64) {
	if a.planned.Load() {
		a.meter.Tried(a.options.Roster.Zone(zone), responded, inTime, session)
	}
}

// Refused counts a rejected request against the site with the largest share of its class. It counts only requests that the
// plan admits: their rejection shows that the site has less capacity than declared.
func (a *Agent) Refused(class string, rank float64) {
	if !a.planned.Load() {
		return
	}
	a.mu.Lock()
	mainSite, admitted := a.options.Zone, a.decision.Admitted(class, a.options.Zone)
	if decision := a.decision; decision != nil {
		largest := 0.0
		for _, name := range slices.Sorted(maps.Keys(decision.Shares[class][a.options.Zone])) {
			if fraction := decision.Shares[class][a.options.Zone][name]; fraction > largest {
				mainSite, largest = name, fraction
			}
		}
	}
	a.mu.Unlock()
	if rank < admitted {
		a.meter.Observe(mainSite, func(s *sites.Observation) { s.Rejected++ })
	}
}

// SetPolicy sets the current policy. The caller then passes it to the roster, which updates the module.
func (a *Agent) SetPolicy(policy Policy) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy = policy
	a.planned.Store(len(policy.Model.Sites) > 0)
}

// adjustSettings applies the shared decision to the settings. Site shares replace the module's own zone preference, and the
// admitted fractions of classes are scaled.
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

// adjustWorkers sets class weights from the shared decision. A site's share is divided among its servers by weight.
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
	decision := a.decision
	if decision == nil {
		decision = &sites.Decision{}
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
			if fractions, found := decision.Shares[class][a.options.Zone]; found {
				roster.ScaleWeight(w, at, fractions[site]/max(weights[site], 1))
			}
		}
	}
}

// unreachableSites returns the sites that this router itself can't reach. It sends them nothing, whatever other routers
// see. If it can reach no site at all, none is excluded.
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

// Run writes reports and applies decisions until ctx ends.
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

// model returns the current plan with defaults filled in.
func (a *Agent) model() sites.Model {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.policy.Model.WithDefaults()
}

// writeReport writes the observations since the last report and tracks which sites answer.
func (a *Agent) writeReport(ctx context.Context, m sites.Model, since, period time.Duration) {
	offered, observations := a.meter.TakeCounts()
	report := sites.Report{Router: a.options.Name, Boot: a.options.Boot, Site: a.options.Zone, Observations: map[string]sites.Observation{}, Offered: map[string]float64{}, Stopped: since > 3*period,
		WindowMs: float64(max(since, period)) / float64(time.Millisecond)}
	a.mu.Lock()
	for _, s := range m.Sites {
		observation := observations[s.Name]
		observation.Ready = a.ready[s.Name]
		report.Observations[s.Name] = observation
		_, marked := a.unansweredSince[s.Name]
		switch {
		case observation.Answered > 0:
			delete(a.unansweredSince, s.Name)
		case observation.Attempts > 0 && !marked && !report.Stopped:
			a.unansweredSince[s.Name] = a.now()
		}
	}
	a.mu.Unlock()
	for class, requests := range offered {
		report.Offered[class] = float64(requests) / max(since, period).Seconds()
	}
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	if err := a.store.records().WriteReport(ctx, a.options.Name, report); err != nil && ctx.Err() == nil {
		a.options.Log.WithError(err).Debug("sites: can't write the report")
	}
}

// refresh reads the shared decision and applies it to the module. If it is this router's turn, it also writes the next
// decision. Without a decider it only reads.
func (a *Agent) refresh(ctx context.Context, d *sites.Decider, period time.Duration) {
	defer a.options.Roster.Refresh() // this router's own observations apply even if the store is down
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

// logChanges logs the differences between two decisions.
func (a *Agent) logChanges(from, to *sites.Decision) {
	if from == nil {
		from = &sites.Decision{}
	}
	for _, name := range slices.Sorted(maps.Keys(to.Sites)) {
		current, previous := to.Sites[name], from.Sites[name]
		if current.State != previous.State && (previous.State != "" || current.State != sites.Up) || current.Kind != previous.Kind {
			a.options.Log.WithFields(logrus.Fields{"site": name, "state": current.State, "kind": current.Kind, "ramp": current.Ramp, "losses": current.Losses, "reason": current.Reason, "seq": to.Seq, "by": to.By}).Warn("sites: verdict changed")
		}
	}
	if (len(from.Admit) == 0) != (len(to.Admit) == 0) {
		a.options.Log.WithFields(logrus.Fields{"admit": to.Admit, "seq": to.Seq, "plan": to.Method}).Warn("sites: partial admission of classes started or ended")
	}
}
