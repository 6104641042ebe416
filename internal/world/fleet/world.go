package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sumacloft/internal/decide/gather"
	"sumacloft/internal/decide/outage"
)

// Tick is how long a step of a day is: regions gather, and the decider decides, once in it (gather.Settings.PeriodMs).
const Tick = 2 * time.Second

// The terms of a day.
const (
	grace    = 10 * time.Second // between the word that nothing new goes to a server and its stop, so that what it has ends
	slow     = 0.002            // of servers that take five times as long and more to come back
	resumes  = 2 * time.Minute  // after which an operator has a halted release go on, or takes a bad one back
	rate     = 2.0              // requests a second that a server serves
	abroad   = 0.8              // what a request is worth that another region serves, beside one served where it arrived
	drift    = 30 * time.Minute // time constant by which what a server keeps changes
	refills  = 10 * time.Minute // time constant in which it is full again after a start
	keptMean = 2.0              // millions of prompt tokens that a server keeps at the median
	failing  = 0.05             // of requests that a bad version fails; others 0.2%
)

// Settings are a day's.
type Settings struct {
	Size
	Seed   uint64
	Policy Policy
	Peak   float64       // requests at a region's busiest, as a part of what its servers can serve
	For    time.Duration // a day ends then; 0: when its release has
	// Racks are lost, ten servers of a region at once each; Crashes are single servers, Drains wishes by hand, Sites lost for 20
	// minutes, Restarts those of routers; each is drawn over the time For, or two hours without it. Bad has a bad version released first.
	Racks, Crashes, Drains, Sites, Restarts int
	Bad                                     bool
	// Broken is a rule that the decider breaks, so that the auditor can be shown to find it.
	Broken outage.Fault
}

// Day is what came of one.
type Day struct {
	Took    float64  `json:"took_s"`    // the release, from its start to its end; 0: it did not end
	Worth   float64  `json:"worth"`     // lost, as a part of what arrived while the release ran
	Refused float64  `json:"refused"`   // likewise
	Kept    float64  `json:"kept"`      // millions of prompt tokens that servers kept which were stopped
	Most    int      `json:"most"`      // servers that were out at once
	Site    int      `json:"most_site"` // of one region
	Beyond  int      `json:"beyond"`    // servers that were stopped while with them more were out than the budget has
	Bad     int      `json:"bad"`       // servers that ran the bad version at once, at most
	Halts   int      `json:"halts"`
	Halted  float64  `json:"halted_s"` // until an operator had the release go on
	Permits int      `json:"permits"`
	States  int      `json:"states"` // that were written
	Bytes   float64  `json:"state_bytes"`
	Left    int      `json:"left"`             // servers without the label at the end
	Faults  []string `json:"faults,omitempty"` // rules that were broken, by the auditor
	Steps   int      `json:"steps"`            // of the decider
	Machine float64  `json:"machine_s"`
}

type server struct {
	name, label    string
	region, boot   int
	up, away       bool // away: nothing new goes there
	since, downAt  time.Duration
	stopAt, backAt time.Duration // 0: not
	next           string        // the label that it comes back with
	kept           float64       // logarithm of what it keeps at the beginning, in standard deviations
	rng            *rand.Rand    // its own: the same whatever the policy
}

type world struct {
	set     Settings
	now     time.Duration
	servers []server
	byName  map[string]int
	table   map[string]outage.Observation
	recent  []int // servers that went down lately
	serving []float64
	gone    int // servers that are down or are given nothing new
	model   outage.Model
	routers map[string]outage.Registration
	reports []outage.Report
	boots   []int
	state   *outage.State
	rev     int64
	seen    int64 // what routers follow
	decider *outage.Decider
	audit   outage.Auditor
	counts  map[string]*outage.Counts
	acted   map[int64]bool // permits that the deployer has acted on
	events  []event
	rng     *rand.Rand
	begun   time.Duration
	ended   bool
	dirty   bool // something changed since the decider had nothing to say
	arrived float64
	lost    map[int]bool // regions
	day     Day
	fixed   *fixed
	halted  time.Duration
}

type event struct {
	at time.Duration
	do func(w *world)
}

func newWorld(set Settings) *world {
	w := &world{set: set, byName: map[string]int{}, table: map[string]outage.Observation{}, serving: make([]float64, set.Regions), routers: map[string]outage.Registration{},
		boots: make([]int, set.Routers), counts: map[string]*outage.Counts{}, acted: map[int64]bool{}, rng: rand.New(rand.NewPCG(set.Seed, 41)), lost: map[int]bool{}, dirty: true}
	w.model = outage.Model{Workers: 0.03, WorkersSite: 0.1, Routers: 0.02, ReportMs: float64(Tick / time.Millisecond), PauseMs: 5000, LostMs: 1500, WarmMs: 5000, ReturnMs: 120_000}
	w.audit.Model = func(int64) (outage.Model, bool) { return w.model, true }
	for i := range set.Servers {
		own := rand.New(rand.NewPCG(set.Seed, uint64(1000+i)))
		w.servers = append(w.servers, server{name: set.server(i), label: "v41", region: i % set.Regions, up: true, since: -time.Hour, kept: own.NormFloat64(), rng: own})
		w.byName[set.server(i)] = i
		w.serving[i%set.Regions]++
		w.show(i)
	}
	for i := range set.Routers {
		name := set.router(i)
		w.routers[name] = outage.Registration{Boot: "0", Label: "v7", Live: true}
		w.reports = append(w.reports, outage.Report{Router: name, Boot: "0", Table: w.table})
	}
	w.decide()
	w.draw()
	return w
}

// show has the routers see a server as it is.
func (w *world) show(i int) {
	s := &w.servers[i]
	one := outage.Observation{Site: w.set.region(s.region), Role: "chat", Weight: 1, Boot: fmt.Sprint(s.boot), Label: s.label, Probed: true}
	if !s.up {
		one.SilentMs = min(float64((w.now-s.downAt)/time.Millisecond)+1, 10*w.model.LostMs)
	}
	w.table[s.name] = one
	w.dirty = true
}

// keeps is how many millions of prompt tokens a server keeps now: its logarithm goes back to the mean (Ornstein and Uhlenbeck).
func (w *world) keeps(s *server) float64 {
	fade := math.Exp(-float64(w.now) / float64(drift))
	x := s.kept*fade + math.Sqrt(1-fade*fade)*s.rng.NormFloat64()
	return keptMean * math.Exp(x) * (1 - math.Exp(-float64(w.now-s.since)/float64(refills)))
}

// turn has a server be up or not, and be given something new or not.
func (w *world) turn(i int, up, away bool) {
	s := &w.servers[i]
	was, is := s.up && !s.away, up && !away
	s.up, s.away = up, away
	if was == is {
		return
	}
	if is {
		w.serving[s.region]++
		w.gone--
	} else {
		w.serving[s.region]--
		w.gone++
	}
	w.day.Most = max(w.day.Most, w.gone)
	w.day.Site = max(w.day.Site, w.set.Servers/w.set.Regions-int(w.serving[s.region]))
}

// take takes a server out of service for the release or by hand, and counts whether with it more are out than may be.
func (w *world) take(i int) {
	if w.servers[i].away {
		return
	}
	if w.turn(i, w.servers[i].up, true); w.gone > int(w.model.Workers*float64(w.set.Servers)) {
		w.day.Beyond++
	}
}

func (w *world) kill(i int) {
	s := &w.servers[i]
	if !s.up {
		return
	}
	w.turn(i, false, s.away)
	s.downAt, s.stopAt = w.now, 0
	w.recent = append(w.recent, i)
	w.show(i)
}

// restart has a server come back with a label, some time from now.
func (w *world) restart(i int, label string) {
	s := &w.servers[i]
	took := time.Duration(40 * math.Exp(0.3*s.rng.NormFloat64()) * float64(time.Second))
	if s.rng.Float64() < slow {
		took *= time.Duration(5 + s.rng.IntN(5))
	}
	s.backAt, s.next = w.now+took, label
}

func (w *world) start(i int) {
	s := &w.servers[i]
	s.backAt, s.label, s.since = 0, s.next, w.now
	s.boot++
	w.turn(i, true, s.away)
	ran := 0
	for _, one := range w.servers {
		if one.label == bad {
			ran++
		}
	}
	w.day.Bad = max(w.day.Bad, ran)
	w.show(i)
}

// stop stops a server for the release; whatever it keeps is lost.
func (w *world) stop(i int) {
	s := &w.servers[i]
	if !s.up {
		return
	}
	w.day.Kept += w.keeps(s)
	w.kill(i)
}

// pass has a tick go by for the servers and for what arrives.
func (w *world) pass() {
	w.now += Tick
	for len(w.events) > 0 && w.events[0].at <= w.now {
		w.events[0].do(w)
		w.events = w.events[1:]
	}
	for i := range w.servers {
		s := &w.servers[i]
		if s.stopAt != 0 && s.stopAt <= w.now {
			w.stop(i)
			w.restart(i, s.next)
		} else if s.backAt != 0 && s.backAt <= w.now && !w.lost[s.region] {
			w.start(i)
		}
	}
	w.recent = slices.DeleteFunc(w.recent, func(i int) bool {
		if !w.servers[i].up {
			w.show(i)
		}
		return w.servers[i].up || w.now-w.servers[i].downAt > time.Duration(12*w.model.LostMs)*time.Millisecond
	})
	running := w.begun != 0 && !w.ended
	room, over := 0.0, 0.0
	for r, n := range w.serving {
		busy := w.set.Peak * (0.85 + 0.15*math.Sin(2*math.Pi*(w.now.Hours()/24+float64(r)/float64(w.set.Regions))))
		q, can := busy*rate*float64(w.set.Servers)/float64(w.set.Regions)*Tick.Seconds(), n*rate*Tick.Seconds()
		room, over = room+max(can-q, 0), over+max(q-can, 0)
		if running {
			w.arrived += q
		}
	}
	if running {
		w.day.Refused += max(over-room, 0)
		w.day.Worth += over - abroad*min(over, room)
	}
}

// serve counts what the two versions served for the release that runs, at the first router.
func (w *world) serve() {
	r := w.state.Release
	if r == nil || r.Phase != outage.Running {
		return
	}
	c := w.counts[r.Run]
	if c == nil {
		c = &outage.Counts{}
		w.counts[r.Run] = c
	}
	var n [2]float64
	for i := range w.servers {
		if s := &w.servers[i]; s.up && !s.away {
			if s.label == r.To {
				n[1]++
			} else {
				n[0]++
			}
		}
	}
	for k, t := range [...]*outage.Tally{&c.Old, &c.New} {
		served, part := n[k]*rate*Tick.Seconds(), 0.002
		if k == 1 && r.To == bad {
			part = failing
		}
		failed := math.Round(max(served*part+math.Sqrt(served*part)*w.rng.NormFloat64(), 0))
		t.N, t.Failed = t.N+int64(served), t.Failed+int64(min(failed, served))
		t.FirstToken[9] += int64(served / 2)
		t.FirstToken[10] += int64(served) - int64(served/2)
	}
	w.reports[0].Release, w.reports[0].Counts = r.Run, *c
}

const bad, good = "v42-bad", "v42"

// write puts a state in the store, and has the auditor look at it.
func (w *world) write(next *outage.State) {
	if w.day.States++; w.day.States%measured == 1 {
		data, err := json.Marshal(next)
		if err != nil {
			panic(err) // a state has no cycles and no NaN
		}
		w.day.Bytes += float64(len(data))
	}
	w.rev++
	next.Rev, w.state, w.dirty = w.rev, next, true
	w.audit.Check(next)
}

// measured is of how many states one is encoded, for its size.
const measured = 16

// decide has the decider look at the records that the regions gathered last.
func (w *world) decide() {
	if w.decider == nil || !w.routers[w.decider.Router].Live {
		w.decider = &outage.Decider{Fault: w.set.Broken, Router: firstOf("outage", slices.Sorted(maps.Keys(w.routers)))}
	}
	w.day.Steps++
	next := w.decider.Next(w.view(), w.now)
	if next != nil {
		w.write(next)
	} else {
		w.dirty = false
	}
}

// view is what the decider reads: reports that are as old as the regions' records.
func (w *world) view() outage.View {
	v := outage.View{Model: w.model, Version: 1, Last: w.state, Routers: w.routers, Reports: w.reports, LostSites: map[string]bool{}}
	for r := range w.lost {
		v.LostSites[w.set.region(r)] = true
	}
	w.rev++
	for i := range w.reports {
		w.reports[i].Rev, w.reports[i].AgeMs = w.rev, gather.Settings{}.WithDefaults().PeriodMs
	}
	return v
}
