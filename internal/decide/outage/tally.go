package outage

import (
	"iter"
	"math"
	"reflect"
)

// votes counts what the reports say about one server.
type votes struct {
	listed, draining, probed, answering, silent int
	first                                       process // the process that was reported first
	others                                      []process
}

// process is one start of a server, with the number of reports that name it.
type process struct {
	boot, label   string
	reports, last int // last is the index of the last report that names it
}

// addProcess records that n reports name a process, the last of them at index last.
func (v *votes) addProcess(s Observation, n, last int) {
	if v.first.reports == 0 || v.first.boot == s.Boot && v.first.label == s.Label {
		v.first = process{s.Boot, s.Label, v.first.reports + n, max(v.first.last, last)}
		return
	}
	for i := range v.others {
		if o := &v.others[i]; o.boot == s.Boot && o.label == s.Label {
			o.reports, o.last = o.reports+n, max(o.last, last)
			return
		}
	}
	v.others = append(v.others, process{s.Boot, s.Label, n, last})
}

// majority returns the process that most reports name; among equals the one whose last report comes first. The last
// report of it supplies the server's other attributes.
func (v *votes) majority() process {
	best := v.first
	for _, o := range v.others {
		if o.reports > best.reports || o.reports == best.reports && o.last < best.last {
			best = o
		}
	}
	return best
}

// sharedTable is a table of observations shared by several reports that were gathered together.
type sharedTable struct {
	table     map[string]Observation
	reports   []int
	awake     int             // how many of these are from routers that were not suspended
	differing map[string]bool // servers that some of the reports observe differently
}

// add counts n reports with the same observation of a server. awake of them are from routers that were not suspended,
// and last is the index of the last one.
func (v *votes) add(s Observation, m Model, n, awake, last int) {
	v.listed += n
	if s.Draining {
		v.draining += n
	}
	if s.Probed {
		v.probed += awake
		if s.SilentMs == 0 {
			v.answering += awake
		} else if s.SilentMs >= m.LostMs {
			v.silent += awake
		}
	}
	v.addProcess(s, n, last)
}

// countVotes counts the reports' observations by server, and returns the number of servers. Each shared table is
// iterated once, however many reports share it: with a thousand routers and two thousand servers, lookups by name would
// take most of a decision's time.
func countVotes(reports []Report, m Model) (int, iter.Seq2[string, *votes]) {
	most := 0
	for _, r := range reports {
		most = max(most, len(r.Observed), len(r.Table))
	}
	index, tallies := make(map[string]int, most), make([]votes, 0, most)
	votesFor := func(id string) *votes {
		i, ok := index[id]
		if !ok {
			i = len(tallies)
			index[id] = i
			tallies = append(tallies, votes{})
		}
		return &tallies[i]
	}
	addOne := func(i int, id string, s Observation) {
		awake := 1
		if reports[i].Stopped {
			awake = 0
		}
		votesFor(id).add(s, m, 1, awake, i)
	}
	var tables []*sharedTable
	byPointer := map[uintptr]*sharedTable{}
	for i, r := range reports {
		if len(r.Table) == 0 {
			for id, s := range r.Observed {
				addOne(i, id, s)
			}
			continue
		}
		p := reflect.ValueOf(r.Table).Pointer()
		shared := byPointer[p]
		if shared == nil {
			shared = &sharedTable{table: r.Table, differing: map[string]bool{}}
			byPointer[p] = shared
			tables = append(tables, shared)
		}
		if shared.reports = append(shared.reports, i); !r.Stopped {
			shared.awake++
		}
		for id := range r.Observed {
			shared.differing[id] = true
		}
		for _, id := range r.Absent {
			shared.differing[id] = true
		}
	}
	for _, shared := range tables {
		for id, s := range shared.table {
			if !shared.differing[id] {
				votesFor(id).add(s, m, len(shared.reports), shared.awake, shared.reports[len(shared.reports)-1])
			}
		}
		for id := range shared.differing {
			for _, i := range shared.reports {
				if s, ok := reports[i].Observation(id); ok {
					addOne(i, id, s)
				}
			}
		}
	}
	return len(tallies), func(yield func(string, *votes) bool) {
		for id, i := range index {
			if !yield(id, &tallies[i]) {
				return
			}
		}
	}
}

// fleetTotals are the totals that bounds refer to. They stay the same during a step.
type fleetTotals struct {
	site, role map[string]int
	weight     float64
}

func (f fleetStatus) totals() *fleetTotals {
	s := &fleetTotals{site: map[string]int{}, role: map[string]int{}}
	for _, server := range f.servers {
		s.site[server.Site]++
		s.role[server.Role]++
		s.weight += server.Weight
	}
	return s
}

// outCounts counts the members out at one moment of a step, with a permit or without.
type outCounts struct {
	servers, routers int
	site, role       map[string]int
	weight           float64 // of the servers
}

// outOfService counts the members out. The result is cached until the next permit is granted.
func (d *draft) outOfService() *outCounts {
	if d.outCache != nil {
		return d.outCache
	}
	counts := &outCounts{site: map[string]int{}, role: map[string]int{}}
	add := func(member, site, role string, counted bool) {
		kind, id := Split(member)
		if kind == Server {
			counts.weight += d.fleet.servers[id].Weight
		}
		switch {
		case !counted:
		case kind == Server:
			counts.servers++
			counts.site[site]++
			counts.role[role]++
		default:
			counts.routers++
		}
	}
	for member, p := range d.Permits {
		add(member, p.Site, p.Role, d.broken != CountsReleasesOnly || p.For != ByHand)
	}
	for member, l := range d.Lost {
		if _, permitted := d.Permits[member]; !permitted {
			add(member, l.Site, l.Role, d.broken != CountsReleasesOnly)
		}
	}
	d.outCache = counts
	return counts
}

// reservedWeight is the weight of the leaving servers that reserve a place against another member and are not counted as
// out.
func (d *draft) reservedWeight(other string) (weight float64) {
	for member := range d.Leaving {
		_, out := d.Permits[member]
		if _, lost := d.Lost[member]; !out && !lost && d.reserves(member, other) {
			weight += d.fleet.servers[memberName(member)].Weight
		}
	}
	return weight
}

// oldestSeq returns the oldest state that a router follows which is live or serves without its lease. It is the lowest
// number if one of them has not reported.
func (d *draft) oldestSeq() int64 {
	if d.oldestCache != nil {
		return *d.oldestCache
	}
	seq := int64(math.MaxInt64)
	for name, r := range d.view.Routers {
		if !r.Live && !r.ServesWithoutLease {
			continue
		}
		if report := d.fleet.lastReports[name]; report.Boot == r.Boot {
			seq = min(seq, report.StateSeq)
		} else {
			seq = math.MinInt64
		}
	}
	d.oldestCache = &seq
	return seq
}
