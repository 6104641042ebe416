package sites

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// threeSites is a fleet of three sites with two servers each, of 40 answers per second. Queries are worth 3, filings 2.
func threeSites() Model {
	m := Model{Classes: []Class{{Name: "query", Worth: 3}, {Name: "filing", Worth: 2, Floor: 0.1, Last: true}}}
	for _, name := range []string{"a", "b", "c"} {
		m.Sites = append(m.Sites, Site{Name: name, Capacity: 80, Servers: 2, Routers: 2, Members: 2, Demand: map[string]float64{"query": 30, "filing": 20}})
	}
	m.Sites[2].Members = 1
	return m
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, math.Abs(a), math.Abs(b)) }

func TestServesLocallyWithinCapacity(t *testing.T) {
	m := threeSites()
	p := Solve(m, m.Declared())
	for k := range m.Classes {
		for from := range m.Sites {
			if p.Admit(k, from) < 1-1e-6 || !near(p.Flow[k][from][from], p.Demand[k][from]) {
				t.Errorf("class %d of site %d: %v", k, from, p.Flow[k][from])
			}
		}
	}
	if p.Method != "lp" {
		t.Error(p.Method)
	}
}

// At 150% of the capacity of two sites filings get only their floor, and queries get the remaining capacity.
func TestLossAtPeakRefusesLowestWorth(t *testing.T) {
	m := threeSites()
	s := m.Declared().Without(m, "a")
	for k, d := range []float64{60, 54} { // 228 per second in all, capacity 152 after the reserve
		s.Demand[k] = []float64{0, d * 2, d * 2}
	}
	p := Solve(m, s)
	if got := p.Served(0); !near(got, 152-0.1*216) {
		t.Errorf("queries: %g of 240 served, filings %g of 216", got, p.Served(1))
	}
	if got := p.Served(1); !near(got, 21.6) {
		t.Errorf("filings: %g, their floor is 21.6", got)
	}
	for k := range m.Classes {
		if p.Shares(k, 1)[0] != 0 {
			t.Error("the lost site gets load")
		}
	}
}

// The plan respects places, a link's rate, a site that is cut off, and one that returns.
func TestBounds(t *testing.T) {
	m := threeSites()
	m.Classes[0].Places = []string{"a", "b"}
	m.Links = []Link{{From: "a", To: "b", Rate: 5, Both: true}, {From: "b", To: "c", Both: true}, {From: "c", To: "a"}}
	s := m.Declared().Without(m, "a")
	p := Solve(m, s)
	if p.Flow[0][2][2] != 0 || p.Flow[0][1][2] != 0 {
		t.Error("queries are restricted to a and b, but flow to c:", p.Flow[0])
	}
	s.Demand[0], s.Demand[1] = []float64{50, 0, 0}, []float64{0, 0, 0}
	if p = Solve(m, s); !near(p.Served(0), 5) {
		t.Errorf("%g flows over a link with rate 5", p.Served(0))
	}
	m = threeSites()
	s = m.Declared()
	s.CutOff = []bool{false, true, false}
	s.Demand[0][1] = 200
	if p = Solve(m, s); !near(p.Flow[0][1][1]+p.Flow[1][1][1], 76) || p.Flow[0][1][0]+p.Flow[0][0][1] != 0 {
		t.Error("a site that is cut off must serve its own routers only:", p.Flow)
	}
	s = m.Declared()
	s.Factor[0], s.LastShare[0] = 0.3, 0
	s.Demand[0], s.Demand[1] = []float64{60, 50, 50}, []float64{20, 20, 20}
	if p = Solve(m, s); p.Flow[1][0][0]+p.Flow[1][1][0]+p.Flow[1][2][0] != 0 || p.Flow[0][0][0] > 80*0.95*0.3*(1+1e-6) {
		t.Error("a returning site gets more load than it can carry:", p.Flow)
	}
}

// drawFleet draws a random fleet.
func drawFleet(t *rapid.T, sites, classes int) (Model, Situation) {
	m := Model{}
	for i := range sites {
		m.Sites = append(m.Sites, Site{Name: fmt.Sprint("s", i), Capacity: rapid.Float64Range(0, 100).Draw(t, "capacity"), Demand: map[string]float64{}})
	}
	for k := range classes {
		c := Class{Name: fmt.Sprint("c", k), Worth: rapid.Float64Range(0.5, 5).Draw(t, "worth"), Work: rapid.Float64Range(0.2, 3).Draw(t, "work"),
			Floor: rapid.SampledFrom([]float64{0, 0, 0.1, 0.3}).Draw(t, "floor"), Last: rapid.Bool().Draw(t, "last")}
		for i := range m.Sites {
			if rapid.IntRange(0, 9).Draw(t, "place") == 0 {
				c.Places = append(c.Places, m.Sites[i].Name)
			}
			m.Sites[i].Demand[c.Name] = rapid.SampledFrom([]float64{0, 1, 10, 40}).Draw(t, "demand")
		}
		m.Classes = append(m.Classes, c)
	}
	for range rapid.IntRange(0, 1).Draw(t, "bounded") * sites {
		m.Links = append(m.Links, Link{From: m.Sites[rapid.IntRange(1, sites-1).Draw(t, "from")].Name, To: m.Sites[0].Name, Cost: rapid.Float64Range(0, 4).Draw(t, "cost"), Rate: rapid.Float64Range(0, 50).Draw(t, "rate"), Both: true})
	}
	s := m.Declared()
	for i := range m.Sites {
		s.Factor[i] = rapid.SampledFrom([]float64{0, 0.3, 1, 1, 1}).Draw(t, "factor")
		s.LastShare[i] = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "late")
	}
	return m, s
}

// For any fleet, each method of planning keeps all bounds. The program serves no less than the greedy plan unless it
// keeps floors better. Equal inputs give equal plans.
func TestPlansKeepBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, s := drawFleet(t, rapid.IntRange(2, 6).Draw(t, "sites"), rapid.IntRange(1, 5).Draw(t, "classes"))
		problem := newTransport(m.WithDefaults(), s)
		exact, err := problem.solveExact()
		if err == nil {
			if err := problem.verify(exact); err != nil {
				t.Fatal("whole:", err)
			}
		}
		stepped, steppedErr := problem.solveInSteps()
		if steppedErr == nil {
			if err := problem.verify(stepped); err != nil {
				t.Fatal("parts:", err)
			}
		}
		greedy := problem.solveGreedy()
		if err := problem.verify(greedy); err != nil {
			t.Fatal("rule:", err)
		}
		if floors := floorsMissed(m, s, exact); err == nil && exact.Worth(m) < greedy.Worth(m)*(1-1e-3)-1e-3 && floors >= floorsMissed(m, s, greedy)-1e-6 {
			t.Fatalf("the program serves a worth of %g, the greedy plan %g", exact.Worth(m), greedy.Worth(m))
		}
		if !reflect.DeepEqual(Solve(m, s), Solve(m, s)) {
			t.Fatal("two plans of one fleet differ")
		}
	})
}

func floorsMissed(m Model, s Situation, p Plan) (sum float64) {
	if p.Flow == nil {
		return 0
	}
	p.Demand = s.Demand
	for k, c := range m.Classes {
		sum += max(c.Floor*p.totalDemand(k)-p.Served(k), 0)
	}
	return sum
}

// Planning for 20 sites, 10 classes and 500 servers takes at most 100 ms and uses the solver.
func TestPlanInTime(t *testing.T) {
	m, s := largeFleet()
	for i := range 5 {
		start := time.Now()
		p := Solve(m, s.Without(m, m.Sites[i].Name))
		if took := time.Since(start); took > 100*time.Millisecond && !raceEnabled {
			t.Errorf("loss of %s: %v", m.Sites[i].Name, took)
		}
		if p.Method != "lp by parts" {
			t.Error(p.Method)
		}
	}
}

func largeFleet() (Model, Situation) {
	m := Model{}
	for k := range 10 {
		m.Classes = append(m.Classes, Class{Name: fmt.Sprint("c", k), Worth: 1 + float64(k)/3, Work: 0.5 + float64(k%4), Floor: 0.05 * float64(k%3), Last: k%2 == 1})
	}
	for i := range 20 {
		s := Site{Name: fmt.Sprint("s", i), Servers: 25, Capacity: 25 * (30 + float64(i)), Demand: map[string]float64{}}
		for k := range 10 {
			s.Demand[m.Classes[k].Name] = 20 + float64((7*i+3*k)%30)
		}
		m.Sites = append(m.Sites, s)
	}
	return m, m.Declared()
}

func BenchmarkPlan(b *testing.B) {
	m, s := largeFleet()
	s = s.Without(m, "s3")
	for b.Loop() {
		Solve(m, s)
	}
}

func TestCheck(t *testing.T) {
	for want, change := range map[string]func(*Model){
		`sites.site[1].name: "a" is missing or there twice`:   func(m *Model) { m.Sites[1].Name = "a" },
		`sites.class[0].places: no site is named "x"`:         func(m *Model) { m.Classes[0].Places = []string{"x"} },
		`sites.link[0].to: no site is named "x"`:              func(m *Model) { m.Links = []Link{{From: "a", To: "x"}} },
		`sites.class[1].floor: 1 of "filing" can't be kept`:   func(m *Model) { m.Classes[1].Floor = 1; m.Sites[0].Demand["filing"] = 900 },
		`sites.reserve: 2, must be from 0 to 0.9`:             func(m *Model) { m.Reserve = 2 },
		`sites.site[0].demand.x: 1; the class is not in`:      func(m *Model) { m.Sites[0].Demand["x"] = 1 },
		`sites.site: at least two are needed`:                 func(m *Model) { m.Sites = m.Sites[:1] },
		`sites.class[0].work: -1, must be positive`:           func(m *Model) { m.Classes[0].Work = -1 },
		`sites.site[2].capacity: -1, must not be negative`:    func(m *Model) { m.Sites[2].Capacity = -1 },
		`sites.cold_share: 7, must be from 0.01 to 1`:         func(m *Model) { m.ColdShare = 7 },
		`sites.link[0]: it leads from a site to itself, or i`: func(m *Model) { m.Links = []Link{{From: "a", To: "a"}} },
	} {
		m := threeSites()
		change(&m)
		if _, err := m.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
	m := threeSites()
	if warnings, err := m.Check(); err != nil || len(warnings) > 0 {
		t.Error(warnings, err)
	}
	m.Sites[0].Members = 5
	m.Classes[1].Places = []string{"b"}
	warnings, err := m.Check()
	if err != nil || len(warnings) != 2 || !strings.Contains(warnings[0], `"a" holds 5 of 8 members`) || !strings.Contains(warnings[1], `with site "b" lost nothing of class "filing"`) {
		t.Error(warnings, err)
	}
}
