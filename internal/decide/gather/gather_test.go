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

// lease is how long a registration outlives its router's last sign of life; patience how long a router that runs waits until a
// write is given up; believed for how long the decider believes a report.
const lease, patience, believed = 3 * time.Second, time.Second, 8 * time.Second

type router struct {
	name, region string
	boot         int
	token        int64 // of its registration, 0: it has none
	halted       time.Duration
	stopped      bool
	made         []time.Duration // when its process made its reports
	sender       Sender
	gatherer     *Gatherer[outage.Report]
	pending      *Record[outage.Report] // decided, not yet written
	read, fence  int64
	waited       time.Duration // since it was decided, while the router ran
}

// life is a fleet of two regions, one server that is always well, a store of two records and one decider.
type life struct {
	now, looked time.Duration
	terms       Terms
	broken      Fault
	routers     []*router
	store       map[string]*Record[outage.Report]
	written     map[string]time.Duration
	first       map[int64]time.Duration // when the decider saw a revision first
	rev         int64
	decider     outage.Decider
	state       *outage.State
	stood       turn.Stood
}

func newLife(broken Fault) *life {
	l := &life{broken: broken, store: map[string]*Record[outage.Report]{}, written: map[string]time.Duration{}, first: map[int64]time.Duration{}, decider: outage.Decider{Me: "a0"}}
	for _, name := range []string{"a0", "a1", "a2", "a3", "b0", "b1"} {
		r := &router{name: name, region: name[:1]}
		l.routers = append(l.routers, r)
		l.start(r)
	}
	return l
}

func (l *life) start(r *router) {
	l.rev++
	*r = router{name: r.name, region: r.region, boot: r.boot + 1, token: l.rev, sender: Sender{Region: r.region}}
	r.gatherer = &Gatherer[outage.Report]{Me: r.name, Boot: fmt.Sprint(r.boot), Region: r.region, Broken: l.broken}
}

func (l *life) live(region string) map[string]string {
	out := map[string]string{}
	for _, r := range l.routers {
		if r.token != 0 && (region == "" || r.region == region) {
			out[r.name] = fmt.Sprint(r.boot)
		}
	}
	return out
}

func (l *life) by(name string) *router {
	for _, r := range l.routers {
		if r.name == name {
			return r
		}
	}
	return nil
}

func (l *life) pass(d time.Duration) {
	l.now += d
	for _, r := range l.routers {
		if !r.stopped {
			r.waited += d
		} else if l.now-r.halted >= lease {
			r.token = 0
		}
	}
}

// report has a router make one and send it.
func (l *life) report(r *router) {
	if r.stopped || r.token == 0 {
		return
	}
	live := l.live(r.region)
	to := l.by(r.sender.To(Order(r.region, keys(live)), l.terms, l.now))
	r.made = append(r.made, l.now)
	if to == nil || to.stopped {
		return
	}
	to.gatherer.Take(r.name, Line[outage.Report]{Boot: fmt.Sprint(r.boot), Number: int64(len(r.made)), Report: outage.Report{Observed: map[string]outage.Observation{"s": {Weight: 1, Boot: "1", Probed: true}}}}, l.now)
	r.sender.Answered(to.name, to.gatherer.Holder(l.store[r.region], live, l.terms, l.now), l.now)
}

func keys(m map[string]string) (out []string) {
	for k := range m {
		out = append(out, k)
	}
	return out
}

// decide has a router read and decide; write has it write, if nothing stands against that.
func (l *life) decide(r *router) {
	if !r.stopped && r.pending == nil && r.gatherer.Watches(l.store[r.region], l.live(r.region), l.terms, l.now) {
		if last := l.store[r.region]; last != nil {
			r.read = last.Rev
		}
		r.waited, r.fence, r.pending = 0, r.token, r.gatherer.Next(l.store[r.region], l.live(r.region), l.terms, l.now)
	}
}

func (l *life) write(r *router) error {
	next := r.pending
	if r.stopped || next == nil {
		return nil
	}
	r.pending = nil
	last := l.store[r.region]
	if r.waited > patience || l.broken != NoFence && (r.token == 0 || r.token != r.fence || last != nil && last.Rev != r.read) {
		return nil
	}
	if l.rev++; l.rev%8 == 0 { // as the store would have it
		data, err := Pack(next, MaxPacked)
		if err != nil {
			return err
		}
		if next, err = Unpack(r.region, data); err != nil {
			return err
		}
	}
	next.Rev = l.rev
	l.store[r.region], l.written[r.region] = next, l.now
	if last != nil {
		for name, was := range last.Lines {
			if is := next.Lines[name]; is.Boot == was.Boot && is.Number < was.Number {
				return fmt.Errorf("%s: report %d stands in the place of %d", name, is.Number, was.Number)
			}
		}
	}
	return nil
}

// look has the decider decide, and checks what it believes.
func (l *life) look() (fresh map[string]bool, err error) {
	var records []*Record[outage.Report]
	v := outage.View{Model: outage.Model{Workers: 1, ReportMs: float64(believed) / float64(4*time.Millisecond)}, Last: l.state, Routers: map[string]outage.Registration{}}
	for _, r := range l.store {
		records = append(records, r)
		if l.first[r.Rev] == 0 {
			l.first[r.Rev] = l.now
		}
	}
	boots := l.live("")
	for name, boot := range boots {
		v.Routers[name] = outage.Registration{Boot: boot, Live: true}
	}
	v.Reports, fresh = Reports(records, boots, l.broken), map[string]bool{}
	for _, one := range v.Reports {
		r := l.by(one.Router)
		line := l.store[r.region].Lines[one.Router]
		if line.Boot != fmt.Sprint(r.boot) || time.Duration(one.AgeMs*float64(time.Millisecond))+l.stood.For(one.Router, one.Rev, l.now) > believed {
			continue
		}
		fresh[one.Router] = true
		unseen := l.first[one.Rev] - l.written[r.region] // the record had stood so long when this decider saw it first
		if age := l.now - r.made[line.Number-1] - unseen; age > believed+lease+patience {
			return nil, fmt.Errorf("%s: a report is believed that is %v old", one.Router, age)
		}
	}
	if next := l.decider.Next(v, l.now); next != nil {
		l.rev++
		next.Rev, l.state = l.rev, next
	}
	if l.state != nil && len(l.state.Lost) > 0 {
		for thing := range l.state.Lost {
			if kind, _ := outage.Split(thing); kind == outage.Server {
				return nil, fmt.Errorf("%s is well and held to be lost", thing)
			}
		}
	}
	return fresh, nil
}

// walk takes one act.
func (l *life) walk(draw func(n int) int) error {
	r := l.routers[draw(len(l.routers))]
	switch draw(16) {
	case 0, 1, 2, 3:
		l.report(r)
	case 4, 5, 6:
		l.decide(r)
	case 7, 8, 9:
		return l.write(r)
	case 10, 11, 12:
		l.pass(time.Duration(50+draw(1500)) * time.Millisecond)
		_, err := l.look()
		return err
	case 13:
		if !r.stopped {
			r.stopped, r.halted = true, l.now
		}
	case 14:
		return l.goOn(r)
	case 15:
		if draw(4) == 0 {
			l.start(r)
		}
	}
	return nil
}

// goOn has a stopped router go on where it was: a write that was on its way goes first, then it registers again.
func (l *life) goOn(r *router) (err error) {
	if r.stopped {
		r.stopped = false
		err = l.write(r)
	}
	if r.token == 0 {
		l.rev++
		r.token = l.rev
	}
	return err
}

// calm has all routers run again: within a takeover and some periods everybody is believed.
func (l *life) calm() error {
	for _, r := range l.routers {
		if err := l.goOn(r); err != nil {
			return err
		}
	}
	var fresh map[string]bool
	for range 20 {
		l.pass(500 * time.Millisecond)
		for _, r := range l.routers {
			l.report(r)
			l.decide(r)
			if err := l.write(r); err != nil {
				return err
			}
		}
		var err error
		if fresh, err = l.look(); err != nil {
			return err
		}
	}
	if len(fresh) != len(l.routers) {
		return fmt.Errorf("10 s after all are well %v are believed of %d", fresh, len(l.routers))
	}
	return nil
}

func (l *life) run(acts int, draw func(n int) int) error {
	for range acts {
		if err := l.walk(draw); err != nil {
			return err
		}
	}
	return l.calm()
}

func TestGathering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newLife("").run(60, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }); err != nil {
			t.Fatal(err)
		}
	})
}

// The same lives by seeds: none breaks a rule, and with each fault some do.
func TestFaultsAreFound(t *testing.T) {
	lives, long := uint64(8), os.Getenv("LAB_LONG") != ""
	if long {
		lives = 300
	}
	for _, broken := range []Fault{"", NoFence, NoAges, Silence, Trusts} {
		found, says := 0, ""
		for seed := uint64(0); seed < lives && (long || found == 0); seed++ {
			rng := rand.New(rand.NewPCG(seed, 31))
			if err := newLife(broken).run(400, rng.IntN); err != nil {
				found, says = found+1, fmt.Sprintf("seed %d: %v", seed, err)
			}
		}
		t.Logf("%q: found in %d of %d lives; %s", broken, found, lives, says)
		if (found > 0) != (broken != "") {
			t.Errorf("%q: found in %d of %d lives; %s", broken, found, lives, says)
		}
	}
}

// Of routers that are gone the last that were heard are kept, and those that are registered.
func TestTrim(t *testing.T) {
	g := Gatherer[int]{Me: "a", Boot: "1", Region: "x"}
	for i, name := range []string{"b", "c", "a"} {
		g.Take(name, Line[int]{Boot: "1", Number: 1}, time.Duration(i)*time.Second)
	}
	g.Take("c", Line[int]{Boot: "1", Number: 1, Report: 7}, 9*time.Second) // the same again
	next := g.Next(nil, map[string]string{"a": "1"}, Terms{Lines: 1}, 10*time.Second)
	if next == nil || len(next.Lines) != 2 || next.Lines["c"].AgeMs != 9000 || next.Lines["a"].AgeMs != 8000 {
		t.Errorf("%+v", next)
	}
}

// What is packed comes out as it went in, whatever routers see differently.
func TestPack(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	r := &Record[outage.Report]{Format: 1, Region: "a", Seq: 3, By: "r1", Boot: "1", Lines: map[string]Line[outage.Report]{}}
	for i := range 9 {
		one := outage.Report{Router: fmt.Sprint("r", i), Boot: "1", StateSeq: 5, Observed: map[string]outage.Observation{}, StoreMember: i < 3}
		for k := range 40 {
			s := outage.Observation{Site: "x", Weight: 1, Label: "v1", Probed: true}
			if rng.IntN(6) == 0 {
				s.SilentMs = float64(rng.IntN(1000))
			}
			if rng.IntN(6) > 0 {
				one.Observed[fmt.Sprint("s", k)] = s
			}
		}
		r.Lines[one.Router] = Line[outage.Report]{Boot: "1", Number: int64(i), AgeMs: 10, Late: i == 4, Report: one}
	}
	data, err := Pack(r, MaxPacked)
	if err != nil {
		t.Fatal(err)
	}
	short, err := Pack(r, len(data)*4/5)
	if err != nil || len(short) > len(data)*4/5 {
		t.Fatalf("%d bytes of %d: %v", len(short), len(data), err)
	}
	cut, err := Unpack("a", short)
	if err != nil || len(cut.Lines) != len(r.Lines) {
		t.Fatalf("%+v: %v", cut, err)
	}
	dropped := 0
	for name, l := range cut.Lines {
		if l.Report.StateSeq != r.Lines[name].Report.StateSeq || !l.Late && len(maps.Collect(l.Report.All)) != len(r.Lines[name].Report.Observed) {
			t.Errorf("%s: %+v", name, l)
		}
		if l.Late {
			dropped++
		}
	}
	if dropped < 2 || dropped == len(r.Lines) {
		t.Errorf("%d of %d do not say what they see", dropped, len(r.Lines))
	}
	back, err := Unpack("a", data)
	if err != nil {
		t.Fatal(err)
	}
	for name, l := range back.Lines {
		l.Report.Observed = maps.Collect(l.Report.All)
		l.Report.Table, l.Report.Absent = nil, nil
		back.Lines[name] = l
	}
	if !reflect.DeepEqual(r, back) {
		a, _ := json.Marshal(r)
		b, _ := json.Marshal(back)
		t.Errorf("%s\n%s", a, b)
	}
	if _, err := Unpack("b", data); err == nil {
		t.Error("a record of another region was read")
	}
	if _, err := Unpack("a", data[:len(data)/2]); err == nil {
		t.Error("half a record was read")
	}
}
