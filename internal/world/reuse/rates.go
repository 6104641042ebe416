package reuse

import (
	"time"

	decide "sumacloft/internal/decide/reuse"
)

// rates knows how often each opening is asked for in each region by now, but not when: at once of one that comes, ends or moves.
// It holds what is used for more than one visit in 100 s and has come from another region, within no bound but that, and sends
// what is not there. So it is a bound for what copies alone can save without knowing the future: an estimate comes later.
type rates struct {
	list []opening
	held [Regions]map[decide.Key]bool
}

func newRates(list []opening) *rates {
	o := &rates{list: list}
	for r := range o.held {
		o.held[r] = map[decide.Key]bool{}
	}
	return o
}

const (
	ratesLeast = 0.01 // visits a second
	ratesEvery = 500 * time.Millisecond
)

func (o *rates) look(w *world) {
	for r, held := range o.held {
		sum := 0.0
		for i := range o.list {
			sum += o.list[i].asked(r, w.now, w.set.Abroad)
		}
		for i := range o.list {
			p := &o.list[i]
			asked := p.asked(r, w.now, w.set.Abroad)
			switch want := w.set.Rate*asked/sum > ratesLeast && (p.global || r != p.home); {
			case !want:
				if held[p.key] {
					w.mem[r].hold(p.key, false)
					delete(held, p.key)
				}
			case w.mem[r].has(p.key):
				w.mem[r].hold(p.key, true)
				held[p.key] = true
			case !w.onWay(p.key, r):
				o.fetch(w, p, r)
			}
		}
	}
}

// fetch has an opening sent from any region that has it, where the link is not behind.
func (o *rates) fetch(w *world, p *opening, to int) {
	for a := range w.mem {
		if a != to && w.mem[a].has(p.key) && w.queue(a, to) < 5*time.Second {
			w.send(0, p.key, p.tokens, a, to)
			return
		}
	}
}

// onWay tells whether an opening is being sent to a region.
func (w *world) onWay(k decide.Key, to int) bool {
	for _, s := range w.way {
		if s.key == k && s.to == to {
			return true
		}
	}
	return false
}
