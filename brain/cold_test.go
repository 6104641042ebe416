package brain

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// overload is the highest ratio, over the windows in which the engine is cold, of the work sent to it and its limit.
// With N as the work that the settings allow in the window, the limit is N + 3 x root of N + 3 requests of mean work.
// Below 1 the engine survives.
func (w *simFleet) overload(e *simEngine) (worst float64) {
	window, sum, first := w.set.OverloadFor, 0.0, 0
	for _, s := range e.received {
		if s.at >= e.StartedAt+w.set.WarmAfter {
			break
		}
		sum += s.work
		for ; e.received[first].at <= s.at-window; first++ {
			sum -= e.received[first].work
		}
		n := w.set.OverloadRatio * e.capacity * w.warm(e, s.at-window) * window.Seconds()
		worst = max(worst, sum/(n+3*math.Sqrt(n)+3))
	}
	return worst
}

// coldSettings are those of a fleet with the given number of routers. The cold parameters come from two deployments.
func coldSettings(routers int, share, ratio float64, over, after time.Duration) Settings {
	set := testSettings()
	set.Routers, set.ColdShare, set.OverloadRatio, set.OverloadFor, set.WarmAfter = routers, share, ratio, over, after
	set.Kinds = []Kind{{Reader, 250000}, {Writer, 150000}}
	return set
}

// A cold engine tolerates only so much work from all routers together. The routers share nothing, and most of them
// see almost none of the traffic. Covered are one start, a release that replaces six in ten engines within 7 s, and a
// third of the engines that return at once while seven in ten routers are new and know no rate.
func TestColdEngineIsNotOverloadedByAllRouters(t *testing.T) {
	const engines, capacity, use = 40, 30.0, 0.85
	for name, set := range map[string]Settings{
		"300 routers": coldSettings(300, 0.27, 2.5, 3*time.Second, 14*time.Second),
		"120 routers": coldSettings(120, 0.2, 3, 1500*time.Millisecond, 10*time.Second),
	} {
		for day, start := range map[string]func(w *simFleet, i int) (in time.Duration, starts bool){
			"one": func(_ *simFleet, i int) (time.Duration, bool) { return 0, i == 3 || i == 4 },
			"release": func(_ *simFleet, i int) (time.Duration, bool) {
				return time.Duration(i) * 300 * time.Millisecond, i < engines*6/10
			},
			"herd": func(_ *simFleet, i int) (time.Duration, bool) { return 0, i < engines/3 },
		} {
			if (set.Routers == 300) == (day == "one") {
				continue
			}
			t.Run(name+" "+day, func(t *testing.T) {
				t.Parallel()
				var list []Engine
				for i := range engines {
					kind := toInt(i%4 > 2) // three readers and one writer in every other cell, one and three in the rest
					if i/4%2 == 1 {
						kind = toInt(i%4 > 0)
					}
					list = append(list, Engine{ID: EngineID(100 + i), Cell: i / 4, Kind: kind, Weight: 1})
				}
				w := newSimFleet(set, 22, list, capacity)
				w.noReports = set.Routers == 300
				ends := map[string]int{}
				w.done = func(_ Arrived, how string) { ends[how]++ }
				const before = 8 * time.Second
				w.load(use*capacity*engines/2, before+set.WarmAfter, nil)
				w.run(before)
				for i, old := range list {
					if in, starts := start(w, i); starts {
						w.after(in, func() {
							fresh := old
							fresh.ID, fresh.StartedAt, old.Availability = old.ID+1000, w.now, Removed
							w.start(fresh, capacity)
							w.list(fresh, old)
						})
					}
				}
				if day == "herd" {
					w.after(200*time.Millisecond, func() {
						for _, r := range w.routers[:len(w.routers)*7/10] {
							r.restart()
						}
					})
				}
				w.run(set.WarmAfter)
				worst, sent := 0.0, 0
				for _, e := range w.engines {
					if e.StartedAt > 0 {
						worst, sent = max(worst, w.overload(e)), sent+len(e.received)
					}
				}
				if worst >= 1 {
					t.Errorf("a cold engine was sent %.2f times its limit", worst)
				}
				if sent == 0 {
					t.Error("nothing was sent to the starting engines")
				}
				t.Logf("worst window %.2f of the limit; %d sends to the starting engines; %s", worst, sent, fmt.Sprint(ends))
			})
		}
	}
}
