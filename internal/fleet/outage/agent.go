package outage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sumacloft/brain"
	"sumacloft/internal/core"
	"sumacloft/internal/decide/outage"
	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/loop"
	"sumacloft/internal/fleet/policy"
	"sumacloft/internal/fleet/roster"
)

// Options set up an agent.
type Options struct {
	Name, Boot, Label string // of the router
	Endpoints         []string
	Roster            *roster.Roster
	Fence             loop.Fence
	// Applied is the revision that this router's own member of the store has; nil: it hosts none.
	Applied func() int64
	// Copies tells whether this router takes part in copies of openings; nil: it does not.
	Copies func() bool
	// Busy is how many requests of this router are at servers, by name; it is asked where the budget follows room.
	Busy func() map[string]int
	// Open is how many requests this router has; it is asked likewise.
	Open   func() int
	Log    logrus.FieldLogger
	Broken outage.Fault
}

// Agent has a router take part in its fleet's decisions about outages. Use Open, then Run.
type Agent struct {
	o     Options
	store Store
	meter *meter
	zero  time.Time
	says  loop.FaultLogger
	part  readers
	on    atomic.Bool // without a budget no request costs anything here

	mu      sync.Mutex
	model   outage.Model
	version int64
	state   *outage.State
	since   time.Duration // when it was read, or written
	turn    int           // which servers are probed next
	duck    Duck
	ducked  int64 // the permit for which this router has emptied itself, 0: none
}

// Duck is how a router empties itself while it holds a permit.
type Duck struct {
	Set   func(on bool)
	Empty func() bool
}

// Open makes an agent and registers it with the keeper of the list.
func Open(o Options) (*Agent, error) {
	client, err := etcd.NewClient(o.Endpoints)
	if err != nil {
		return nil, err
	}
	a := &Agent{o: o, store: NewStore(client), zero: time.Now(), says: loop.FaultLogger{Log: o.Log}}
	a.meter = &meter{asked: map[string]bool{}, silent: map[string]time.Duration{}, now: a.now}
	o.Roster.AdjustWorker(a.shape)
	o.Roster.OnPrune(a.meter.forget)
	o.Roster.SubscribeProbes(a.probing())
	return a, nil
}

// Close ends the agent's connections.
func (a *Agent) Close() error { return a.store.Close() }

func (a *Agent) now() time.Duration { return time.Since(a.zero) }

// Bind tells how this router empties itself; it is called before Run.
func (a *Agent) Bind(d Duck) { a.duck = d }

// firstLook is how long a router that has just started waits for what is out, before it takes its first request.
const firstLook = time.Second

// Took has the agent follow another policy. A process that has just started reads what is out before it serves: it would
// else send to what was let out before its time, and nobody waits for it to know. Without an answer it serves all the
// same: a router that starts from its copy has no store to ask.
func (a *Agent) Took(m outage.Model, version int64) {
	a.mu.Lock()
	a.model, a.version = m, version
	first := a.state == nil && m.On()
	a.mu.Unlock()
	if first {
		ctx, done := context.WithTimeout(context.Background(), firstLook)
		if all, err := a.store.ReadState(ctx, false); err == nil {
			a.follow(all)
		}
		done()
	}
	a.on.Store(m.On())
	a.apply()
}

// On tells whether the policy has a budget.
func (a *Agent) On() bool { return a.on.Load() }

// Enter has a router that registers anew learn what is out before it serves: while it had no registration nobody waited for
// it to know.
func (a *Agent) Enter(ctx context.Context) error {
	if !a.on.Load() {
		return nil
	}
	ctx, done := context.WithTimeout(ctx, firstLook)
	defer done()
	all, err := a.store.ReadState(ctx, false)
	if err == nil {
		a.follow(all)
	}
	return err
}

// Tried, Arrived and Refused count requests.
func (a *Agent) Tried(t Attempt) {
	if a.on.Load() {
		a.meter.tried(t)
	}
}

// Arrived counts a request of a class.
func (a *Agent) Arrived(class string) {
	if a.on.Load() {
		a.meter.class(class, false)
	}
}

// Refused counts a request of a class that was turned away.
func (a *Agent) Refused(class string) {
	if a.on.Load() {
		a.meter.class(class, true)
	}
}

// shape shows a worker as the module is to see it: what is let out drains.
func (a *Agent) shape(w *core.Worker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state == nil || !a.model.On() || w.Availability != brain.Ready {
		return
	}
	if p, out := a.state.Permits[outage.ID(outage.Server, w.Name)]; out && p.Stage != outage.Returning {
		w.Availability = brain.Draining
	}
}

// apply has the module follow what is agreed on, if that changed, and this router empty itself if it is let out.
func (a *Agent) apply() {
	a.mu.Lock()
	mine := int64(0)
	run, sides, kinds, worse := "", map[string]outage.Cohort(nil), map[string]string(nil), a.model.WithDefaults().Halt.Worse
	if s := a.state; s != nil && a.model.On() {
		if p, out := s.Permits[outage.ID(outage.Router, a.o.Name)]; out && p.Stage != outage.Returning && p.Boot == a.o.Boot {
			mine = p.ID
		}
		if s.Release != nil {
			var labels map[string]string
			labels, kinds = a.labels(s.Release)
			run, sides = s.Cohorts(labels)
		}
	}
	was := a.ducked
	a.ducked = mine
	a.mu.Unlock()
	a.meter.count(run, sides, kinds, worse)
	a.o.Roster.Refresh()
	if (was != 0) != (mine != 0) && a.duck.Set != nil {
		a.o.Log.WithFields(logrus.Fields{"permit": mine, "router": a.o.Name}).Warn("outage: this router is let out, or serves again")
		a.duck.Set(mine != 0)
	}
}

// labels are those of the servers: of a router's release they bear its own. Their kinds are their roles and weights.
func (a *Agent) labels(r *outage.Release) (out, kinds map[string]string) {
	out, kinds = map[string]string{}, map[string]string{}
	for _, w := range a.o.Roster.Workers() {
		out[w.Name] = w.Label
		kinds[w.Name] = fmt.Sprint(w.Role, " ", w.Weight)
		if r != nil && r.Kind == outage.Router {
			out[w.Name] = a.o.Label
		}
	}
	return out, kinds
}

// Run keeps the agent until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	decider := &outage.Decider{Router: a.o.Name, Fault: a.o.Broken}
	loop.Runner{Client: a.store.Client, WatchPrefix: StateKey,
		Period: func() (time.Duration, bool) {
			a.mu.Lock()
			defer a.mu.Unlock()
			m := a.model.WithDefaults()
			return time.Duration(m.ReportMs) * time.Millisecond, m.On()
		},
		Tick: func(ctx context.Context, since, period time.Duration) {
			a.report(ctx, since, period)
			if a.reads(ctx, period) {
				a.decide(ctx, decider, period)
			}
		},
		Refresh: func(ctx context.Context, period time.Duration) {
			a.look(ctx, period)
			a.report(ctx, 0, period) // so that those who wait for it know that this router follows
		},
	}.Run(ctx)
}

// patience bounds a step's calls to the store.
func patience(period time.Duration) time.Duration { return max(period, 300*time.Millisecond) }

// follows tells whether what this router has in hand is asked for: the budget follows room.
func (a *Agent) follows() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.model.FollowsHeadroom() && a.o.Busy != nil && a.o.Open != nil
}

// report writes what this router sees.
func (a *Agent) report(ctx context.Context, since, period time.Duration) {
	ctx, done := context.WithTimeout(ctx, patience(period))
	defer done()
	r := outage.Report{Router: a.o.Name, Boot: a.o.Boot, Observed: map[string]outage.Observation{}, Stopped: since > 3*period, Copies: a.o.Copies != nil && a.o.Copies()}
	if a.o.Applied != nil {
		r.StoreMember, r.Applied = true, a.o.Applied()
	}
	var busy map[string]int
	var silent map[string]float64
	var asked map[string]bool
	r.Release, r.Counts, silent, asked = a.meter.cut()
	if a.follows() {
		busy, r.Open = a.o.Busy(), a.o.Open()
	}
	a.mu.Lock()
	if a.state != nil {
		r.StateSeq = a.state.Seq
	}
	if a.ducked != 0 && a.duck.Empty != nil && a.duck.Empty() {
		r.DrainedPermit = a.ducked
	}
	for _, w := range a.o.Roster.Workers() {
		r.Observed[w.Name] = outage.Observation{Site: a.o.Roster.Site(w), Role: w.Role, Weight: w.Weight, Draining: w.Availability != brain.Ready, Label: w.Label,
			Boot: strconv.FormatInt(int64(w.StartedAt/time.Millisecond), 10), SilentMs: silent[w.Name], Probed: asked[w.Name], Busy: busy[w.Name]}
	}
	a.mu.Unlock()
	if err := a.store.WriteReport(ctx, a.o.Name, r); ctx.Err() == nil {
		a.says.Report("outage report", err)
	}
}

// look follows the state, from whatever copy answers.
func (a *Agent) look(ctx context.Context, period time.Duration) {
	ctx, done := context.WithTimeout(ctx, patience(period))
	defer done()
	all, err := a.store.ReadState(ctx, true)
	if err != nil {
		return
	}
	a.follow(all)
}

// follow takes up a state that is newer than the one it has.
func (a *Agent) follow(all loop.View[outage.Report, outage.State]) {
	for _, f := range all.Faults {
		a.says.Report(f.Key, f)
	}
	next := seen(all).Last
	a.mu.Lock()
	newer := next != nil && (a.state == nil || next.Rev > a.state.Rev)
	if newer {
		a.state, a.since = next, a.now()
	}
	a.mu.Unlock()
	if newer {
		a.apply()
	}
}

// decide reads all that there is, follows it, and writes what should take the place of the state if that is this
// router's turn.
func (a *Agent) decide(ctx context.Context, d *outage.Decider, period time.Duration) {
	ctx, done := context.WithTimeout(ctx, patience(period))
	defer done()
	v, all, err := a.store.View(ctx)
	a.says.Report("outage", err)
	if err != nil {
		return
	}
	a.follow(all)
	a.says.Report("outage format", all.FormatErr())
	a.mu.Lock()
	v.Model = a.model
	current := a.version == v.Version
	a.mu.Unlock()
	if !current || !all.Writable() { // a budget that is not the current one decides nothing
		return
	}
	next := d.Next(v, a.now())
	if next == nil {
		return
	}
	fence, registered := a.o.Fence()
	if !registered {
		return
	}
	fence = append(fence, policy.Standing(v.VersionRev)) // a budget that was lowered meanwhile gives nothing more
	if a.o.Broken == outage.NoFence {
		fence = nil
	}
	rev, err := a.move(ctx, all.StateRev, next, fence)
	if fenced := (*loop.FencedError)(nil); errors.As(err, &fenced) {
		a.says.Report("outage write", err)
	}
	if err != nil {
		return
	}
	next.Rev = rev
	a.o.Log.WithFields(logrus.Fields{"seq": next.Seq, "why": next.Why, "servers_out": next.Budget.ServersOut, "servers_most": next.Budget.ServersLimit,
		"routers_out": next.Budget.RoutersOut, "routers_most": next.Budget.RoutersLimit, "permits": slices.Sorted(maps.Keys(next.Permits))}).Info("outage: decided")
	a.mu.Lock()
	a.state, a.since = next, a.now()
	a.mu.Unlock()
	a.apply()
}
