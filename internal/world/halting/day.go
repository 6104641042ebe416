// Package halting plays releases in virtual time against the real test that halts them: requests are drawn, counted by the real
// meters of the routers, reported, and judged by the real decider, which also gives the permits. What is drawn is meant to mislead:
// hours in which both versions fail together, loads that differ, servers of a slow kind.
package halting

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sumacloft/internal/decide/outage"
)

// Noise is what a day has besides the versions' own failures.
type Noise struct {
	Hours   bool // failures and late answers of both versions rise and fall together
	Loads   bool // servers' and routers' shares of the load differ, and the load changes
	Kinds   bool // a third of the servers is slow to the first token
	Hidden  bool // and nothing in the list tells which
	Mixture bool // requests that are long are slow to the first token, and routers differ in how many they have
}

// All is all of it.
var All = Noise{Hours: true, Loads: true, Kinds: true, Mixture: true}

// Judge is what halts a release.
type Judge string

// The judges.
const (
	Exact   Judge = "exact"  // the decider's own
	Twice   Judge = "twice"  // more than twice the old version's rate of failures over the window
	Percent Judge = "5%"     // more than 5% failed over the window
	None    Judge = "nobody" // to see what a version does in the whole of a release
)

// Day is one release.
type Day struct {
	Seed    uint64
	Servers int
	Rate    float64 // requests a second
	Noise   Noise
	Extra   float64 // by how much more the new version fails, as a part of its requests
	Slower  float64 // by what its first tokens are later; 1: not
	Judge   Judge
	Model   outage.Model  // the policy; without a budget: Usual
	Down    time.Duration // for how long a server is down that is replaced; 0: 3 s
}

// Usual is the policy of a day that names none.
var Usual = outage.Model{Workers: 2, Routers: 1, PauseMs: 5000, WarmMs: 3000, Halt: outage.Halt{Least: 40}}

// Outcome is what became of a release.
type Outcome struct {
	Halted   bool
	Why      string
	Seconds  float64 // until it was halted, or done
	Served   int64   // requests that the new version had until then
	Failed   int64   // of them
	Whole    bool    // it came to its end
	Requests int64   // of all
}

const (
	tick    = 500 * time.Millisecond
	window  = 30 * time.Second // of the fixed thresholds
	least   = 40               // requests of the new version in it
	longest = 30 * time.Minute
	routers = 4
)

// bump is an hour in which more fails.
type bump struct{ at, length, height float64 }

type server struct {
	name  string
	fresh bool
	up    bool
	boot  int
	downs time.Duration // since when it is down
	share float64
	slow  float64
}

type day struct {
	Day
	rng     *rand.Rand
	now     time.Duration
	model   outage.Model
	state   *outage.State
	decider outage.Decider
	servers []server
	shares  []float64 // of routers
	long    []float64 // part of a router's requests that are long
	meters  []outage.Meter
	bumps   []bump
	past    []outage.Counts // by tick, all routers'
	out     Outcome
}

// Run plays a day.
func (d Day) Run() (Outcome, error) {
	r := &day{Day: d, rng: rand.New(rand.NewPCG(d.Seed, 11)), decider: outage.Decider{Router: "r1"}, meters: make([]outage.Meter, routers), model: d.Model}
	if !r.model.On() {
		r.model = Usual
	}
	if d.Judge != Exact {
		r.model.Halt.Least = math.MaxInt32 // no look is due
	}
	r.draw()
	if next := r.step(); next != nil {
		r.write(next)
	}
	next, err := r.view().Start(outage.Spec{Name: "up", Kind: outage.Server, To: "new"}, "op")
	if err != nil {
		return r.out, err
	}
	r.write(next)
	for r.now < longest {
		r.now += tick
		r.serve()
		if next := r.step(); next != nil {
			r.write(next)
		}
		r.threshold()
		r.deploy()
		if rel := r.state.Release; rel.Phase != outage.Running || r.out.Halted {
			r.out.Halted = r.out.Halted || rel.Phase == outage.Halted
			r.out.Whole = rel.Phase == outage.Done
			if rel.Phase == outage.Halted {
				r.out.Why = rel.Why
			}
			break
		}
	}
	r.out.Seconds = r.now.Seconds()
	return r.out, nil
}

// draw makes the day's noise.
func (r *day) draw() {
	for i := range r.Servers {
		s := server{name: fmt.Sprintf("s%02d", i), up: true, boot: 1, share: 1, slow: 1}
		if share := 0.3 + 2*r.rng.Float64(); r.Noise.Loads {
			s.share = share
		}
		if slow := r.rng.Float64() < 1.0/3; r.Noise.Kinds && slow {
			s.slow = 2.5
		}
		r.servers = append(r.servers, s)
	}
	for range routers {
		share, long := 0.3+2*r.rng.Float64(), 0.4*r.rng.Float64()
		if !r.Noise.Loads {
			share = 1
		}
		if !r.Noise.Mixture {
			long = 0.2
		}
		r.shares, r.long = append(r.shares, share), append(r.long, long)
	}
	for at := 0.0; at < longest.Seconds(); {
		b := bump{at + r.rng.ExpFloat64()*60, 10 + 80*r.rng.Float64(), 0.02 + 0.18*r.rng.Float64()}
		at = b.at + b.length
		r.bumps = append(r.bumps, b)
	}
}

// hour is what fails just now besides, of both versions, and how much more load there is.
func (r *day) hour() (failing, load float64) {
	t := r.now.Seconds()
	load = 1
	if r.Noise.Loads {
		load = 1 + 0.5*math.Sin(t/40)
	}
	for _, b := range r.bumps {
		if r.Noise.Hours && t >= b.at && t < b.at+b.length {
			failing += b.height
		}
	}
	return failing, load
}

// serve has the requests of a tick served, and counted by the routers that sent them.
func (r *day) serve() {
	labels, kinds := map[string]string{}, map[string]string{}
	for _, s := range r.servers {
		labels[s.name] = s.label()
		if r.Noise.Kinds && !r.Noise.Hidden {
			kinds[s.name] = fmt.Sprint(s.slow)
		}
	}
	run, sides := r.state.Cohorts(labels)
	for i := range r.meters {
		r.meters[i].Configure(run, sides, kinds, 1.5)
	}
	failing, load := r.hour()
	var open []int
	all := 0.0
	for i, s := range r.servers {
		if p, out := r.state.Permits[outage.ID(outage.Server, s.name)]; s.up && (!out || p.Stage == outage.Returning) {
			open = append(open, i)
			all += s.share
		}
	}
	shares := 0.0
	for _, s := range r.shares {
		shares += s
	}
	for range int(r.Rate * load * tick.Seconds()) {
		s, router := r.pick(open, all), r.drawn(shares)
		rate := 0.002 + failing
		first := 200 * math.Exp(0.6*r.rng.NormFloat64()) * s.slow * (1 + 3*failing)
		if r.rng.Float64() < r.long[router] {
			first *= 4
		}
		if s.fresh {
			rate += r.Extra
			first *= r.Slower
		}
		a := outage.Attempt{Server: s.name, Answered: true, InTime: first < 3000, Failed: r.rng.Float64() < rate, FirstToken: time.Duration(first * float64(time.Millisecond))}
		r.meters[router].Record(a)
		r.out.Requests++
		if s.fresh {
			r.out.Served++
			if a.Failed {
				r.out.Failed++
			}
		}
	}
}

func (r *day) pick(open []int, all float64) *server {
	at := r.rng.Float64() * all
	for _, i := range open {
		if at -= r.servers[i].share; at < 0 {
			return &r.servers[i]
		}
	}
	return &r.servers[open[len(open)-1]]
}

func (r *day) drawn(shares float64) int {
	at := r.rng.Float64() * shares
	for i, s := range r.shares {
		if at -= s; at < 0 {
			return i
		}
	}
	return len(r.shares) - 1
}

func (s server) label() string {
	if s.fresh {
		return "new"
	}
	return "old"
}
