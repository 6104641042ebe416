package outage

import (
	"iter"
	"math"
	"reflect"
)

// votes is what the routers say of one server.
type votes struct {
	listed, draining, probed, answering, silent int
	first                                       process // what most say who began with it
	others                                      []process
}

// process is a process of a server, and how many reports name it.
type process struct {
	boot, label   string
	reports, last int // last is the report that named it last
}

// addProcess notes that n reports name a process, the last of them at a place.
func (t *votes) addProcess(s Observation, n, last int) {
	if t.first.reports == 0 || t.first.boot == s.Boot && t.first.label == s.Label {
		t.first = process{s.Boot, s.Label, t.first.reports + n, max(t.first.last, last)}
		return
	}
	for i := range t.others {
		if o := &t.others[i]; o.boot == s.Boot && o.label == s.Label {
			o.reports, o.last = o.reports+n, max(o.last, last)
			return
		}
	}
	t.others = append(t.others, process{s.Boot, s.Label, n, last})
}

// majority is the process that most name, of equals the one that came to its number first; the last report of it is taken at its word for
// what the server is.
func (t *votes) majority() process {
	best := t.first
	for _, o := range t.others {
		if o.reports > best.reports || o.reports == best.reports && o.last < best.last {
			best = o
		}
	}
	return best
}

// sharedTable are reports that share a table of sights, as those do that were gathered.
type sharedTable struct {
	table     map[string]Observation
	reports   []int
	awake     int             // of these, of routers that were not halted
	differing map[string]bool // servers that some of them see differently
}

// add counts what some reports say of one server: so many of them, those heard, the last one.
func (t *votes) add(s Observation, m Model, n, heard, last int) {
	t.listed += n
	if s.Draining {
		t.draining += n
	}
	if s.Probed {
		t.probed += heard
		if s.SilentMs == 0 {
			t.answering += heard
		} else if s.SilentMs >= m.LostMs {
			t.silent += heard
		}
	}
	t.addProcess(s, n, last)
}

// countVotes counts what reports say, server by server, and tells how many there are. Each table of sights is read once, from its beginning to its end, however
// many reports share it: with a thousand routers and two thousand servers looking names up would be most of a decision.
func countVotes(reports []Report, m Model) (int, iter.Seq2[string, *votes]) {
	most := 0
	for _, r := range reports {
		most = max(most, len(r.Observed), len(r.Table))
	}
	index, tallies := make(map[string]int, most), make([]votes, 0, most)
	at := func(id string) *votes {
		i, is := index[id]
		if !is {
			i = len(tallies)
			index[id] = i
			tallies = append(tallies, votes{})
		}
		return &tallies[i]
	}
	one := func(i int, id string, s Observation) {
		heard := 1
		if reports[i].Stopped {
			heard = 0
		}
		at(id).add(s, m, 1, heard, i)
	}
	var all []*sharedTable
	known := map[uintptr]*sharedTable{}
	for i, r := range reports {
		if len(r.Table) == 0 {
			for id, s := range r.Observed {
				one(i, id, s)
			}
			continue
		}
		p := reflect.ValueOf(r.Table).Pointer()
		k := known[p]
		if k == nil {
			k = &sharedTable{table: r.Table, differing: map[string]bool{}}
			known[p] = k
			all = append(all, k)
		}
		if k.reports = append(k.reports, i); !r.Stopped {
			k.awake++
		}
		for id := range r.Observed {
			k.differing[id] = true
		}
		for _, id := range r.Absent {
			k.differing[id] = true
		}
	}
	for _, k := range all {
		for id, s := range k.table {
			if !k.differing[id] {
				at(id).add(s, m, len(k.reports), k.awake, k.reports[len(k.reports)-1])
			}
		}
		for id := range k.differing {
			for _, i := range k.reports {
				if s, is := reports[i].Observation(id); is {
					one(i, id, s)
				}
			}
		}
	}
	return len(tallies), func(yield func(string, *votes) bool) {
		for id, at := range index {
			if !yield(id, &tallies[at]) {
				return
			}
		}
	}
}

// fleetTotals is what the servers are that a budget is counted against; it stays the same through a step.
type fleetTotals struct {
	site, role map[string]int
	weight     float64
}

func (f fleetStatus) totals() *fleetTotals {
	s := &fleetTotals{site: map[string]int{}, role: map[string]int{}}
	for _, one := range f.servers {
		s.site[one.Site]++
		s.role[one.Role]++
		s.weight += one.Weight
	}
	return s
}

// outCounts is what is out at one moment of a step, by permit or without.
type outCounts struct {
	servers, routers int
	site, role       map[string]int
	weight           float64 // of servers
}

// outOfService counts what is out, once until the next permit is given.
func (w *draft) outOfService() *outCounts {
	if w.outCache != nil {
		return w.outCache
	}
	g := &outCounts{site: map[string]int{}, role: map[string]int{}}
	add := func(thing, site, role string, counts bool) {
		kind, id := Split(thing)
		if kind == Server {
			g.weight += w.fleet.servers[id].Weight
		}
		switch {
		case !counts:
		case kind == Server:
			g.servers++
			g.site[site]++
			g.role[role]++
		default:
			g.routers++
		}
	}
	for thing, p := range w.Permits {
		add(thing, p.Site, p.Role, w.broken != CountsReleasesOnly || p.For != ByHand)
	}
	for thing, l := range w.Lost {
		if _, both := w.Permits[thing]; !both {
			add(thing, l.Site, l.Role, w.broken != CountsReleasesOnly)
		}
	}
	w.outCache = g
	return g
}

// reservedWeight is the weight of those that keep their places beside a thing, and are not counted as out.
func (w *draft) reservedWeight(beside string) (weight float64) {
	for thing := range w.Leaving {
		_, out := w.Permits[thing]
		if _, lost := w.Lost[thing]; !out && !lost && w.reserves(thing, beside) {
			weight += w.fleet.servers[memberName(thing)].Weight
		}
	}
	return weight
}

// oldestSeq is the oldest state that any router follows which is alive or goes on serving; below all where one has not reported.
func (w *draft) oldestSeq() int64 {
	if w.oldestCache != nil {
		return *w.oldestCache
	}
	seq := int64(math.MaxInt64)
	for name, r := range w.view.Routers {
		if !r.Live && !r.ServesWithoutLease {
			continue
		}
		if report := w.fleet.reported[name]; report.Boot == r.Boot {
			seq = min(seq, report.StateSeq)
		} else {
			seq = math.MinInt64
		}
	}
	w.oldestCache = &seq
	return seq
}
