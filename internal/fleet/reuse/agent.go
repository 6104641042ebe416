// Package reuse carries copies of prefixes between regions through the store (internal/decide/reuse decides): each router
// reports what is used, one of them writes what is to be copied, and all follow where prefixes are held besides. What carries a
// copy out stands behind Copier.
package reuse

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/decide/reuse"
	"sumacloft/internal/decide/turn"
	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/loop"
)

// Copier brings prefixes to servers. It is called from goroutines of its own for each copy.
type Copier interface {
	// Region is the one whose routers may carry a copy out, and Has tells whether this router can now.
	Region(c reuse.Copy) string
	Has(c reuse.Copy) bool
	// Copy brings a prefix from a region to the server that is to hold it, and returns when it is there; a server that has it
	// already needs nothing sent. It ends early with ctx, when the order is taken back.
	Copy(ctx context.Context, c reuse.Copy) error
	// Drop lets a server forget a prefix whenever it likes.
	Drop(c reuse.Copy)
}

// Options set up an agent.
type Options struct {
	Name       string // of the router
	Region     string
	Endpoints  []string
	Copier     Copier
	Openings   *Openings                         // that Served remembers; nil: each opening counts as shared, and no bytes are kept
	Servers    func() []reuse.Server             // as this router knows them
	Conditions func() map[string]reuse.Condition // of regions, as the plan of sites has them; nil: all are up
	// Leaving are servers that are about to be let out, or are, as of a number of the state of outages; nil: none.
	Leaving func() ([]reuse.Drain, int64)
	Homes   func(further map[reuse.Key][]string) // told of each change of where prefixes are held besides; nil: see Agent.Homes
	// ReadTokens is what a copy by this Copier costs besides where the policy does not say, in tokens.
	ReadTokens float64
	Busy       func() map[string]int // requests of this router, by server; nil: copies arrive whatever servers have to do
	Fence      loop.Fence            // holds a write to this router's registration; nil: writes are not fenced
	Log        logrus.FieldLogger
	Broken     reuse.Fault
}

const (
	root   = "/sumacloft/reuse/"
	format = 1 + turn.FormatsAhead // of states
)

// Record is a state as it stands in the store.
type Record struct {
	Format int `json:"format"`
	turn.NextFormat
	reuse.State
}

// Records is the loop's store over a client.
func Records(c *etcd.Client) loop.Store[reuse.Report, Record] {
	return loop.Store[reuse.Report, Record]{Client: c, Prefix: root, StateName: "state", Format: format}
}

// record is a decider's next state as it is to stand in the place of the last.
func record(last *Record, next *reuse.State) *Record {
	r := &Record{Format: format, State: *next}
	if last != nil {
		r.NextFormat = last.NextFormat
	}
	r.CountWrite()
	return r
}

// Agent has a router take part. Use Open, then Run.
type Agent struct {
	o       Options
	client  *etcd.Client
	says    loop.FaultLogger
	zero    time.Time
	on      atomic.Bool
	again   atomic.Bool                                // the state is to be followed though it is not new
	further atomic.Pointer[map[reuse.Key][]reuse.Copy] // that are there

	mu      sync.Mutex
	model   reuse.Model
	version int64 // of the policy
	meter   *reuse.Meter
	words   map[int64]reuse.CopyStatus
	busy    []reuse.Busy  // what the other routers said of servers last
	viewed  time.Duration // when that was read

	// Of Run's goroutine alone.
	heard    map[string]heard // by router: the report that was heard last
	state    *reuse.State
	sending  map[int64]context.CancelFunc
	carrying *sync.WaitGroup
	mine     map[int64]reuse.Copy    // copies that this router brought
	ordered  map[int64]time.Duration // those on their way: since when this router has seen them
}

// Open makes an agent.
func Open(o Options) (*Agent, error) {
	client, err := etcd.NewClient(o.Endpoints)
	if err != nil {
		return nil, err
	}
	a := &Agent{o: o, client: client, says: loop.FaultLogger{Log: o.Log}, zero: time.Now(), words: map[int64]reuse.CopyStatus{}, heard: map[string]heard{},
		sending: map[int64]context.CancelFunc{}, mine: map[int64]reuse.Copy{}, ordered: map[int64]time.Duration{}}
	a.further.Store(&map[reuse.Key][]reuse.Copy{})
	return a, nil
}

// Close ends the agent's connections.
func (a *Agent) Close() error { return a.client.Close() }

func (a *Agent) now() time.Duration { return time.Since(a.zero) }

// Took has the agent follow another model; one without regions turns it off, after which a request costs one atomic load here.
func (a *Agent) Took(m reuse.Model, version int64) error {
	on := len(m.Regions) > 0
	if on {
		if err := m.WithDefaults().Check(); err != nil {
			return err
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.model, a.version = m.WithReadTokens(a.o.ReadTokens).WithDefaults(), version
	if on && a.meter == nil {
		most := 0.0
		for _, r := range m.Regions {
			most = max(most, r.Memory)
		}
		a.meter = reuse.NewMeter(2 * most)
	}
	a.again.Store(true)
	if a.on.Store(on); !on {
		a.further.Store(&map[reuse.Key][]reuse.Copy{})
		if a.o.Openings != nil {
			a.o.Openings.Forget()
		}
	}
	return nil
}

// On tells whether the policy has copies made.
func (a *Agent) On() bool { return a.on.Load() }

// Used counts a request's prefix, and the server that served it, which extends the lease of the copy that it holds.
func (a *Agent) Used(k reuse.Key, tokens int, server string) {
	a.count(k, tokens, server, true)
}

// count counts a use; of an opening that only one session has had it counts what room that takes.
func (a *Agent) count(k reuse.Key, tokens int, server string, shared bool) {
	if !a.on.Load() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if shared {
		a.meter.Use(k, tokens, a.now())
	} else {
		a.meter.UseSession(k, tokens, a.now())
	}
	for _, c := range (*a.further.Load())[k] {
		if c.Server == server {
			a.say(reuse.CopyStatus{ID: c.ID, Hits: 1})
		}
	}
}

// Missed tells that a server had to read a prefix that it was to hold: the copy is lost.
func (a *Agent) Missed(k reuse.Key, server string) {
	for _, c := range (*a.further.Load())[k] {
		if c.Server == server {
			a.mu.Lock()
			a.say(reuse.CopyStatus{ID: c.ID, Lost: true})
			a.mu.Unlock()
		}
	}
}

// Homes are the servers that hold a prefix under a lease. A wrong one costs a read.
func (a *Agent) Homes(k reuse.Key) (out []string) {
	for _, c := range (*a.further.Load())[k] {
		out = append(out, c.Server)
	}
	return out
}

// Near are those of this router's own region.
func (a *Agent) Near(k reuse.Key) (out []string) {
	for _, c := range (*a.further.Load())[k] {
		if c.To == a.o.Region {
			out = append(out, c.Server)
		}
	}
	return out
}

// holds tells whether a server is believed to hold a prefix.
func (a *Agent) holds(k reuse.Key, server string) bool {
	return slices.ContainsFunc((*a.further.Load())[k], func(c reuse.Copy) bool { return c.Server == server })
}

// say keeps a word for the next report; the lock is held. Where there are too many, uses go unsaid.
func (a *Agent) say(w reuse.CopyStatus) {
	one, known := a.words[w.ID]
	if !known && len(a.words) >= reuse.MaxCopyStatuses {
		return
	}
	a.words[w.ID] = reuse.CopyStatus{ID: w.ID, Arrived: one.Arrived || w.Arrived, Hits: one.Hits + w.Hits, Lost: one.Lost || w.Lost}
}

// Run keeps the agent until ctx ends; what is on its way then is called off.
func (a *Agent) Run(ctx context.Context) {
	var carrying sync.WaitGroup
	defer carrying.Wait()
	a.carrying = &carrying
	decider := &reuse.Decider{Router: a.o.Name, Fault: a.o.Broken}
	loop.Runner{Client: a.client, WatchPrefix: Records(a.client).StateKey(),
		Period: func() (time.Duration, bool) {
			m := a.terms()
			return time.Duration(m.ReportMs * float64(time.Millisecond)), a.on.Load()
		},
		Tick: func(ctx context.Context, _, period time.Duration) {
			a.report(ctx, period)
			a.look(ctx, decider, period)
			a.carryDue(ctx, period)
		},
		Refresh: func(ctx context.Context, period time.Duration) {
			a.look(ctx, nil, period)
			a.carryDue(ctx, period)
		},
	}.Run(ctx)
	for _, stop := range a.sending {
		stop()
	}
}

func (a *Agent) terms() reuse.Model {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.model.ReportMs == 0 {
		return a.model.WithDefaults()
	}
	return a.model
}

// report writes what was used since the last one. Words that the store did not take are said again.
func (a *Agent) report(ctx context.Context, period time.Duration) {
	now := a.now()
	a.mu.Lock()
	r := reuse.Report{Router: a.o.Name, Region: a.o.Region, Sample: a.meter.TakeSample(now), Curve: a.meter.Curve(), Rate: a.meter.Rate(), Hot: a.meter.Hot(now)}
	if a.o.Busy != nil {
		r.Busy = reuse.Busy(a.o.Busy()).Busiest()
	}
	for _, id := range slices.Sorted(maps.Keys(a.words)) {
		r.Copies = append(r.Copies, a.words[id])
	}
	clear(a.words)
	a.mu.Unlock()
	ctx, done := context.WithTimeout(ctx, max(period, 200*time.Millisecond))
	defer done()
	if err := Records(a.client).WriteReport(ctx, a.o.Name, r); err != nil {
		a.mu.Lock()
		for _, w := range r.Copies {
			a.say(w)
		}
		a.mu.Unlock()
	}
}

// look reads what is agreed on, follows it, and writes what should take its place if that is this router's turn. Without a
// decider it only reads.
func (a *Agent) look(ctx context.Context, d *reuse.Decider, period time.Duration) {
	short, done := context.WithTimeout(ctx, max(period, 200*time.Millisecond))
	defer done()
	all, err := Records(a.client).ReadAll(short, true)
	if err != nil {
		return
	}
	v := a.view(all, period)
	a.says.Report("reuse format", all.FormatErr())
	if all.State != nil && v.Last == nil { // it can't be used: nothing is believed in, and it is not written over
		a.follow(ctx, &reuse.State{})
		return
	}
	if v.Last != nil {
		a.follow(ctx, v.Last)
	}
	if d == nil || !all.Writable() {
		return
	}
	a.mu.Lock()
	version := a.version
	a.mu.Unlock()
	if v.Last != nil && v.Last.Version > version {
		return // decided under a policy that this router does not have yet
	}
	next := d.Next(v, a.now())
	if next == nil {
		return
	}
	next.Version = version
	var fence []*pb.Compare
	if a.o.Fence != nil {
		var registered bool
		if fence, registered = a.o.Fence(); !registered {
			return
		}
	}
	from := all.StateRev
	if a.o.Broken == reuse.NoFence { // over whatever stands
		fence = nil
		if now, err := Records(a.client).ReadAll(short, false); err == nil {
			from = now.StateRev
		}
	}
	rev, err := Records(a.client).ReplaceState(short, from, record(all.State, next), fence)
	var moved *loop.MovedError
	if errors.As(err, &moved) {
		return
	}
	a.says.Report("reuse", err)
	if err == nil {
		next.Rev = rev
		a.log(v.Last, next)
		a.follow(ctx, next)
	}
}

// view is what a decider works with: the records that are sound. New reports of this region are heard.
func (a *Agent) view(all loop.View[reuse.Report, Record], period time.Duration) reuse.View {
	v := reuse.View{Model: a.terms(), Servers: a.o.Servers(), Home: homes()}
	if a.o.Conditions != nil {
		v.Conditions = a.o.Conditions()
	}
	if v.OutageSeq = math.MaxInt64; a.o.Leaving != nil {
		v.Drains, v.OutageSeq = a.o.Leaving()
	}
	var fault error
	for _, f := range all.Faults {
		fault = errors.Join(fault, f)
	}
	if all.State != nil {
		if err := all.State.Check(); err != nil {
			fault = errors.Join(fault, &loop.RecordError{Key: Records(a.client).StateKey(), Rev: all.StateRev, Err: err})
		} else {
			v.Last = &all.State.State
			v.Last.Rev = all.StateRev
		}
	}
	var busy []reuse.Busy
	for _, name := range all.Routers() {
		one := all.Reports[name].Value
		one.Rev = all.Reports[name].Rev
		if err := one.Check(); err != nil {
			fault = errors.Join(fault, &loop.RecordError{Key: Records(a.client).ReportPrefix() + name, Rev: one.Rev, Err: err})
			continue
		}
		v.Reports = append(v.Reports, one)
		a.hears(one, period)
		if h := a.heard[name]; name != a.o.Name && h.at > 0 && a.now()-h.at < busyFor*period {
			busy = append(busy, one.Busy)
		}
	}
	a.mu.Lock()
	a.busy, a.viewed = busy, a.now()
	a.mu.Unlock()
	a.says.Report("reuse records", fault)
	return v
}

// log tells of each decision once, at the router that wrote it.
func (a *Agent) log(last, next *reuse.State) {
	known := map[reuse.Note]int{}
	if last != nil {
		for _, n := range last.Notes {
			known[n]++
		}
	}
	for _, n := range next.Notes {
		if known[n]--; known[n] < 0 {
			a.o.Log.WithFields(logrus.Fields{"copy": n.ID, "what": n.What, "why": n.Why, "seq": next.Seq}).Info("reuse: a decision")
		}
	}
}
