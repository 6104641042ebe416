package samples

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/samples"
	"sumacloft/internal/decide/turn"
	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/loop"
	"sumacloft/internal/fleet/roster"
)

// Options set up an agent.
type Options struct {
	Name, Boot string // of the router
	Endpoints  []string
	Roster     *roster.Roster
	// Reload has the wishes for reloads stand among those for permits.
	Reload func(ctx context.Context, wanted []outage.Reload) error
	// Changed is told of each board that is newer, by one goroutine.
	Changed func(*samples.State)
	// Fence holds a write to this router's registration; nil: writes are not fenced.
	Fence  loop.Fence
	Log    logrus.FieldLogger
	Broken samples.Fault
}

// Agent has a router take part in its fleet's board of samples. Use Open, then Run.
type Agent struct {
	o     Options
	store Store
	zero  time.Time
	says  loop.FaultLogger
	stood turn.RevisionAges
	due   turn.WriteDelay
	made  makers
	met   met

	mu      sync.Mutex
	on      bool
	model   samples.Model
	policy  int64
	classes map[string]bool // those that make samples
	state   *samples.State
	taken   map[uint64]string // records in the store of ended, and of what is counted and still to go from there, by key
	gone    []string          // records of samples that are counted, to be taken away
	first   int64             // the number of the first of ended
	ended   []samples.Sample
	inHand  int
}

// MaxEnded bounds the samples that a router holds which the board has not counted. Past it the oldest are given up, and the
// board says how many are missing.
const MaxEnded = 8192

// Open makes an agent.
func Open(o Options) (*Agent, error) {
	client, err := etcd.NewClient(o.Endpoints)
	if err != nil {
		return nil, err
	}
	a := &Agent{o: o, store: NewStore(client), zero: time.Now(), says: loop.FaultLogger{Log: o.Log}, first: 1, taken: map[uint64]string{}}
	a.met.now = a.now
	o.Roster.AdjustSettings(a.tune)
	o.Roster.AdjustWorkers(a.shape)
	return a, nil
}

// Close ends the agent's connections.
func (a *Agent) Close() error { return a.store.Close() }

func (a *Agent) now() time.Duration { return time.Since(a.zero) }

// Terms are what the policy in force says.
type Terms struct {
	Model   samples.Model
	On      bool // there is a table of samples
	Version int64
	Classes map[string]bool // those that make samples
}

// firstLook is how long a process that has just started waits for the board: what it takes before belongs to no epoch that
// it knows of.
const firstLook = time.Second

// Took has the agent follow another policy; the keeper of the list takes it next and tells the module.
func (a *Agent) Took(t Terms) {
	a.mu.Lock()
	a.model, a.on, a.policy, a.classes = t.Model, t.On, t.Version, t.Classes
	first := t.On && a.state == nil
	a.mu.Unlock()
	if first {
		a.look(context.Background(), firstLook)
	}
	a.made.take(t)
}

// Epoch is the one that a request for a sample begins in. It belongs in the request's record, for whoever takes it over.
func (a *Agent) Epoch() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state == nil {
		return 1
	}
	return a.state.Open.Number
}

// Take notes a request for a sample that is in hand, of a client's or taken over; Ended follows.
func (a *Agent) Take() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inHand++
}

// Ended notes the sample that a request came to; nil: it came to none.
func (a *Agent) Ended(s *samples.Sample) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inHand = max(a.inHand-1, 0)
	if s != nil && a.on {
		a.keep(*s, a.endedKey(s.Key))
	}
}

// keep has a sample, by its record, stand in the reports until it is counted; the lock is held.
func (a *Agent) keep(s samples.Sample, record string) {
	a.ended, a.taken[s.Key] = append(a.ended, s), record
	if n := len(a.ended) - MaxEnded; n > 0 {
		for _, s := range a.ended[:n] {
			delete(a.taken, s.Key) // its record in the store stays: it is read again
		}
		a.ended, a.first = slices.Clone(a.ended[n:]), a.first+int64(n)
	}
}

// Board is what is agreed on, as this router has it; nil: nothing yet.
func (a *Agent) Board() *samples.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// Run keeps the agent until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	decider := &samples.Decider{Router: a.o.Name, Fault: a.o.Broken}
	loop.Runner{Client: a.store.Client, WatchPrefix: BoardKey,
		Period: func() (time.Duration, bool) {
			a.mu.Lock()
			defer a.mu.Unlock()
			return time.Duration(a.model.WithDefaults().ReportMs) * time.Millisecond, a.on
		},
		Tick: func(ctx context.Context, _, period time.Duration) {
			a.report(ctx, period)
			a.drop(ctx)
			a.decide(ctx, decider, period)
		},
		Refresh: a.look,
	}.Run(ctx)
}

// name is that of this process's report: one that was started anew does not write over what the one before left.
func (a *Agent) name() string { return a.o.Name + "/" + a.o.Boot }

func patience(period time.Duration) time.Duration { return max(period, 300*time.Millisecond) }

func (a *Agent) report(ctx context.Context, period time.Duration) {
	ctx, done := context.WithTimeout(ctx, patience(period))
	defer done()
	a.mu.Lock()
	r := samples.Report{Router: a.o.Name, Boot: a.o.Boot, First: a.first, Samples: slices.Clone(a.ended[:min(len(a.ended), samples.MaxSamples)]), InFlight: a.inHand, Interactive: a.met.seen()}
	a.mu.Unlock()
	if err := a.store.WriteReport(ctx, a.name(), r); ctx.Err() == nil {
		a.says.Report("samples report", err)
	}
}

// look follows the board, from whatever copy answers.
func (a *Agent) look(ctx context.Context, period time.Duration) {
	ctx, done := context.WithTimeout(ctx, patience(period))
	defer done()
	r, err := a.store.Range(ctx, &pb.RangeRequest{Key: []byte(BoardKey), Serializable: true})
	if err != nil {
		return
	}
	all := a.store.Decode(r)
	if all.State != nil {
		all.State.Rev = all.StateRev
		a.follow(all.State)
	}
}

// follow takes up a board that is newer than the one it has, and lets go of the samples that it has counted.
func (a *Agent) follow(next *samples.State) {
	if next.Validate() != nil {
		return
	}
	a.mu.Lock()
	newer := a.state == nil || next.Rev > a.state.Rev
	if newer {
		a.state = next
		n := min(max(next.Watermarks[a.o.Name+" "+a.o.Boot].Seq-a.first+1, 0), int64(len(a.ended)))
		for _, s := range a.ended[:n] {
			a.gone = append(a.gone, a.taken[s.Key])
		}
		a.ended, a.first = slices.Clone(a.ended[n:]), a.first+n
	}
	a.mu.Unlock()
	if !newer {
		return
	}
	a.o.Roster.Refresh()
	if a.o.Changed != nil {
		a.o.Changed(next)
	}
}

// freshFor is for how many periods a router counts as there that has written nothing; step is the part of a period by which
// each next router waits for the one before it.
const (
	freshFor = 4
	step     = 4
)

// decide reads all that there is, and writes what should take the place of the board if that is this router's turn.
func (a *Agent) decide(ctx context.Context, d *samples.Decider, period time.Duration) {
	ctx, done := context.WithTimeout(ctx, patience(period))
	defer done()
	v, all, faults, err := a.store.board(ctx)
	_, unsound := v.Sanitize()
	a.says.Report("samples", errors.Join(append(append(faults, unsound...), err)...))
	if err != nil {
		return
	}
	if v.Last != nil {
		a.follow(v.Last)
	}
	a.says.Report("samples format", all.FormatErr())
	if !all.Writable() {
		return
	}
	a.mu.Lock()
	v.Model, v.Policy = a.model, a.policy
	a.mu.Unlock()
	v.Workers = a.workers()
	var others []string
	for i := range v.Reports {
		one := &v.Reports[i]
		key := one.Router + "/" + one.Boot
		one.Silent = a.stood.Age(key, all.Reports[key].Rev, a.now()) > freshFor*period
		if !one.Silent {
			others = append(others, one.Router)
		}
	}
	a.clear(ctx, v, all, period)
	a.adopt(all, others, period)
	a.stood.Retain(func(key string) bool {
		_, reports := all.Reports[key]
		_, ended := all.Others[key]
		return reports || ended
	})
	if len(v.Workers) == 0 { // a list that tells no versions, as a file's does, is none to decide on
		return
	}
	if v.Last != nil && (v.Last.By == a.o.Name || !slices.Contains(others, v.Last.By)) { // its writer asks, or whoever is left
		a.wish(ctx, v.Last)
	}
	next := d.Next(v, a.now())
	if next == nil {
		a.due.Clear()
		return
	}
	if !a.due.Elapsed(turn.Rank("samples", a.o.Name, others), period/step, a.now()) && a.o.Broken != samples.NoCompare {
		return
	}
	var fence []*pb.Compare
	if a.o.Fence != nil {
		var registered bool
		if fence, registered = a.o.Fence(); !registered && a.o.Broken != samples.NoFence {
			return
		}
	}
	if ctx = Pause(ctx); a.o.Broken == samples.NoFence {
		fence = nil
	}
	rev, err := a.store.move(ctx, all.StateRev, v.Last, next, fence, a.o.Broken)
	if fenced := (*loop.FencedError)(nil); errors.As(err, &fenced) {
		a.says.Report("samples write", err)
	}
	if err != nil {
		return
	}
	next.Rev = rev
	a.say(v.Last, next)
	a.follow(next)
}

// clearFor is after how many periods without a word a report is taken away of which all is counted: a router that is cut off is
// silent until then, and counted so with each epoch.
const clearFor = 40

// clear takes away the reports of processes that are not heard of any more and of which all is counted.
func (a *Agent) clear(ctx context.Context, v samples.View, all loop.View[samples.Report, samples.State], period time.Duration) {
	for _, one := range v.Reports {
		key := one.Router + "/" + one.Boot
		if !one.Silent || v.Last == nil || a.stood.Age(key, all.Reports[key].Rev, a.now()) <= clearFor*period || v.Last.Watermarks[one.Router+" "+one.Boot].Seq < one.First+int64(len(one.Samples))-1 {
			continue
		}
		full := a.store.ReportPrefix() + key
		if _, err := a.store.Txn(ctx, &pb.TxnRequest{Compare: []*pb.Compare{etcd.At(full, all.Reports[key].Rev)}, Success: []*pb.RequestOp{etcd.Del(full)}}); err != nil {
			return
		}
	}
}

// say logs what a board of this router's decides, once, with its reason.
func (a *Agent) say(last, next *samples.State) {
	if last == nil {
		last = &samples.State{}
	}
	log := a.o.Log.WithFields(logrus.Fields{"board": next.Seq, "epoch": next.Open.Number})
	for _, e := range next.Closed {
		if e.Number >= last.Open.Number && e.Number > 0 && e.Bounds != nil && e.Number >= next.Taken {
			log.WithFields(logrus.Fields{"closed": e.Number, "samples": e.Counted, "weighed": e.Weighed, "size": e.EffectiveSize, "late": e.Late, "silent": e.Silent, "why": e.CloseReason}).Info("samples: an epoch is closed")
		}
	}
	for name, w := range next.Workers {
		if was := last.Workers[name]; w.HoldReason != "" && (was == nil || was.HoldReason != w.HoldReason) {
			log.WithFields(logrus.Fields{"worker": name, "why": w.HoldReason}).Warn("samples: a worker is held")
		}
	}
	if next.TunerFault != "" && next.TunerFault != last.TunerFault {
		log.Warn("samples: the tuner is not followed: " + next.TunerFault)
	}
	if next.Notice != last.Notice && next.Notice != "" {
		log.Warn("samples: " + next.Notice)
	}
}
