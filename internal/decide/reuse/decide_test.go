package reuse

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// fleet has three regions whose routers report each second, and a store that accepts what the decider writes.
type fleet struct {
	model         Model
	decider       *Decider
	last          *State
	now           time.Duration
	servers       []Server
	conditions    map[string]Condition
	meters        map[string]*Meter // by region, one router each
	statuses      map[string][]CopyStatus
	rev           int64
	orderedCopies []Copy // all copies that were ordered
	drains        []Drain
	outageSeq     int64
	holdArrivals  bool // copies do not arrive on their own
	auditor       Auditor
}

func newFleet(broken Fault) *fleet {
	f := &fleet{decider: &Decider{Router: "r", Fault: broken}, now: time.Hour, conditions: map[string]Condition{}, meters: map[string]*Meter{},
		statuses: map[string][]CopyStatus{}}
	for _, r := range []string{"a", "b", "c"} {
		f.model.Regions = append(f.model.Regions, Region{r, 400_000})
		f.servers = append(f.servers, Server{ID: r + "1", Region: r, Boot: "1"}, Server{ID: r + "2", Region: r, Boot: "1"})
		f.meters[r] = NewMeter(2e6)
		for _, other := range []string{"a", "b", "c"} {
			if other != r {
				f.model.Links = append(f.model.Links, Link{From: r, To: other, Rate: 20_000, Price: 0.1})
			}
		}
	}
	return f
}

// churn has each region use sessions of its own, which evict within about 40 s what is not used.
func (f *fleet) churn() {
	for _, r := range f.model.Regions {
		for range 10 {
			f.rev++
			f.meters[r.Name].Use(Key(1<<40+f.rev), 1000, f.now)
		}
	}
}

// advance moves the clock by a second and runs the decider.
func (f *fleet) advance(draw func()) *State {
	f.now += time.Second
	f.churn()
	draw()
	var reports []Report
	for _, r := range f.model.Regions {
		m := f.meters[r.Name]
		s := m.TakeSample(f.now)
		m.AddSample(s, f.now, 0)
		f.rev++
		reports = append(reports, Report{Router: r.Name + "-r", Region: r.Name, Sample: s, Curve: m.Curve(), Rate: s.TotalTokens,
			Hot: m.Hot(f.now), Copies: f.statuses[r.Name], Rev: f.rev})
		f.statuses[r.Name] = nil
	}
	return f.step(reports)
}

func (f *fleet) step(reports []Report) *State {
	s := f.decider.Next(View{Model: f.model, Last: f.last, Reports: reports, Servers: f.servers,
		Conditions: f.conditions, Drains: f.drains, OutageSeq: f.outageSeq}, f.now)
	if s != nil {
		known := int64(0)
		if f.last != nil {
			known = f.last.LastOrder
		}
		for _, c := range s.Copies {
			if c.ID > known {
				f.orderedCopies = append(f.orderedCopies, c)
				if !f.holdArrivals {
					f.statuses[c.To] = append(f.statuses[c.To], CopyStatus{ID: c.ID, Arrived: true})
				}
			}
		}
		f.last = s
		f.auditor.Model = f.model
		f.auditor.Observe(s)
	}
	return s
}

func (f *fleet) copyAt(region string, key Key) *Copy {
	if f.last != nil {
		for i, c := range f.last.Copies {
			if c.To == region && c.Prefix == key {
				return &f.last.Copies[i]
			}
		}
	}
	return nil
}

const flashKey = Key(77)

// flashCrowd requests a prefix five times a second in region a. It returns after how many seconds it was copied to b.
func (f *fleet) flashCrowd(seconds int) (copiedAfter int) {
	for i := range seconds {
		f.advance(func() {
			for range 5 {
				f.meters["a"].Use(flashKey, 3000, f.now)
			}
		})
		if copiedAfter == 0 && f.copyAt("b", flashKey) != nil {
			copiedAfter = i + 1
		}
	}
	return copiedAfter
}

// A flash crowd is copied within five seconds of its first use, before the other regions request it. A scan causes no copies,
// unless the overestimate of its counts is included.
func TestFlashAndScan(t *testing.T) {
	f := newFleet("")
	for range 60 {
		f.advance(func() {})
	}
	if len(f.orderedCopies) > 0 {
		t.Fatalf("a session used once is copied: %+v", f.orderedCopies[0])
	}
	if copiedAfter := f.flashCrowd(10); copiedAfter == 0 || copiedAfter > 5 {
		t.Errorf("flash crowd copied after %d s, want from 1 to 5", copiedAfter)
	}
	for _, broken := range []Fault{"", CountsScan} {
		f := newFleet(broken)
		for range 120 {
			f.advance(func() {
				for range 20 {
					f.rev++
					f.meters["a"].Use(Key(1<<50+f.rev), 3000, f.now)
				}
			})
		}
		if n := len(f.orderedCopies); (n > 0) != (broken == CountsScan) {
			t.Errorf("fault %q: a scan causes %d copies", broken, n)
		}
	}
}

// The fixed cost of a copy keeps short prefixes from being copied, but not long ones. It applies only to what is sent.
func TestShortPrefixesAreNotCopied(t *testing.T) {
	for _, c := range []struct {
		readTokens, tokens float64
		holdOwn, copied    bool
	}{{0, 60, false, true}, {200, 60, false, false}, {200, 2000, false, true}, {200, 60, true, true}} {
		f := newFleet("")
		f.model = f.model.WithReadTokens(c.readTokens)
		if c.holdOwn {
			f.model.HoldOwn, f.model.Links = true, nil
		}
		for range 30 {
			f.advance(func() {})
		}
		for range 40 {
			f.advance(func() {
				if f.now/time.Second%20 < 2 { // evicted before the next use
					f.meters["a"].Use(flashKey, int(c.tokens), f.now)
				}
			})
		}
		if got := len(f.orderedCopies) > 0; got != c.copied {
			t.Errorf("case %+v: ordered copies %v", c, f.orderedCopies)
		}
	}
}

// Copies end when their server restarts or drains, when their region is lost, and when they are reported lost. Nothing is copied
// into a region that is lost, returning or held. A released prefix gets a cool-down.
func TestCopyEndsWithItsServerOrRegion(t *testing.T) {
	for name, cause := range map[string]func(f *fleet, c *Copy){
		"boot": func(f *fleet, c *Copy) {
			for i := range f.servers {
				f.servers[i].Boot = "2"
			}
		},
		"drain": func(f *fleet, c *Copy) {
			for i := range f.servers {
				f.servers[i].Draining = true
			}
		},
		"leave": func(f *fleet, c *Copy) { f.servers = nil },
		"lost":  func(f *fleet, c *Copy) { f.conditions["b"] = Lost },
		"word":  func(f *fleet, c *Copy) { f.statuses["c"] = []CopyStatus{{ID: c.ID, Lost: true}} },
	} {
		for _, broken := range []Fault{"", BelievesAfterRestart} {
			f := newFleet(broken)
			for range 30 {
				f.advance(func() {})
			}
			f.flashCrowd(10)
			c := f.copyAt("b", flashKey)
			if c == nil || c.Phase != Present {
				t.Fatalf("%s: no present copy before the cause: %+v", name, c)
			}
			id := c.ID
			cause(f, c)
			f.flashCrowd(1)
			c = f.copyAt("b", flashKey)
			remains := c != nil && c.ID == id
			if remains != (name == "boot" && broken != "") {
				t.Errorf("%s, fault %q: the copy remains: %v", name, broken, remains)
			}
		}
	}
	for _, c := range []Condition{Lost, Returning, Held} {
		f := newFleet("")
		f.conditions["b"] = c
		f.flashCrowd(10)
		if f.copyAt("b", flashKey) != nil {
			t.Errorf("copied into a region that is %s", c)
		}
	}
}

// A prefix released because it is unused is not copied again at once, except without hysteresis. The bounds hold.
func TestHysteresisAndBounds(t *testing.T) {
	for _, broken := range []Fault{"", NoHysteresis} {
		f := newFleet(broken)
		f.model.LeaseMs = 8000
		for range 30 {
			f.advance(func() {})
		}
		recopied, id, releasedAt := 0, int64(0), time.Duration(0)
		for range 60 {
			f.flashCrowd(1)
			switch c := f.copyAt("b", flashKey); {
			case c == nil && id > 0:
				id, releasedAt = 0, f.now
			case c != nil && c.ID != id:
				if id > 0 || (releasedAt > 0 && f.now-releasedAt < 8*time.Second) {
					recopied++
				}
				id = c.ID
			}
		}
		if (recopied > 0) != (broken == NoHysteresis) {
			t.Errorf("fault %q: %d of %d copies are made again within a lease", broken, recopied, len(f.orderedCopies))
		}
	}
	f := newFleet("")
	f.model.Orders, f.model.Copies, f.model.LinkShare = 3, 1, 0.25
	for range 20 {
		f.advance(func() {
			for i := range 40 {
				f.meters["a"].Use(Key(500+i), 3000, f.now)
			}
		})
		sent, tokens, prefixes := map[string]float64{}, map[string]float64{}, map[Key]int{}
		for _, c := range f.orderedCopies {
			sent[c.From+c.To] += float64(c.Tokens)
		}
		ordered := 0
		for _, c := range f.last.copies() {
			tokens[c.To] += float64(c.Tokens)
			if prefixes[c.Prefix]++; prefixes[c.Prefix] > 1 {
				t.Errorf("%d copies of prefix %x, at most 1 allowed", prefixes[c.Prefix], uint64(c.Prefix))
			}
			if c.Phase == Ordered {
				ordered++
			}
		}
		if ordered > 3 {
			t.Errorf("%d orders under way, at most 3 allowed", ordered)
		}
		for link, v := range sent {
			if limit := 0.25 * 20_000 * float64(f.now-time.Hour) / 1e9; v > limit {
				t.Errorf("%g tokens sent over link %s, at most %g allowed", v, link, limit)
			}
		}
		for r, v := range tokens {
			if v > 100_000 {
				t.Errorf("%g tokens held in region %s, at most 100000 allowed", v, r)
			}
		}
	}
	if len(f.orderedCopies) < 5 {
		t.Errorf("only %d copies were ordered", len(f.orderedCopies))
	}
}

func (s *State) copies() []Copy {
	if s == nil {
		return nil
	}
	return s.Copies
}

// An error names the invalid setting and has advice. An error on a record names the field.
func TestErrors(t *testing.T) {
	f := newFleet("")
	if err := f.model.WithDefaults().Check(); err != nil {
		t.Error(err)
	}
	f.model.Links[2].Rate = -1
	var modelErr *ModelError
	if err := f.model.WithDefaults().Check(); !errors.As(err, &modelErr) || modelErr.Key != "link[2]" || modelErr.Advice() == "" {
		t.Error(err)
	}
	var recordErr *RecordError
	if _, err := Decode([]byte(`{"copies":[{"id":3}]}`)); !errors.As(err, &recordErr) || recordErr.Field != "copies[0]" {
		t.Error(err)
	}
}

// BenchmarkDecider is one step over 100 routers in 5 regions. Their reports have different prefixes: as many as reports may have, and
// 100,000, far more than allowed.
func BenchmarkDecider(b *testing.B) {
	for _, perRouter := range []int{MaxHotReported, 1000} {
		b.Run(fmt.Sprint(100*perRouter, " prefixes"), func(b *testing.B) { benchmarkSteps(b, perRouter, 0) })
		b.Run(fmt.Sprint(100*perRouter, " prefixes, five servers draining"), func(b *testing.B) { benchmarkSteps(b, perRouter, 5) })
	}
}

func benchmarkSteps(b *testing.B, perRouter, draining int) {
	m := Model{}
	var servers []Server
	for i := range 5 {
		name := fmt.Sprint("z", i)
		m.Regions = append(m.Regions, Region{name, 50e6})
		for j := range 5 {
			if i != j {
				m.Links = append(m.Links, Link{From: name, To: fmt.Sprint("z", j), Rate: 1e5, Price: 0.1})
			}
		}
		if draining > 0 {
			m.Links = append(m.Links, Link{From: name, To: name, Rate: 1e6, Price: 0.1})
		}
		for j := range 100 {
			servers = append(servers, Server{ID: fmt.Sprint(name, "-", j), Region: name, Boot: "1"})
		}
	}
	meter := NewMeter(100e6)
	for i, u := range drawStream(1, 20_000, 1, 0) {
		meter.Use(u.key, u.tokens, u.at)
		if i%500 == 0 {
			meter.AddSample(meter.TakeSample(u.at), u.at, 0)
		}
	}
	var reports []Report
	for r := range 100 {
		report := Report{Router: fmt.Sprint("r", r), Region: m.Regions[r%5].Name, Curve: meter.Curve(), Rate: 1e5}
		for i := range perRouter {
			report.Hot = append(report.Hot, Use{Prefix: Key(1 + r*1000 + i), Tokens: 2000, Count: float64(1 + i%8), AgeMs: 60_000, IdleMs: int64(i)})
		}
		reports = append(reports, report)
	}
	d := &Decider{Router: "r"}
	v := View{Model: m, Reports: reports, Servers: servers}
	for i := range draining {
		v.Drains = append(v.Drains, Drain{fmt.Sprint("z", i, "-0"), 1, 60_000})
	}
	now := time.Hour
	for b.Loop() {
		now += time.Second
		for i := range reports {
			reports[i].Rev++
		}
		d.Next(v, now)
	}
}
