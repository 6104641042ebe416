package brain

import (
	"runtime"
	"slices"
	"testing"
	"time"
)

// entryCounts returns how much a scheduler remembers: the largest prefix cache of an engine, and all other entries.
func (s *Scheduler) entryCounts() (kept, other int) {
	other = len(s.requests) + len(s.parked) + len(s.tallies) + len(s.engines) + len(s.order)
	for _, e := range s.order {
		kept = max(kept, len(e.cached))
		other += len(e.pending) + len(e.streams)
	}
	for i := range s.pools {
		other += len(s.pools[i].starts) + len(s.pools[i].served) + len(s.pools[i].warm)
	}
	return kept, other
}

// 45 minutes with few routers. The load goes up and down, beyond the capacity of the fleet, and every minute a new
// engine replaces another; one stays. The remembered entries and the memory must not grow. In each third of the time
// each class and each tenant must get its share of what can be served.
func TestSoak(t *testing.T) {
	const third, capacity, engines, tenants = 15 * time.Minute, 3.0, 8, 3
	set := testSettings()
	set.Routers, set.Kinds = 2, []Kind{{Reader, 250000}, {Writer, 150000}}
	set.Probing = false // no engine is silent here
	var list []Engine
	for i := range engines {
		list = append(list, Engine{ID: EngineID(100 + i), Cell: i / 2, Kind: i % 2, Weight: 1})
	}
	w := newSimFleet(set, 45, list, capacity)
	type part struct{ asked, served int }
	classes, owners := [3]part{}, [tenants]part{}
	tenant := map[RequestID]int{}
	w.done = func(a Arrived, how string) {
		for _, p := range []*part{&classes[a.Class], &owners[tenant[a.Request]]} {
			p.asked++
			p.served += toInt(how == "served")
		}
		delete(tenant, a.Request)
	}
	next := EngineID(1000)
	replace := func(i int) {
		old := list[i]
		fresh := old
		next++
		fresh.ID, fresh.StartedAt, old.Availability = next, w.now, Removed
		delete(w.engines, old.ID)
		w.start(fresh, capacity)
		w.list(fresh, old)
		list[i] = fresh
	}
	var kept, entries [3]int
	var bytes [3]uint64
	for n := range 3 {
		classes, owners = [3]part{}, [tenants]part{}
		possible, load := 0.0, 0.0
		for minute := range int(third / time.Minute) {
			use := []float64{0.5, 0.8, 1.3}[minute%3]
			load, possible = load+use, possible+min(use, 1)
			w.load(use*capacity*engines/2, time.Minute, func(a *Arrived) {
				a.Class = []int{0, 0, 0, 1, 2}[w.random.IntN(5)]
				a.Session = w.random.Uint64N(300000) + 1
				a.Prefix, a.PrefixTokens = w.random.Uint64N(3000)+1, 100
				a.Timeout = set.Classes[a.Class].Deadline
				tenant[a.Request] = []int{0, 0, 0, 0, 0, 0, 1, 1, 1, 2}[w.random.IntN(10)]
			})
			w.after(10*time.Second, func() { replace(1 + minute%(engines-1)) })
			w.run(time.Minute)
		}
		w.run(30 * time.Second) // the load and its open requests have ended
		for _, r := range w.routers {
			k, other := r.s.entryCounts()
			kept[n], entries[n] = max(kept[n], k), entries[n]+other
			if open := len(r.s.requests) + len(r.s.parked) + len(r.arrived); open > 0 {
				t.Errorf("third %d: %d requests are still remembered after the load", n+1, open)
			}
		}
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		bytes[n] = m.HeapAlloc
		share := possible / load
		for k, p := range classes {
			if got := float64(p.served) / float64(p.asked); p.asked < 100 || got < share/2 {
				t.Errorf("third %d: class %d: %.2f of %d requests served, %.2f possible", n+1, k, got, p.asked, share)
			}
		}
		for k, p := range owners {
			if got := float64(p.served) / float64(p.asked); p.asked < 100 || got < share/3 {
				t.Errorf("third %d: tenant %d: %.2f of %d requests served, %.2f possible", n+1, k, got, p.asked, share)
			}
		}
		t.Logf("third %d: classes %v, tenants %v, %.2f possible; at most %d prefixes of an engine and %d entries, %d kB", n+1, classes, owners, share, kept[n], entries[n], bytes[n]>>10)
	}
	if slices.Max(kept[:]) > cachedLimit+2 || entries[2] > entries[1]+entries[1]/20 {
		t.Errorf("remembered data grows: %v prefixes, %v entries", kept, entries)
	}
	if bytes[2] > bytes[1]+bytes[1]/10+200<<10 {
		t.Errorf("memory grows: %v bytes", bytes)
	}
}
