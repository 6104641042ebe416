// Package tuning runs a tuner and the workers that make its samples in virtual time: workers of known speed, reloads under
// a bound of how many are out, a bias of samples that is known by their staleness, and the board that weighs them. Equal
// settings give equal runs.
package tuning

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sumacloft/internal/decide/samples"
)

// Way is how samples are weighed.
type Way string

// The ways.
const (
	Board Way = "board"      // by the board's rules
	Equal Way = "equal"      // all alike, however stale
	Fresh Way = "fresh only" // those of the newest version alike, the others dropped
)

// Ways are all of them.
var Ways = []Way{Board, Equal, Fresh}

// Settings are those of a run.
type Settings struct {
	Way     Way
	Model   samples.Model // of the board
	Workers int
	Sites   int
	Routers int
	Slow    int     // how many of the workers are slow
	Slower  float64 // by what factor
	Slots   int     // answers at once of a worker
	Speed   float64 // of one answer, in tokens a second
	Tokens  float64 // of an answer, mean
	Reload  time.Duration
	Out     int           // workers that may reload at once
	Behind  int64         // versions behind from which a worker reloads
	Train   time.Duration // that the tuner takes for a batch
	For     time.Duration
	Noise   float64 // of a sample's gradient, in each dimension
	Target  float64 // distance to the optimum, of 1 at first
	Seed    uint64
}

// Usual are settings for a number of workers: about one batch is made in the time that the tuner takes for one.
func Usual(workers int) Settings {
	batch := min(max(4*workers, 32), samples.MaxBatch)
	return Settings{Way: Board, Model: samples.Model{Batch: batch, Ahead: 3}, Workers: workers, Sites: 3, Routers: 8, Slower: 4, Slots: 4, Speed: 60, Tokens: 500,
		Reload: 3 * time.Second, Out: max(workers/8, 1), Behind: 1, Train: 8 * time.Second, For: 10 * time.Minute, Noise: 0.15, Target: 0.1}
}

// Biases are those for which the error of an estimate is measured: by each version behind a sample is off by this part of
// its own standard deviation.
var Biases = []float64{0.01, 0.05, 0.2}

// Rates are those of the tuner's steps for which the time to the target is measured: careful, and so bold that stale samples
// may have it swing.
var Rates = []float64{0.1, 0.25, 0.5}

// Result is what came of a run.
type Result struct {
	RMSE    []float64 `json:"rmse"`    // of a batch's weighted mean, by Biases, in standard deviations of one sample
	Wasted  float64   `json:"wasted"`  // part of the samples of closed epochs that weigh nothing
	Tokens  float64   `json:"tokens"`  // accepted a second
	Useful  float64   `json:"useful"`  // of those that weigh anything, a second
	Size    float64   `json:"size"`    // effective sample size of a batch, mean
	Lag     float64   `json:"lag"`     // versions behind, weighted, when the tuner took it
	Steps   float64   `json:"steps"`   // batches that the tuner took
	Seconds []float64 `json:"seconds"` // to the target, by Rates; the whole run if it was not reached
	// RateErr is the mean of the absolute relative errors of the board's throughputs against the true ones, at the end, of
	// workers of which two samples were seen since they started anew.
	RateErr  float64     `json:"rate_err"`
	Distance [][]float64 `json:"-"`         // to the optimum, by Rates and second
	Ahead    float64     `json:"ahead_max"` // most batches that were closed and not taken
	// Hindsight is what holds and weights turned out to be.
	Hindsight samples.Hindsight `json:"hindsight"`
}

type worker struct {
	samples.Worker
	speed  float64
	slow   bool
	out    time.Duration // until then it reloads; 0: it does not
	target int64         // the version it loads
	slots  []slot
}

type slot struct {
	busy bool
	left float64 // tokens
	pace float64 // of this answer, against its worker's
	one  samples.Sample
	came time.Duration
}

type run struct {
	set     Settings
	rng     *rand.Rand
	noise   *rand.Rand
	now     time.Duration
	workers []*worker
	reports []samples.Report
	decider samples.Decider
	state   *samples.State
	tuner   samples.Published
	rev     int64
	key     uint64
	// The tuner: what it trains on until when, and the points that versions stand for.
	training samples.Epoch
	until    time.Duration
	points   [][][]float64 // by Rates and version

	squares                   []float64
	batches                   int
	size, lag                 float64
	tokens, all, useful, part float64
	seen                      map[int64]bool
	result                    Result
}

const (
	tick      = 250 * time.Millisecond
	dimension = 32
)

// Run carries one out.
func Run(set Settings) Result {
	r := &run{set: set, rng: rand.New(rand.NewPCG(set.Seed, 23)), noise: rand.New(rand.NewPCG(set.Seed, 29)), squares: make([]float64, len(Biases)), seen: map[int64]bool{}, rev: 1}
	r.build()
	for r.now < set.For {
		r.prompt()
		for _, w := range r.workers {
			r.work(w)
		}
		if r.now%time.Second == 0 {
			r.board()
			r.reload()
			for i, points := range r.points {
				r.result.Distance[i] = append(r.result.Distance[i], norm(points[len(points)-1]))
			}
		}
		r.train()
		r.now += tick
	}
	return r.sum()
}

func (r *run) build() {
	m := r.set.Model.WithDefaults()
	switch r.set.Way { // the same board, with its rules taken off
	case Equal:
		m.StaleMost, m.StaleHalf, m.SpreadMost, m.Trust, m.WorkerCap, m.SiteCap, m.VersionCap, m.Outlier = 1e6, 1e9, 1e6, 1e-9, 1, 1, 1, 1e6
	case Fresh:
		m.StaleMost, m.StaleHalf, m.Trust, m.WorkerCap, m.SiteCap, m.VersionCap, m.Outlier = 0.5, 1e9, 1e-9, 1, 1, 1, 1e6
	}
	r.set.Model = m
	for i := range r.set.Workers {
		w := &worker{Worker: samples.Worker{Name: fmt.Sprintf("w%03d", i), Boot: "1", Site: fmt.Sprint("s", i%r.set.Sites), Kind: "k"}, slow: i < r.set.Slow,
			speed: r.set.Speed * math.Exp(0.1*r.rng.NormFloat64()), slots: make([]slot, r.set.Slots)}
		if w.slow {
			w.speed /= r.set.Slower
		}
		r.workers = append(r.workers, w)
	}
	for i := range r.set.Routers {
		r.reports = append(r.reports, samples.Report{Router: fmt.Sprint("r", i), Boot: "1", First: 1})
	}
	first := make([]float64, dimension)
	for i := range first {
		first[i] = r.noise.NormFloat64()
	}
	length := norm(first)
	for i := range first {
		first[i] /= length
	}
	r.points, r.result.Distance = make([][][]float64, len(Rates)), make([][]float64, len(Rates))
	for i := range r.points {
		r.points[i] = [][]float64{first}
	}
}

func norm(x []float64) (sum float64) {
	for _, v := range x {
		sum += v * v
	}
	return math.Sqrt(sum)
}

// prompt gives out prompts: to the part of the free places that the board takes requests for, drawn by the workers' shares as
// the board gives them, or evenly. There are always more prompts than places, as a tuner has them.
func (r *run) prompt() {
	type free struct {
		w     *worker
		s     *slot
		order float64
	}
	var list []free
	part := 1.0
	if r.state != nil {
		part = r.state.AdmitFraction
	}
	for _, w := range r.workers {
		share := 1.0
		if r.state != nil && r.set.Way == Board {
			if known, is := r.state.Shares[w.Name]; is {
				share = known
			}
		}
		if w.out > 0 || share == 0 {
			continue
		}
		for k := range w.slots {
			if !w.slots[k].busy { // the least of exponential times come first: a draw by weights, without replacement
				list = append(list, free{w, &w.slots[k], r.rng.ExpFloat64() / share})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b free) int { return cmp.Compare(a.order, b.order) })
	most := part * float64(len(list))
	n := int(most)
	if r.rng.Float64() < most-float64(n) {
		n++
	}
	for _, one := range list[:n] {
		r.begin(one.w, one.s)
	}
}

// work lets a worker do what it does in a tick.
func (r *run) work(w *worker) {
	if w.out > 0 && r.now >= w.out {
		w.out, w.Label = 0, w.target
	}
	if w.out > 0 { // what runs stands still while it loads
		return
	}
	for k := range w.slots {
		s := &w.slots[k]
		if !s.busy {
			continue
		}
		if s.left -= w.speed * s.pace * tick.Seconds(); s.left <= 0 {
			r.end(w, s)
		}
	}
}

func (r *run) begin(w *worker, s *slot) {
	r.key++
	tokens := r.set.Tokens * math.Exp(0.4*r.rng.NormFloat64()-0.08)
	epoch := int64(1)
	if r.state != nil {
		epoch = r.state.Open.Number
	}
	*s = slot{busy: true, left: tokens, pace: math.Exp(0.2 * r.rng.NormFloat64()), came: r.now, one: samples.Sample{Key: r.key, Worker: w.Name, Boot: w.Boot, Site: w.Site, Label: w.Label, Version: w.Label, StartEpoch: epoch, Tokens: int(tokens), Accepted: true}}
}

func (r *run) end(w *worker, s *slot) {
	s.busy = false
	s.one.TookMs = int64(float64(s.one.Tokens) / (w.speed * s.pace) * 1000)
	s.one.AgeMs = (r.now - s.came).Milliseconds()
	s.one.End = w.Label // an answer under way goes on with what was loaded
	r.tokens += float64(s.one.Tokens)
	to := &r.reports[int(s.one.Key)%len(r.reports)]
	to.Samples = append(to.Samples, s.one)
}

// board has the decider look, and routers drop what it has counted.
func (r *run) board() {
	v := samples.View{Model: r.set.Model, Policy: 1, Last: r.state, Tuner: &r.tuner, TunerRev: r.rev}
	hand := 0
	for _, w := range r.workers {
		v.Workers = append(v.Workers, w.Worker)
		for k := range w.slots {
			if w.slots[k].busy {
				hand++
			}
		}
	}
	for i := range r.reports {
		one := r.reports[i]
		one.InFlight = (hand + i) / len(r.reports)
		one.Samples = one.Samples[:min(len(one.Samples), samples.MaxSamples)]
		v.Reports = append(v.Reports, one)
	}
	next := r.decider.Next(v, r.now)
	if next == nil {
		return
	}
	r.state = next
	for i := range r.reports {
		one := &r.reports[i]
		n := next.Watermarks[one.Router+" "+one.Boot].Seq - one.First + 1
		one.First, one.Samples = one.First+n, one.Samples[n:]
	}
	for _, e := range next.Closed {
		if !r.seen[e.Number] {
			r.seen[e.Number] = true
			r.all += float64(e.Counted + e.Late + e.Beyond)
			r.part += float64(e.Weighed)
			for _, g := range e.Groups {
				if g.Weight > 0 {
					r.useful += float64(g.Tokens)
				}
			}
		}
	}
	r.result.Ahead = max(r.result.Ahead, float64(next.Open.Number-1-next.Taken))
}

// reload lets those out that are furthest behind, as many as may be out at once, in each way alike.
func (r *run) reload() {
	out := 0
	var list []*worker
	for _, w := range r.workers {
		if w.out > 0 {
			out++
		} else if r.tuner.Version-w.Label >= r.set.Behind {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b *worker) int { return int(a.Label - b.Label) })
	for _, w := range list[:min(len(list), max(r.set.Out-out, 0))] {
		took := float64(r.set.Reload)
		if w.slow {
			took *= r.set.Slower
		}
		w.out, w.target = r.now+time.Duration(took), r.tuner.Version
	}
}
