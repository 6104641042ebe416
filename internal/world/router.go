package world

import (
	"time"

	"sumacloft/brain"
	"sumacloft/internal/decide/sites"
	"sumacloft/internal/fleet/siting"
)

type attempt struct {
	r      *router
	q      *request
	number int
	engine brain.EngineID
	sent   time.Duration
	over   bool
}

// request is one try of a client at a router.
type request struct {
	id     brain.RequestID
	client *client
	came   time.Duration
	outs   []*attempt
	over   bool
	rank   float64
}

// client asks, and comes again once where it was refused.
type client struct {
	class   int
	session uint64
	home    int
	asked   int // second
	tries   int
}

type router struct {
	w       *world
	n       int
	name    string
	site    int
	dead    bool
	life    int
	brain   *brain.Scheduler
	open    map[brain.RequestID]*request
	out     []brain.Action
	meter   *siting.Meter
	decider *sites.Decider
	posture *sites.Decision
	set     brain.Settings
}

// start gives a router a new process.
func (r *router) start() {
	r.life++
	r.set = brain.Settings{Zone: r.site, MaxAttempts: 3, MaxHoldOff: 2 * time.Second, HoldOff: true, Probing: true, Cancelling: true, Step: time.Millisecond,
		Kinds: []brain.Kind{{Role: brain.Mixed, MemoryTokens: 200000}}}
	for _, c := range Classes {
		r.set.Classes = append(r.set.Classes, brain.Class{Aim: c.Aim, Deadline: c.Deadline, Worth: c.Worth, Effect: c.Effect})
	}
	r.brain, r.open, r.meter, r.posture = brain.New(r.set, r.w.set.Seed<<16+uint64(r.n)+uint64(r.life)<<40), map[brain.RequestID]*request{}, siting.NewMeter(), nil
	r.decider = &sites.Decider{Router: r.name, Fault: r.w.set.Broken}
	r.handle(brain.Listed{Kind: brain.ListComplete, Engines: r.engines()})
	r.follow() // as a router does that starts: it reads what is agreed on before it takes anything
	if r.w.set.Plan {
		life := r.life
		r.w.after(time.Duration(r.w.rng.Int64N(int64(r.period()))), func() { r.report(life) })
	}
}

func (r *router) period() time.Duration {
	return time.Duration(r.w.model.ReportMs) * time.Millisecond
}

// engines is the list, which names every server whatever became of it, with the parts of the posture.
func (r *router) engines() []brain.Engine {
	var out []brain.Engine
	per := float64(r.w.set.Servers / r.w.set.Sites)
	for _, s := range r.w.servers {
		e := brain.Engine{ID: brain.EngineID(s.id + 1), Zone: s.site, Weight: 1}
		if p := r.posture; p != nil && len(p.Shares) > 0 {
			for _, c := range Classes {
				e.ClassWeights = append(e.ClassWeights, p.Shares[c.Name][siteName(r.site)][siteName(s.site)]/per)
			}
		}
		out = append(out, e)
	}
	return out
}

// ask has a client ask a router of its site, or of another where those are gone.
func (w *world) ask(c *client) {
	if c.tries++; c.tries == 1 {
		w.day.Seconds[c.asked].Asked[c.class]++
	}
	w.count(func(t *tracing) {
		t.came[c.class]++
		if c.tries > 1 {
			t.again[c.class]++
		}
	})
	site := c.home
	if w.lost && site == 0 {
		site = 1 + w.rng.IntN(w.set.Sites-1)
	}
	per := w.set.Routers / w.set.Sites
	r := w.routers[site*per+w.rng.IntN(per)]
	w.ids++
	q := &request{id: brain.RequestID(w.ids), client: c, came: w.now}
	r.open[q.id] = q
	if w.set.Plan {
		q.rank = r.meter.Arrived(Classes[c.class].Name, c.session)
	}
	r.handle(brain.Arrived{Request: q.id, Class: c.class, Session: c.session, PromptTokens: 200, MaxTokens: 100, Timeout: Classes[c.class].Deadline, Rank: q.rank})
}

// handle hands the module an event and carries out what it answers.
func (r *router) handle(ev brain.Event) {
	if r.dead {
		return
	}
	r.out = r.brain.Handle(r.w.now, ev, nil)
	life := r.life
	later := func(d time.Duration, ev brain.Event) {
		r.w.after(d, func() {
			if r.life == life {
				r.handle(ev)
			}
		})
	}
	for _, action := range r.out {
		switch a := action.(type) {
		case brain.SetTimer:
			later(max(a.At-r.w.now, 0), brain.TimerFired{Key: a.Key})
		case brain.Send:
			r.send(a)
		case brain.Cancel:
			if q := r.open[a.Request]; q != nil && a.Attempt < len(q.outs) && !q.outs[a.Attempt].over {
				q.outs[a.Attempt].over = true
				later(time.Millisecond, brain.Ended{Request: a.Request, Attempt: a.Attempt, Engine: q.outs[a.Attempt].engine, Result: brain.Cancelled, Took: r.w.now - q.outs[a.Attempt].sent})
			}
		case brain.Refuse:
			if q := r.open[a.Request]; q != nil {
				r.refuse(q, a.HoldOff)
			}
		case brain.Fail:
			if q := r.open[a.Request]; q != nil {
				r.end(q, func(s *Second) { s.Failed[q.client.class]++ })
			}
		case brain.Probe:
			s := r.w.servers[a.Engine-1]
			if s.away() {
				later(time.Millisecond, brain.Probed{Engine: a.Engine, Result: brain.ConnectFailed, Took: time.Millisecond})
			} else {
				later(2*r.w.link(r.site, s.site), brain.Probed{Engine: a.Engine, Result: brain.Served, Took: 2 * r.w.link(r.site, s.site)})
			}
		}
	}
}

// link is how long a message takes between two sites.
func (w *world) link(a, b int) time.Duration {
	if a == b {
		return time.Millisecond / 2
	}
	return 5 * time.Millisecond
}

func (r *router) end(q *request, count func(*Second)) {
	if q.over {
		return
	}
	q.over = true
	delete(r.open, q.id)
	count(&r.w.day.Seconds[q.client.asked])
}

// refuse tells a client to come again; it does once.
func (r *router) refuse(q *request, holdOff time.Duration) {
	c := q.client
	if r.w.set.Plan {
		if q.rank < r.posture.Admitted(Classes[c.class].Name, siteName(r.site)) {
			r.meter.Observe(siteName(r.site), func(s *sites.Observation) { s.Rejected++ })
			r.w.count(func(t *tracing) { t.turned++ })
		}
	}
	if c.tries >= 2 || holdOff <= 0 {
		r.end(q, func(s *Second) { s.Refused[c.class]++ })
		return
	}
	r.end(q, func(*Second) {})
	r.w.after(holdOff, func() { r.w.ask(c) })
}

func (r *router) send(a brain.Send) {
	q := r.open[a.Request]
	if q == nil {
		return
	}
	s := r.w.servers[a.Engine-1]
	at := &attempt{r: r, q: q, number: len(q.outs), engine: a.Engine, sent: r.w.now}
	q.outs = append(q.outs, at)
	r.w.after(r.w.link(r.site, s.site), func() { s.take(at) })
}

// finish tells an attempt's router how it ended.
func (w *world) finish(s *server, at *attempt, result brain.Result) {
	life := at.r.life
	w.after(w.link(at.r.site, s.site), func() {
		if at.r.life != life || at.r.dead {
			return
		}
		took, q := w.now-at.sent, at.q
		if at.over { // called off: what it did is lost
			if result == brain.Served {
				w.day.Wasted++
			}
			return
		}
		at.over = true
		inTime := result == brain.Served && w.now-q.came <= Classes[q.client.class].Aim
		if w.set.Plan && result != brain.Full {
			at.r.meter.Tried(siteName(s.site), result == brain.Served, inTime, q.client.session)
		}
		if result == brain.Served {
			w.count(func(t *tracing) {
				if t.served++; !inTime {
					t.late++
				}
			})
			if q.over {
				w.day.Wasted++
			}
			at.r.end(q, func(sec *Second) {
				if inTime {
					sec.InTime[q.client.class]++
				} else {
					sec.Late[q.client.class]++
				}
			})
			at.r.handle(brain.Started{Request: q.id, Attempt: at.number, Engine: at.engine, Took: took})
		}
		at.r.handle(brain.Ended{Request: q.id, Attempt: at.number, Engine: at.engine, Result: result, Took: took, Last: result == brain.Served})
	})
}
