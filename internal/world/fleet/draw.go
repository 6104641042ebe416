// Package fleet looks at large fleets in virtual time: what the control loop costs with many routers and servers, what
// gathering reports by region (internal/decide/gather) makes of that, how long a release of all servers takes and what it costs
// in requests and kept prefixes. Everything comes from seeds; only the times of decisions are measured on a clock.
package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/reuse"
	"sumacloft/internal/decide/samples"
	"sumacloft/internal/decide/turn"
)

// Size is how large a fleet is.
type Size struct {
	Routers int `json:"routers"`
	Servers int `json:"servers"`
	Regions int `json:"regions"`
	Tuning  int `json:"tuning"` // servers that make samples
}

// Sizes are those that are looked at: 2,000 servers in 10 regions, 200 of them for tuning.
var Sizes = []Size{{5, 2000, 10, 200}, {50, 2000, 10, 200}, {200, 2000, 10, 200}, {1000, 2000, 10, 200}}

func (s Size) router(i int) string { return fmt.Sprintf("router-%04d", i) }
func (s Size) server(i int) string { return fmt.Sprintf("chat-%s-%04d", s.region(i), i) }
func (s Size) region(i int) string { return fmt.Sprintf("region-%d", i%s.Regions) }

// first is the router whose turn it is first on a loop.
func (s Size) first(loop string) string {
	names := make([]string, s.Routers)
	for i := range names {
		names[i] = s.router(i)
	}
	return firstOf(loop, names)
}

func firstOf(loop string, names []string) string {
	return slices.MinFunc(names, func(a, b string) int { return turn.Rank(loop, a, []string{b}) - turn.Rank(loop, b, []string{a}) })
}

// sight is what a router sees of the i-th server when nothing is the matter.
func (s Size) sight(i int) outage.Observation {
	return outage.Observation{Site: s.region(i), Role: "chat", Weight: 1, Boot: strconv.Itoa(1_764_600_000_000 + 1013*i), Label: "v41", Probed: true}
}

// Outages draws what a decider on outages has to read: of each router a report of its own on all servers, of which one in two
// hundred is silent to it at times, a router in twenty has not heard of the newest state, and a release runs.
func Outages(s Size, seed uint64) outage.View {
	rng := rand.New(rand.NewPCG(seed, 21))
	v := outage.View{Model: outage.Model{Workers: 0.03, Routers: 0.02, WorkersSite: 0.1, Classes: []outage.ClassFloor{{Name: "chat", Part: 0.9}}, PauseMs: 5000}, Version: 7,
		Routers: map[string]outage.Registration{}}
	sees := map[string]outage.Observation{}
	for i := range s.Servers {
		sees[s.server(i)] = s.sight(i)
	}
	for i := range s.Routers {
		name := s.router(i)
		v.Routers[name] = outage.Registration{Boot: "boot-" + name, Label: "v41", Live: true}
		v.Reports = append(v.Reports, outage.Report{Router: name, Boot: "boot-" + name, Observed: maps.Clone(sees), Rev: int64(i + 1)})
	}
	d := outage.Decider{Router: s.first("outage")}
	step := func() {
		if next := d.Next(v, 0); next != nil {
			next.Rev = int64(s.Routers) + next.Seq
			v.Last = next
		}
	}
	step()
	next, err := v.Start(outage.Spec{Name: "v42", Kind: outage.Server, To: "v42", Waves: []float64{1, 0.02}}, "operator")
	if err != nil {
		panic(err) // the names are this function's own
	}
	next.Rev = int64(s.Routers) + next.Seq
	v.Last = next
	step()
	for i := range v.Reports {
		r := &v.Reports[i]
		r.StateSeq, r.Release = v.Last.Seq, v.Last.Release.Run
		if rng.IntN(20) == 0 {
			r.StateSeq--
		}
		r.Counts = outage.Counts{Old: outage.Tally{N: 40_000 + rng.Int64N(1000), Failed: 17, Late: 31}, New: outage.Tally{N: 5}, Asked: map[string]int64{"chat": 41_000}, Refused: map[string]int64{"chat": 3}}
		for k := 7; k < 13; k++ {
			r.Counts.Old.FirstToken[k] = 1000 + rng.Int64N(9000)
		}
		for range s.Servers / 200 {
			k := rng.IntN(s.Servers)
			one := r.Observed[s.server(k)]
			one.SilentMs = float64(20 + rng.IntN(400))
			r.Observed[s.server(k)] = one
		}
	}
	return v
}

// sampleRate is how many samples a second one tuning server makes.
const sampleRate = 0.5

// Samples draws a board that has stood for a minute: the tuning servers' samples are spread over the routers, a router's report
// has what the board has not counted at its last step, and the tuner takes an epoch as it is closed.
func Samples(s Size, seed uint64) samples.View {
	rng := rand.New(rand.NewPCG(seed, 22))
	v := samples.View{Policy: 7, Tuner: &samples.Published{Version: 41}, TunerRev: 1}
	for i := range s.Tuning {
		v.Workers = append(v.Workers, samples.Worker{Name: s.server(i), Boot: s.sight(i).Boot, Site: s.region(i), Kind: "chat", Label: 41})
	}
	for i := range s.Routers {
		v.Reports = append(v.Reports, samples.Report{Router: s.router(i), Boot: "boot-" + s.router(i), First: 1, InFlight: 1, Interactive: samples.Load{Total: 400 + float64(rng.IntN(100)), Failed: 2}})
	}
	d := samples.Decider{Router: s.router(0)}
	period := time.Duration(samples.Defaults.ReportMs) * time.Millisecond
	for now := time.Duration(0); now < time.Minute; now += period {
		if v.Last != nil { // what was counted is let go of
			for i := range v.Reports {
				r := &v.Reports[i]
				n := min(max(v.Last.Watermarks[r.Router+" "+r.Boot].Seq-r.First+1, 0), int64(len(r.Samples)))
				r.First, r.Samples = r.First+n, slices.Clone(r.Samples[n:])
			}
			if n := v.Last.Open.Number - 1; n > v.Tuner.Epoch {
				v.Tuner, v.TunerRev = &samples.Published{Version: v.Tuner.Version + 1, Epoch: n}, v.TunerRev+1
				for i := range v.Workers {
					if v.Workers[i].Label < v.Tuner.Version-2 {
						v.Workers[i].Label = v.Tuner.Version
					}
				}
			}
		}
		for range int(float64(s.Tuning) * sampleRate * period.Seconds()) {
			w, r := v.Workers[rng.IntN(s.Tuning)], &v.Reports[rng.IntN(s.Routers)]
			open := int64(1)
			if v.Last != nil {
				open = v.Last.Open.Number
			}
			r.Samples = append(r.Samples, samples.Sample{Key: rng.Uint64(), Worker: w.Name, Boot: w.Boot, Site: w.Site, Label: w.Label, Version: w.Label, StartEpoch: open, AgeMs: 4000,
				Tokens: 400 + rng.IntN(200), TookMs: 4000 + rng.Int64N(2000), Accepted: rng.IntN(10) > 0})
		}
		if now+period < time.Minute { // the last round's reports are left to be counted
			if next := d.Next(v, now); next != nil {
				v.Last = next
			}
		}
	}
	return v
}

// Copies draws a report on copies and a state of them: a router that has counted uses of prefixes for a while, and half as many
// copies as a state may have.
func Copies(s Size, seed uint64) (reuse.Report, reuse.State) {
	rng := rand.New(rand.NewPCG(seed, 23))
	m, at := reuse.NewMeter(1e6), time.Duration(0)
	for range 6000 {
		at += 10 * time.Millisecond
		m.Use(reuse.Key(rng.Uint64()>>40*rng.Uint64()>>60+rng.Uint64()%300), 500+rng.IntN(3000), at)
	}
	r := reuse.Report{Router: s.router(0), Region: s.region(0), Sample: m.TakeSample(at), Rate: m.Rate(), Hot: m.Hot(at)}
	m.AddSample(r.Sample, at, 0)
	r.Curve = m.Curve()
	state := reuse.State{Seq: 1000, By: s.router(0), LastOrder: 5000, Version: 7}
	for i := range reuse.MaxCopies / 2 {
		k := rng.IntN(s.Servers)
		state.Copies = append(state.Copies, reuse.Copy{ID: int64(4000 + i), Prefix: reuse.Key(rng.Uint64()), Tokens: 2000 + rng.IntN(4000), From: s.region(k + 1), To: s.region(k), Server: s.server(k), Boot: s.sight(k).Boot,
			Phase: reuse.Present, LeftMs: 200_000 * rng.Float64(), AgeMs: 1_000_000 * rng.Float64()})
		if i%20 == 0 {
			r.Copies = append(r.Copies, reuse.CopyStatus{ID: int64(4000 + i), Hits: 1 + rng.IntN(5)})
		}
	}
	return r, state
}
