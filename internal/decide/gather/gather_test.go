package gather

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/turn"
)

// lease is how long a registration outlives its router's last heartbeat, writeTimeout how long a running router waits for a
// write, reportValidity how long the decider uses a report.
const lease, writeTimeout, reportValidity = 3 * time.Second, time.Second, 8 * time.Second

type router struct {
	name, region string
	boot         int
	token        int64 // of its registration; 0 if it has none
	stoppedAt    time.Duration
	stopped      bool
	reportedAt   []time.Duration // times at which its process made its reports
	sender       Sender
	gatherer     *Gatherer[outage.Report]
	pending      *Record[outage.Report] // decided but not yet written
	read, fence  int64
	waited       time.Duration // running time since the decision
}

// simulation is a fleet of two regions with one server that is always healthy, a store of two records and one decider.
type simulation struct {
	now, lastLook time.Duration
	terms         Settings
	broken        Fault
	routers       []*router
	store         map[string]*Record[outage.Report]
	written       map[string]time.Duration
	firstSeen     map[int64]time.Duration // when the decider first saw a revision
	rev           int64
	decider       outage.Decider
	state         *outage.State
	ages          turn.RevisionAges
}

func newSimulation(broken Fault) *simulation {
	sim := &simulation{broken: broken, store: map[string]*Record[outage.Report]{}, written: map[string]time.Duration{},
		firstSeen: map[int64]time.Duration{}, decider: outage.Decider{Router: "a0"}}
	for _, name := range []string{"a0", "a1", "a2", "a3", "b0", "b1"} {
		r := &router{name: name, region: name[:1]}
		sim.routers = append(sim.routers, r)
		sim.start(r)
	}
	return sim
}

func (sim *simulation) start(r *router) {
	sim.rev++
	*r = router{name: r.name, region: r.region, boot: r.boot + 1, token: sim.rev, sender: Sender{Region: r.region}}
	r.gatherer = &Gatherer[outage.Report]{Router: r.name, Boot: fmt.Sprint(r.boot), Region: r.region, Fault: sim.broken}
}

func (sim *simulation) live(region string) map[string]string {
	out := map[string]string{}
	for _, r := range sim.routers {
		if r.token != 0 && (region == "" || r.region == region) {
			out[r.name] = fmt.Sprint(r.boot)
		}
	}
	return out
}

func (sim *simulation) find(name string) *router {
	for _, r := range sim.routers {
		if r.name == name {
			return r
		}
	}
	return nil
}

func (sim *simulation) advance(d time.Duration) {
	sim.now += d
	for _, r := range sim.routers {
		if !r.stopped {
			r.waited += d
		} else if sim.now-r.stoppedAt >= lease {
			r.token = 0
		}
	}
}

// report has a router make a report and send it.
func (sim *simulation) report(r *router) {
	if r.stopped || r.token == 0 {
		return
	}
	live := sim.live(r.region)
	to := sim.find(r.sender.Target(Order(r.region, keys(live)), sim.terms, sim.now))
	r.reportedAt = append(r.reportedAt, sim.now)
	if to == nil || to.stopped {
		return
	}
	to.gatherer.Receive(r.name, Entry[outage.Report]{Boot: fmt.Sprint(r.boot), Number: int64(len(r.reportedAt)),
		Report: outage.Report{Observed: map[string]outage.Observation{"s": {Weight: 1, Boot: "1", Probed: true}}}}, sim.now)
	r.sender.Answered(to.name, to.gatherer.Holder(sim.store[r.region], live, sim.terms, sim.now), sim.now)
}

func keys(m map[string]string) (out []string) {
	for k := range m {
		out = append(out, k)
	}
	return out
}

// decide has a router read and decide. write has it write unless the write is fenced, outdated or too late.
func (sim *simulation) decide(r *router) {
	if !r.stopped && r.pending == nil && r.gatherer.Watches(sim.store[r.region], sim.live(r.region), sim.terms, sim.now) {
		if last := sim.store[r.region]; last != nil {
			r.read = last.Rev
		}
		r.waited, r.fence, r.pending = 0, r.token, r.gatherer.Next(sim.store[r.region], sim.live(r.region), sim.terms, sim.now)
	}
}

func (sim *simulation) write(r *router) error {
	next := r.pending
	if r.stopped || next == nil {
		return nil
	}
	r.pending = nil
	last := sim.store[r.region]
	if r.waited > writeTimeout || sim.broken != NoFence && (r.token == 0 || r.token != r.fence || last != nil && last.Rev != r.read) {
		return nil
	}
	if sim.rev++; sim.rev%8 == 0 { // encode and decode some records, as the store would
		data, err := Pack(next, MaxPacked)
		if err != nil {
			return err
		}
		if next, err = Unpack(r.region, data); err != nil {
			return err
		}
	}
	next.Rev = sim.rev
	sim.store[r.region], sim.written[r.region] = next, sim.now
	if last != nil {
		for name, was := range last.Entries {
			if current := next.Entries[name]; current.Boot == was.Boot && current.Number < was.Number {
				return fmt.Errorf("%s: report %d replaced the newer report %d", name, current.Number, was.Number)
			}
		}
	}
	return nil
}

// decideAndCheck has the decider decide, and checks the ages of the reports that it uses.
func (sim *simulation) decideAndCheck() (fresh map[string]bool, err error) {
	var records []*Record[outage.Report]
	v := outage.View{Model: outage.Model{Workers: 1, ReportMs: float64(reportValidity) / float64(4*time.Millisecond)},
		Last: sim.state, Routers: map[string]outage.Registration{}}
	for _, r := range sim.store {
		records = append(records, r)
		if sim.firstSeen[r.Rev] == 0 {
			sim.firstSeen[r.Rev] = sim.now
		}
	}
	boots := sim.live("")
	for name, boot := range boots {
		v.Routers[name] = outage.Registration{Boot: boot, Live: true}
	}
	v.Reports, fresh = Reports(records, boots, sim.broken), map[string]bool{}
	for _, report := range v.Reports {
		r := sim.find(report.Router)
		entry := sim.store[r.region].Entries[report.Router]
		if entry.Boot != fmt.Sprint(r.boot) || time.Duration(report.AgeMs*float64(time.Millisecond))+sim.ages.Age(report.Router, report.Rev, sim.now) > reportValidity {
			continue
		}
		fresh[report.Router] = true
		ageWhenSeen := sim.firstSeen[report.Rev] - sim.written[r.region] // age of the record when this decider first saw it
		if age := sim.now - r.reportedAt[entry.Number-1] - ageWhenSeen; age > reportValidity+lease+writeTimeout {
			return nil, fmt.Errorf("%s: the decider uses a report that is %v old", report.Router, age)
		}
	}
	if next := sim.decider.Next(v, sim.now); next != nil {
		sim.rev++
		next.Rev, sim.state = sim.rev, next
	}
	if sim.state != nil && len(sim.state.Lost) > 0 {
		for member := range sim.state.Lost {
			if kind, _ := outage.Split(member); kind == outage.Server {
				return nil, fmt.Errorf("%s is healthy but declared lost", member)
			}
		}
	}
	return fresh, nil
}

// randomStep takes one random step.
func (sim *simulation) randomStep(draw func(n int) int) error {
	r := sim.routers[draw(len(sim.routers))]
	switch draw(16) {
	case 0, 1, 2, 3:
		sim.report(r)
	case 4, 5, 6:
		sim.decide(r)
	case 7, 8, 9:
		return sim.write(r)
	case 10, 11, 12:
		sim.advance(time.Duration(50+draw(1500)) * time.Millisecond)
		_, err := sim.decideAndCheck()
		return err
	case 13:
		if !r.stopped {
			r.stopped, r.stoppedAt = true, sim.now
		}
	case 14:
		return sim.resume(r)
	case 15:
		if draw(4) == 0 {
			sim.start(r)
		}
	}
	return nil
}

// resume has a stopped router continue where it was: a pending write is sent first, then it registers again.
func (sim *simulation) resume(r *router) (err error) {
	if r.stopped {
		r.stopped = false
		err = sim.write(r)
	}
	if r.token == 0 {
		sim.rev++
		r.token = sim.rev
	}
	return err
}

// converge resumes all routers. Within a takeover and some periods the reports of all routers must be in use.
func (sim *simulation) converge() error {
	for _, r := range sim.routers {
		if err := sim.resume(r); err != nil {
			return err
		}
	}
	var fresh map[string]bool
	for range 20 {
		sim.advance(500 * time.Millisecond)
		for _, r := range sim.routers {
			sim.report(r)
			sim.decide(r)
			if err := sim.write(r); err != nil {
				return err
			}
		}
		var err error
		if fresh, err = sim.decideAndCheck(); err != nil {
			return err
		}
	}
	if len(fresh) != len(sim.routers) {
		return fmt.Errorf("10 s after all routers resumed, the reports of %v of %d routers are in use", fresh, len(sim.routers))
	}
	return nil
}

func (sim *simulation) run(steps int, draw func(n int) int) error {
	for range steps {
		if err := sim.randomStep(draw); err != nil {
			return err
		}
	}
	return sim.converge()
}

func TestGathering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newSimulation("").run(60, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }); err != nil {
			t.Fatal(err)
		}
	})
}

// The same simulation by seeds: it never fails without a fault, and with each fault some seeds fail.
func TestInjectedFaultsAreDetected(t *testing.T) {
	runs, long := uint64(8), os.Getenv("LAB_LONG") != ""
	if long {
		runs = 300
	}
	for _, broken := range []Fault{"", NoFence, NoAges, AgedSilence, TrustsLast} {
		found, example := 0, ""
		for seed := uint64(0); seed < runs && (long || found == 0); seed++ {
			rng := rand.New(rand.NewPCG(seed, 31))
			if err := newSimulation(broken).run(400, rng.IntN); err != nil {
				found, example = found+1, fmt.Sprintf("seed %d: %v", seed, err)
			}
		}
		t.Logf("%q: detected in %d of %d runs; %s", broken, found, runs, example)
		if (found > 0) != (broken != "") {
			t.Errorf("%q: detected in %d of %d runs; %s", broken, found, runs, example)
		}
	}
}

// Of unregistered routers the entries received last are kept, and all entries of registered routers.
func TestTrim(t *testing.T) {
	g := Gatherer[int]{Router: "a", Boot: "1", Region: "x"}
	for i, name := range []string{"b", "c", "a"} {
		g.Receive(name, Entry[int]{Boot: "1", Number: 1}, time.Duration(i)*time.Second)
	}
	g.Receive("c", Entry[int]{Boot: "1", Number: 1, Report: 7}, 9*time.Second) // a repeated report number
	next := g.Next(nil, map[string]string{"a": "1"}, Settings{MaxGone: 1}, 10*time.Second)
	if next == nil || len(next.Entries) != 2 || next.Entries["c"].AgeMs != 9000 || next.Entries["a"].AgeMs != 8000 {
		t.Errorf("%+v", next)
	}
}

// Packing is lossless, whatever routers observe differently.
func TestPack(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	r := &Record[outage.Report]{Format: 1, Region: "a", Seq: 3, By: "r1", Boot: "1", Entries: map[string]Entry[outage.Report]{}}
	for i := range 9 {
		report := outage.Report{Router: fmt.Sprint("r", i), Boot: "1", StateSeq: 5, Observed: map[string]outage.Observation{}, StoreMember: i < 3}
		for k := range 40 {
			s := outage.Observation{Site: "x", Weight: 1, Label: "v1", Probed: true}
			if rng.IntN(6) == 0 {
				s.SilentMs = float64(rng.IntN(1000))
			}
			if rng.IntN(6) > 0 {
				report.Observed[fmt.Sprint("s", k)] = s
			}
		}
		r.Entries[report.Router] = Entry[outage.Report]{Boot: "1", Number: int64(i), AgeMs: 10, Late: i == 4, Report: report}
	}
	data, err := Pack(r, MaxPacked)
	if err != nil {
		t.Fatal(err)
	}
	short, err := Pack(r, len(data)*4/5)
	if err != nil || len(short) > len(data)*4/5 {
		t.Fatalf("%d bytes of %d: %v", len(short), len(data), err)
	}
	reduced, err := Unpack("a", short)
	if err != nil || len(reduced.Entries) != len(r.Entries) {
		t.Fatalf("%+v: %v", reduced, err)
	}
	dropped := 0
	for name, entry := range reduced.Entries {
		if entry.Report.StateSeq != r.Entries[name].Report.StateSeq || !entry.Late && len(maps.Collect(entry.Report.All)) != len(r.Entries[name].Report.Observed) {
			t.Errorf("%s: %+v", name, entry)
		}
		if entry.Late {
			dropped++
		}
	}
	if dropped < 2 || dropped == len(r.Entries) {
		t.Errorf("%d of %d routers have their observations dropped", dropped, len(r.Entries))
	}
	decoded, err := Unpack("a", data)
	if err != nil {
		t.Fatal(err)
	}
	for name, entry := range decoded.Entries {
		entry.Report.Observed = maps.Collect(entry.Report.All)
		entry.Report.Table, entry.Report.Absent = nil, nil
		decoded.Entries[name] = entry
	}
	if !reflect.DeepEqual(r, decoded) {
		a, _ := json.Marshal(r)
		b, _ := json.Marshal(decoded)
		t.Errorf("%s\n%s", a, b)
	}
	if _, err := Unpack("b", data); err == nil {
		t.Error("a record of another region was decoded")
	}
	if _, err := Unpack("a", data[:len(data)/2]); err == nil {
		t.Error("a truncated record was decoded")
	}
}
