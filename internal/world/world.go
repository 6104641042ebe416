// Package world runs a fleet of sites in virtual time: the decision module of every router, the plan's deciders, and
// emulated servers, with scripted losses and clients that come again. Equal inputs give equal days, byte for byte.
package world

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/decide/sites"
	"sumacloft/internal/decide/turn"
	"sumacloft/internal/emu"
)

// Settings are those of a day.
type Settings struct {
	Sites   int
	Routers int // over all sites
	Servers int
	Server  emu.Settings
	Plan    bool // the routers follow a plan; otherwise each finds out by itself
	Broken  sites.Fault
	// Declared is how the plan's capacities compare with the true ones.
	Declared float64
	Phases   []Phase
	Seed     uint64
	Trace    io.Writer // what postures take beside the true load and room, a line each period; nil: nothing is traced
}

// Phase is a time with so much load, as a part of what all servers carry, and with the first site lost or not.
type Phase struct {
	Name string
	For  time.Duration
	Load float64
	Lost bool // its servers and routers
}

// Class is one of the two classes of a day.
type Class struct {
	Name          string
	Aim, Deadline time.Duration
	Worth         float64
	Effect        brain.Effect
	Part          float64 // of the requests
}

// Classes are those of a day: queries and filings.
var Classes = []Class{{"query", time.Second, 3 * time.Second, 3, brain.Safe, 0.6}, {"filing", 1500 * time.Millisecond, 4 * time.Second, 2, brain.Unsafe, 0.4}}

// Second is what became of the requests that were asked first in one second, by class.
type Second struct {
	Asked, InTime, Late, Refused, Failed [2]int
}

// Worth is what was served in time.
func (s Second) Worth() float64 {
	return Classes[0].Worth*float64(s.InTime[0]) + Classes[1].Worth*float64(s.InTime[1])
}

// Day is what came of a day.
type Day struct {
	Seconds  []Second
	Wasted   float64 // work that servers began and nobody had the answer of
	Falls    int
	Postures int
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push serves heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop serves heap.Interface.
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type world struct {
	set     Settings
	rng     *rand.Rand
	now     time.Duration
	queue   events
	seq     int
	routers []*router
	servers []*server
	turns   []int // of routers, where all of them report
	lost    bool  // the first site
	day     Day
	model   sites.Model
	posture *sites.Decision
	reports map[string]sites.Report
	rev     int64
	ids     uint64
	tracing *tracing // nil: nothing is traced
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

// siteOf is the site of the i-th of n.
func (w *world) siteOf(i, n int) int { return i * w.set.Sites / n }

func siteName(i int) string { return fmt.Sprintf("s%d", i+1) }

// Run carries a day.
func Run(set Settings) Day {
	w := &world{set: set, rng: rand.New(rand.NewPCG(set.Seed, 23)), now: time.Hour, reports: map[string]sites.Report{}}
	w.build()
	w.trace()
	zero, at := w.now, time.Duration(0)
	for _, p := range set.Phases {
		w.after(at, func() { w.change(p.Lost) })
		rate := p.Load * set.Server.Capacity() * float64(set.Servers)
		for t := at; ; {
			if t += time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second)); t >= at+p.For {
				break
			}
			c := &client{home: w.rng.IntN(set.Sites), session: 1 + w.rng.Uint64N(uint64(100*set.Routers)), asked: int(t / time.Second)}
			if w.rng.Float64() >= Classes[0].Part {
				c.class = 1
			}
			w.after(t, func() { w.ask(c) })
		}
		at += p.For
	}
	w.day.Seconds = make([]Second, int(at/time.Second)+1)
	for end := zero + at + 8*time.Second; len(w.queue) > 0 && w.queue[0].at < end; {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	for _, s := range w.servers {
		w.day.Falls += s.emu.Falls
		w.day.Wasted += s.emu.Wasted
	}
	return w.day
}

func (w *world) build() {
	set := w.set
	m := sites.Model{}
	per := set.Server.Capacity() * float64(set.Servers/set.Sites)
	for i := range set.Sites {
		m.Sites = append(m.Sites, sites.Site{Name: siteName(i), Capacity: per * set.Declared, Servers: set.Servers / set.Sites, Routers: set.Routers / set.Sites})
	}
	for _, c := range Classes {
		m.Classes = append(m.Classes, sites.Class{Name: c.Name, Worth: c.Worth, Last: c.Effect == brain.Unsafe})
	}
	m.Classes[1].Floor = 0.1
	w.model = m.WithDefaults()
	for i := range set.Servers {
		w.servers = append(w.servers, &server{w: w, id: i, site: w.siteOf(i, set.Servers), emu: emu.New(set.Server, 0), open: map[uint64]*attempt{}})
	}
	var names []string
	for i := range set.Routers {
		names = append(names, fmt.Sprintf("r%04d", i))
	}
	for i := range set.Routers {
		w.turns = append(w.turns, turn.Rank("sites", names[i], names))
		r := &router{w: w, n: i, name: names[i], site: w.siteOf(i, set.Routers)}
		r.start()
		w.routers = append(w.routers, r)
	}
}

// change loses the first site, or has it start again, cold.
func (w *world) change(lost bool) {
	if lost == w.lost {
		return
	}
	w.lost = lost
	for _, s := range w.servers {
		if s.site != 0 {
			continue
		}
		if s.dead = lost; lost {
			w.day.Wasted += float64(len(s.open))
			s.fall()
		} else {
			s.emu, s.life = emu.New(w.set.Server, w.now), s.life+1
		}
	}
	for _, r := range w.routers {
		if r.site != 0 {
			continue
		}
		if r.dead = lost; !lost {
			r.start()
			continue
		}
		for _, q := range r.open { // its clients hear nothing more
			w.day.Seconds[q.client.asked].Failed[q.client.class]++
		}
		clear(r.open)
	}
}
