package reuse

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/decide/outage"
	decide "sumacloft/internal/decide/reuse"
)

// ReleaseSettings are a release of the servers of the first region, one after another, in the middle of a day. Servers keep what was used
// last and can't be told to hold anything; copies only tell where requests go.
type ReleaseSettings struct {
	Settings
	Servers int           // of each region
	Wait    time.Duration // for copies, before each is let out; 0: none
	Within  float64       // tokens a second between servers of one region
	Down    time.Duration // how long each is away
	Begins  time.Duration // 0: there is no release
}

// StandardRelease is a release that begins after three minutes, of four servers in each region that are away for 20 s each; six minutes
// are counted from its beginning on.
func StandardRelease(seed uint64, drift Drift, wait time.Duration) ReleaseSettings {
	s := ReleaseSettings{Settings: Standard(seed, drift, Decided), Servers: 4, Wait: wait, Within: 100_000, Down: 20 * time.Second, Begins: 3 * time.Minute}
	s.Warm, s.For = 3*time.Minute, 6*time.Minute
	return s
}

// Released is what came of one.
type Released struct {
	Read     float64 // tokens that requests of the region had read, of openings and of what sessions had
	Openings float64 // of these: of openings
	Moved    float64 // tokens that were copied for the sake of servers that left
	Copies   int     // how many copies that were, and of these that did not arrive before the server went
	Late     int
	Took     time.Duration // from the beginning to the end; 0: it did not end
	Faults   []string      // that the auditors found
}

// host is a server.
type host struct {
	name, label   string
	region, boots int
	up            bool
	downAt        time.Duration
	mem           *memory
}

type release struct {
	set      ReleaseSettings
	now      time.Duration
	hosts    []*host
	list     [Regions][]brain.EngineID
	at       map[decide.Key]*host // of sessions
	model    decide.Model
	copier   *decide.Decider
	state    *decide.State
	audit    decide.Auditor
	meters   [Regions][routers]*decide.Meter
	words    [Regions][]decide.CopyStatus
	near     [Regions]map[decide.Key]decide.Copy
	way      []*send
	of       map[int64]decide.Copy
	link     [Regions][Regions]time.Duration
	budget   outage.Model
	decider  *outage.Decider
	out      *outage.State
	outAudit outage.Auditor
	waits    outage.CopyWaits
	rev      int64
	day      Released
}

// Release carries one out.
func Release(set ReleaseSettings) Released {
	turns, _ := draw(set.Settings)
	r := &release{set: set, at: map[decide.Key]*host{}, of: map[int64]decide.Copy{}, copier: &decide.Decider{Router: "r", Fault: set.Broken}, decider: &outage.Decider{Router: "r"}, model: set.Model}
	r.budget = outage.Model{Workers: 1, ReportMs: 500, WarmMs: 5000, PauseMs: 5000, CopyWaitMs: float64(set.Wait / time.Millisecond)}
	r.outAudit.Model = func(int64) (outage.Model, bool) { return r.budget, true }
	r.waits.LimitMs = r.budget.CopyWaitMs + 500
	r.audit.Regions = map[string]string{}
	for a := range Regions {
		r.near[a] = map[decide.Key]decide.Copy{}
		r.model.Regions = append(r.model.Regions, decide.Region{Name: name(a), Memory: float64(set.Memory)})
		for b := range Regions {
			rate := set.Link
			if a == b {
				rate = set.Within
			}
			r.model.Links = append(r.model.Links, decide.Link{From: name(a), To: name(b), Rate: rate, Price: set.Price})
		}
		for range set.Servers {
			id := fmt.Sprint("s", len(r.hosts))
			r.hosts = append(r.hosts, &host{name: id, label: "v1", region: a, boots: 1, up: true, mem: newMemory(set.Memory / set.Servers)})
			r.audit.Regions[id] = name(a)
		}
		for i := range routers {
			r.meters[a][i] = decide.NewMeter(2 * float64(set.Memory))
		}
	}
	r.audit.Model = r.model
	step, next := 100*time.Millisecond, 0
	for r.now = 0; r.now < set.Warm+set.For; r.now += step {
		r.arrive()
		if r.now%(500*time.Millisecond) == 0 {
			r.decide()
		}
		if r.now%time.Second == 0 {
			r.second()
		}
		for next < len(turns) && turns[next].at < r.now+step {
			r.serve(turns[next])
			next++
		}
	}
	r.day.Faults = slices.Concat(r.audit.Violations, r.outAudit.Faults, r.waits.Faults)
	return r.day
}

// drains tells whether a server takes nothing new.
func (r *release) drains(h *host) bool {
	if r.out == nil {
		return false
	}
	p, out := r.out.Permits[outage.ID(outage.Server, h.name)]
	return out && p.Stage != outage.Returning
}

func (r *release) named(name string) *host {
	for _, h := range r.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// home is where requests of a region with an opening go by themselves, among those that are named.
func home(k decide.Key, names []string) string {
	ids, of := make([]brain.EngineID, 0, len(names)), map[brain.EngineID]string{}
	for _, n := range names {
		id := brain.EngineID(1)
		for _, b := range []byte(n) {
			id = id*257 + brain.EngineID(b)
		}
		ids, of[id] = append(ids, id), n
	}
	return of[brain.Home(uint64(k), ids)]
}

// serve reads what of a request is not kept: where its session is, or where its opening is held, or at its home.
func (r *release) serve(t turn) {
	h := r.at[t.session]
	if h != nil && (!h.up || r.drains(h)) {
		h = nil
	}
	c, held := r.near[t.region][t.opening]
	if on := r.named(c.Server); h == nil && held && on != nil && on.up && !r.drains(on) {
		h = on
	}
	if h == nil {
		var names []string
		for _, one := range r.hosts {
			if one.region == t.region && one.up && !r.drains(one) {
				names = append(names, one.name)
			}
		}
		h = r.named(home(t.opening, names))
	}
	miss, again := t.tokens-h.mem.use(t.opening, t.tokens), 0
	if t.had > 0 {
		again = t.had - min(h.mem.use(t.session, t.had), t.had)
	}
	h.mem.use(t.session, t.had+t.adds)
	r.at[t.session] = h
	m := r.meters[t.region][t.router]
	m.Use(t.opening, t.tokens, t.at)
	m.UseSession(t.session, t.had+t.adds, t.at)
	if held && c.Server == h.name {
		r.words[t.region] = append(r.words[t.region], decide.CopyStatus{ID: c.ID, Hits: 1, Lost: miss > 0})
	}
	if t.region == 0 && t.at >= r.set.Warm {
		r.day.Read += float64(miss + again)
		r.day.Openings += float64(miss)
	}
}

// arrive has copies arrive whose time has come; one whose servers have gone does not.
func (r *release) arrive() {
	r.way = slices.DeleteFunc(r.way, func(s *send) bool {
		c := r.of[s.id]
		to, from := r.named(c.Server), r.named(cmp.Or(c.DrainServer, c.Server))
		if there := to.up && from.up && !r.drains(from); !there || s.arrives <= r.now {
			if there {
				to.mem.use(s.key, s.tokens)
			} else if c.DrainServer != "" {
				r.day.Late++
			}
			r.words[s.from] = append(r.words[s.from], decide.CopyStatus{ID: s.id, Arrived: there, Lost: !there})
			return true
		}
		return false
	})
}

// second has the copies' decider step, and its orders carried out.
func (r *release) second() {
	var reports []decide.Report
	for a := range Regions {
		var samples []decide.Sample
		for _, m := range r.meters[a] {
			samples = append(samples, m.TakeSample(r.now))
		}
		for i, m := range r.meters[a] {
			for _, s := range samples {
				m.AddSample(s, r.now, 0)
			}
			r.rev++
			one := decide.Report{Router: fmt.Sprint(name(a), "-", i), Region: name(a), Curve: m.Curve(), Rate: m.Rate(), Hot: m.Hot(r.now), Rev: r.rev}
			if i == 0 {
				one.Copies, r.words[a] = r.words[a], nil
			}
			reports = append(reports, one)
		}
	}
	v := decide.View{Model: r.model, Last: r.state, Reports: reports, Home: home}
	for _, h := range r.hosts {
		if h.up {
			v.Servers = append(v.Servers, decide.Server{ID: h.name, Region: name(h.region), Boot: fmt.Sprint(h.boots), Draining: r.drains(h)})
		}
	}
	if r.out != nil && r.set.Wait > 0 {
		v.OutageSeq = r.out.Seq
		for thing, l := range r.out.Leaving {
			_, server := outage.Split(thing)
			v.Drains = append(v.Drains, decide.Drain{Server: server, Epoch: l.Turn, LeftMs: r.budget.CopyWaitMs - l.WaitMs})
		}
		for thing, p := range r.out.Permits {
			if _, server := outage.Split(thing); p.Stage != outage.Returning {
				v.Drains = append(v.Drains, decide.Drain{Server: server, Epoch: p.Seq})
			}
		}
	}
	next := r.copier.Next(v, r.now+time.Hour)
	if next == nil {
		return
	}
	r.state = next
	r.audit.Observe(next)
	for a := range Regions {
		clear(r.near[a])
	}
	stands := map[int64]bool{}
	for _, c := range next.Copies {
		stands[c.ID] = true
		from, to := slices.Index(regionNames, c.From), slices.Index(regionNames, c.To)
		if c.Phase == decide.Present {
			r.near[to][c.Prefix] = c
		}
		if _, known := r.of[c.ID]; known {
			continue
		}
		r.of[c.ID] = c
		rate := r.set.Link
		if from == to {
			rate = r.set.Within
		}
		r.link[from][to] = max(r.link[from][to], r.now) + time.Duration(float64(c.Tokens)/rate*float64(time.Second))
		r.way = append(r.way, &send{id: c.ID, key: c.Prefix, tokens: c.Tokens, from: from, arrives: r.link[from][to] + 20*time.Millisecond})
		if c.DrainServer != "" {
			r.day.Moved += float64(c.Tokens)
			r.day.Copies++
		}
	}
	r.way = slices.DeleteFunc(r.way, func(s *send) bool { return !stands[s.id] })
}

var regionNames = []string{name(0), name(1), name(2)}

// decide has the decider of outages step, and the deployer follow its permits.
func (r *release) decide() {
	r.waits.Advance(float64(r.now / time.Millisecond))
	v := outage.View{Model: r.budget, Version: 1, Last: r.out, Routers: map[string]outage.Registration{"r": {Boot: "1", Label: "v1", Live: true}}}
	r.rev++
	report := outage.Report{Router: "r", Boot: "1", Rev: r.rev, Copies: true, Observed: map[string]outage.Observation{}}
	if r.out != nil {
		report.StateSeq = r.out.Seq
	}
	for _, h := range r.hosts {
		one := outage.Observation{Site: name(h.region), Role: "chat", Label: h.label, Boot: fmt.Sprint(h.boots), Probed: true}
		if !h.up {
			one.SilentMs = float64((r.now - h.downAt) / time.Millisecond)
		}
		report.Observed[h.name] = one
	}
	v.Reports = []outage.Report{report}
	if r.state != nil {
		v.CopiesDone = r.state.CopiesDone()
	}
	next := r.decider.Next(v, r.now+time.Hour)
	if next == nil && r.set.Begins > 0 && r.now == r.set.Begins {
		next, _ = v.Start(outage.Spec{Name: "v2", Kind: outage.Server, To: "v2", Sites: []string{name(0)}, Waves: []float64{1}}, "op")
	}
	if next != nil {
		r.rev++
		next.Rev, r.out = r.rev, next
		r.outAudit.Check(next)
		r.waits.Check(next, float64(r.now/time.Millisecond))
	}
	if r.out == nil {
		return
	}
	if rel := r.out.Release; rel != nil && rel.Phase == outage.Done && r.day.Took == 0 {
		r.day.Took = r.now - r.set.Begins
	}
	for _, h := range r.hosts {
		p, out := r.out.Permits[outage.ID(outage.Server, h.name)]
		switch {
		case !out || p.Stage != outage.Acknowledged:
		case h.up && fmt.Sprint(h.boots) == p.Boot:
			h.up, h.downAt, h.mem = false, r.now, newMemory(r.set.Memory/r.set.Servers)
		case !h.up && r.now-h.downAt >= r.set.Down:
			h.up, h.label = true, p.To
			h.boots++
		}
	}
}
