package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// drained is when the news came that the worker is taken out, at last; never: much later.
func drained(told []string, at []time.Duration) time.Duration {
	if i := slices.IndexFunc(told, func(l string) bool { return len(l) > 8 && l[len(l)-8:] == "DRAINING" }); i >= 0 {
		return at[i]
	}
	return time.Hour
}

// What a watch that has fallen silent misses counts as told 6 s after the silence began. The silence may begin at any
// time within a heartbeat, the news may come at any time in it, and what is opened anew may be silent in turn.
func TestSilenceIsOverBySixSeconds(t *testing.T) {
	const counts = 6 * time.Second
	for _, mutes := range []int{0, 1, 2} {
		for began := 10 * time.Second; began <= 12*time.Second; began += 250 * time.Millisecond {
			for _, news := range []time.Duration{10 * time.Millisecond, time.Second, 3*time.Second + 100*time.Millisecond} {
				inPlace(t, func(t *testing.T, p *holder) {
					p.hush = began
					p.mute = func(call int, _ time.Duration) bool { return call > 2 && call <= 2+mutes } // the list and its watch are heard
					time.AfterFunc(began+news, p.drain)
					told, at := watched(p, &Pace{}, From{}, began+2*counts)
					if heard := drained(told, at) - began; heard > counts-100*time.Millisecond {
						t.Errorf("silent from %v on, news after %v, %d calls silent in turn: heard %v after the silence began; %v", began, news, mutes, heard, told)
					}
				})
			}
		}
	}
}

// Where lists are pushed, what the agent has counts as told at once, and nothing new may go to a worker that it takes
// out once the drain's grace is over: 1 s, the least that is known of a site.
const grace = time.Second

// From the first moment of a new process, whatever list it was started with, and also if its first call is left unanswered.
func TestNewProcessIsToldAtOnce(t *testing.T) {
	for _, from := range []From{{}, {Revision: 1}, {Revision: 1, Known: true}, {Revision: 2, Known: true}, {Revision: 9, Known: true}} {
		for mutes, most := range []time.Duration{0, grace - 100*time.Millisecond} {
			inPlace(t, func(t *testing.T, p *holder) {
				p.drain()
				p.mute = func(call int, _ time.Duration) bool { return call <= mutes }
				if told, at := watched(p, &Pace{}, from, 10*time.Second); drained(told, at) > most {
					t.Errorf("%+v, %d calls silent: %v at %v", from, mutes, told, at)
				}
			})
		}
	}
}

// After an outage: the agent stays silent, and does not answer later what it was asked meanwhile. What it gets at the
// return counts at once, whenever in the rhythm of the calls that is.
func TestOutageEndsWithinTheGrace(t *testing.T) {
	for back := 14 * time.Second; back <= 16*time.Second; back += 50 * time.Millisecond {
		for _, begins := range []time.Duration{0, 9 * time.Second} { // into a start, or under a watch
			inPlace(t, func(t *testing.T, p *holder) {
				p.hush = begins
				p.mute = func(_ int, at time.Duration) bool { return at >= begins && at < back }
				time.AfterFunc(back, p.drain)
				told, at := watched(p, &Pace{}, From{Revision: 1}, back+10*time.Second)
				if heard := drained(told, at) - back; heard > grace-100*time.Millisecond {
					t.Errorf("down from %v to %v: heard %v after the return", begins, back, heard)
				}
			})
		}
	}
}

// Without an open watch: it breaks again and again, at any time.
func TestNewsBetweenWatches(t *testing.T) {
	for news := 5 * time.Second; news < 7*time.Second; news += 100 * time.Millisecond {
		inPlace(t, func(t *testing.T, p *holder) {
			p.beat = time.Hour // nothing is said on it
			time.AfterFunc(news, p.drain)
			told, at := watched(breaking{p, 700 * time.Millisecond}, &Pace{}, From{}, news+5*time.Second)
			if heard := drained(told, at) - news; heard > grace-100*time.Millisecond {
				t.Errorf("news at %v heard %v later", news, heard)
			}
		})
	}
}

// After SIGHUP what the new place has counts as told 4 s later, also if it leaves the first calls unanswered.
func TestMoveIsToldInFourSeconds(t *testing.T) {
	for mutes := range 4 {
		for name, pace := range map[string]*Pace{"pushed": {}, "asked for": Shared(300, 5)} {
			if mutes > 0 && pace.interval > 0 {
				continue // a call that may wait has a clock of its own
			}
			inPlace(t, func(t *testing.T, p *holder) {
				p.drain()
				p.mute = func(call int, _ time.Duration) bool { return call <= mutes }
				if told, at := watched(p, pace, From{Revision: 9, Moved: true}, 10*time.Second); drained(told, at) > 4*time.Second-100*time.Millisecond {
					t.Errorf("%s, %d calls silent: told %v at %v", name, mutes, fmt.Sprint(told), at)
				}
			})
		}
	}
}
