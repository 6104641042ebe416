package reuse

import (
	"fmt"
	"time"

	decide "sumacloft/internal/decide/reuse"
)

// fleet runs the decider as in service: routers report each second, whoever decides sees the reports of those that are not cut
// off, copies are sent as the state orders, held while it has them.
type fleet struct {
	w       *world
	model   decide.Model
	decider *decide.Decider
	meters  [Regions][routers]*decide.Meter
	words   [Regions][routers][]decide.CopyStatus
	state   *decide.State
	known   map[int64]decide.Copy
	held    [Regions]map[decide.Key]int64
	rev     int64
	back    time.Duration // when the cut region was reached again
}

func name(r int) string { return fmt.Sprintf("z%d", r) }

func newFleet(w *world) *fleet {
	f := &fleet{w: w, model: w.set.Model, decider: &decide.Decider{Router: "r", Fault: w.set.Broken}, known: map[int64]decide.Copy{}}
	for r := range Regions {
		f.model.Regions = append(f.model.Regions, decide.Region{Name: name(r), Memory: float64(w.set.Memory)})
		f.held[r] = map[decide.Key]int64{}
		for o := range Regions {
			if o != r {
				f.model.Links = append(f.model.Links, decide.Link{From: name(r), To: name(o), Rate: w.set.Link, Price: w.set.Price})
			}
		}
		for i := range routers {
			f.meters[r][i] = decide.NewMeter(2 * float64(w.set.Memory))
		}
	}
	f.model.HoldOwn = w.set.Policy == Owning
	f.model = f.model.WithDefaults()
	return f
}

// used counts a request at its router: the opening, and what its session had, which takes room as openings do.
func (f *fleet) used(t turn, held bool) {
	m := f.meters[t.region][t.router]
	m.Use(t.opening, t.tokens, t.at)
	m.UseSession(t.session, t.had+t.adds, t.at)
	if id, ours := f.held[t.region][t.opening]; ours && held {
		f.say(t.region, t.router, decide.CopyStatus{ID: id, Hits: 1})
	}
}

func (f *fleet) say(region, router int, w decide.CopyStatus) {
	list := f.words[region][router]
	for i := range list {
		if list[i].ID == w.ID {
			list[i].Hits += w.Hits
			list[i].Arrived, list[i].Lost = list[i].Arrived || w.Arrived, list[i].Lost || w.Lost
			return
		}
	}
	f.words[region][router] = append(list, w)
}

// here has a copy that arrived held, if it still stands.
func (f *fleet) here(s *send) {
	if _, known := f.known[s.id]; known {
		f.w.mem[s.to].hold(s.key, true)
		f.held[s.to][s.key] = s.id
		f.say(s.to, 0, decide.CopyStatus{ID: s.id, Arrived: true})
	}
}

func (f *fleet) gone(s *send) { f.say(s.from, 0, decide.CopyStatus{ID: s.id, Lost: true}) }

// second is one period: reports, a decision, and what it orders.
func (f *fleet) second() {
	w := f.w
	cut := func(r int) bool { return w.cut && r == Regions-1 }
	var reports []decide.Report
	for r := range Regions {
		var samples []decide.Sample
		for i := range routers {
			samples = append(samples, f.meters[r][i].TakeSample(w.now))
		}
		for i, m := range f.meters[r] {
			for _, s := range samples {
				m.AddSample(s, w.now, 0)
			}
			f.rev++
			if !cut(r) {
				reports = append(reports, decide.Report{Router: fmt.Sprint(name(r), "-", i), Region: name(r), Curve: m.Curve(), Rate: m.Rate(), Hot: m.Hot(w.now), Copies: f.words[r][i], Rev: f.rev})
				f.words[r][i] = nil
			}
		}
	}
	conditions := map[string]decide.Condition{}
	if w.cut {
		conditions[name(Regions-1)], f.back = decide.Lost, w.now
	} else if f.back > 0 && w.now < f.back+30*time.Second {
		conditions[name(Regions-1)] = decide.Returning
	}
	var servers []decide.Server
	for r := range Regions {
		servers = append(servers, decide.Server{ID: name(r) + "-s", Region: name(r), Boot: "1"})
	}
	next := f.decider.Next(decide.View{Model: f.model, Last: f.state, Reports: reports, Servers: servers, Conditions: conditions}, w.now+time.Hour)
	if next == nil {
		return
	}
	f.state = next
	f.follow()
}

// follow carries a state out.
func (f *fleet) follow() {
	w := f.w
	there := map[int64]bool{}
	for _, c := range f.state.Copies {
		there[c.ID] = true
		if _, known := f.known[c.ID]; known {
			continue
		}
		f.known[c.ID] = c
		from, to := f.region(c.From), f.region(c.To)
		if w.mem[to].has(c.Prefix) { // nothing is to be sent
			f.here(&send{id: c.ID, key: c.Prefix, to: to})
			continue
		}
		if c.From == "" || !w.mem[from].has(c.Prefix) || !w.send(c.ID, c.Prefix, c.Tokens, from, to) {
			f.say(max(from, 0), 0, decide.CopyStatus{ID: c.ID, Lost: true})
		}
	}
	w.heldNow = len(f.state.Copies)
	w.day.Most = max(w.day.Most, w.heldNow)
	for id, c := range f.known {
		if there[id] {
			continue
		}
		delete(f.known, id)
		if to := f.region(c.To); f.held[to][c.Prefix] == id {
			delete(f.held[to], c.Prefix)
			w.mem[to].hold(c.Prefix, false)
		}
		for _, s := range w.way {
			s.abandoned = s.abandoned || s.id == id
		}
	}
}

func (f *fleet) region(of string) int {
	for r := range Regions {
		if name(r) == of {
			return r
		}
	}
	return -1
}

// future knows all uses that come. As an opening is about to be used in a region that has it not while another has, it is sent
// just in time, the earliest first, over links of the same rate, all of which it may use, not half as the decider. What it pushes
// out the read would have pushed out too, so that no copy costs reads elsewhere: but for the links' rate it saves every read of
// an opening that is kept in another region. It holds nothing, so it is a bound in practice and not a proven optimum.
type future struct {
	turns []turn
	at    int
	sent  map[decide.Key][Regions]time.Duration
}

func newFuture(turns []turn) *future {
	return &future{turns: turns, sent: map[decide.Key][Regions]time.Duration{}}
}

// ahead is how far it looks.
const ahead = 8 * time.Second

func (f *future) look(w *world) {
	for f.at < len(f.turns) && f.turns[f.at].at < w.now {
		f.at++
	}
	for _, t := range f.turns[f.at:] {
		if t.at > w.now+ahead {
			break
		}
		sent := f.sent[t.opening]
		if w.mem[t.region].has(t.opening) || (sent[t.region] > 0 && sent[t.region] > w.now-2*ahead) {
			continue
		}
		best := -1
		for r := range w.mem {
			if r != t.region && w.mem[r].has(t.opening) && (best < 0 || w.link[r][t.region] < w.link[best][t.region]) {
				best = r
			}
		}
		took := time.Duration(float64(t.tokens) / w.set.Link * float64(time.Second))
		if best < 0 || w.queue(best, t.region)+took+100*time.Millisecond > t.at-w.now {
			continue
		}
		if w.send(0, t.opening, t.tokens, best, t.region) {
			sent[t.region] = w.now
			f.sent[t.opening] = sent
		}
	}
}
