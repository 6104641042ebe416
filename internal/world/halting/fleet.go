package halting

import (
	"cmp"
	"fmt"
	"time"

	"sumacloft/internal/decide/outage"
)

// view is what the routers report, at once and with what they counted.
func (r *day) view() outage.View {
	v := outage.View{Model: r.model, Version: 1, Last: r.state, Routers: map[string]outage.Registration{}}
	for i := range r.meters {
		name := fmt.Sprintf("r%d", i+1)
		v.Routers[name] = outage.Registration{Boot: "1", Live: true}
		one := outage.Report{Router: name, Boot: "1", Observed: map[string]outage.Observation{}}
		one.Release, one.Counts = r.meters[i].Snapshot()
		if r.state != nil {
			one.StateSeq = r.state.Seq
		}
		for _, s := range r.servers {
			sight := outage.Observation{Boot: fmt.Sprint(s.boot), Label: s.label(), Probed: true}
			if !s.up {
				sight.SilentMs = float64((r.now - s.downs) / time.Millisecond)
			}
			one.Observed[s.name] = sight
		}
		v.Reports = append(v.Reports, one)
	}
	return v
}

// step decides; each tick all have reported.
func (r *day) step() *outage.State {
	return r.decider.Step(r.view(), outage.Ages{State: func() time.Duration { return r.stood() }, Report: func(string, int64) time.Duration { return 0 }}).Next
}

// stood is how long the state has stood.
func (r *day) stood() time.Duration {
	if r.state == nil {
		return 0
	}
	return r.now - time.Duration(r.state.Rev)
}

// write keeps a state; its revision is the time of the write.
func (r *day) write(next *outage.State) {
	next.Rev = int64(r.now)
	r.state = next
}

// usualDown is for how long a server is down that is replaced, where the day does not say.
const usualDown = 3 * time.Second

// deploy stops what is clear and starts it with the new label some time later.
func (r *day) deploy() {
	down := cmp.Or(r.Down, usualDown)
	for i := range r.servers {
		s := &r.servers[i]
		p, out := r.state.Permits[outage.ID(outage.Server, s.name)]
		switch {
		case !out || p.Stage != outage.Acknowledged:
		case s.up && p.Boot == fmt.Sprint(s.boot):
			s.up, s.downs = false, r.now
		case !s.up && r.now-s.downs >= down:
			s.up, s.fresh, s.boot = true, p.To == "new", s.boot+1
		}
	}
}

// threshold halts by a fixed bound on the window's rates, where that is the judge.
func (r *day) threshold() {
	var c outage.Counts
	for i := range r.meters {
		_, one := r.meters[i].Snapshot()
		c.Add(one)
	}
	r.past = append(r.past, c)
	if r.Judge != Twice && r.Judge != Percent {
		return
	}
	var was outage.Counts
	if n := len(r.past) - 1 - int(window/tick); n >= 0 {
		was = r.past[n]
	}
	news, olds := c.New.N-was.New.N, c.Old.N-was.Old.N
	if news < least || olds == 0 {
		return
	}
	next, old := float64(c.New.Failed-was.New.Failed)/float64(news), float64(c.Old.Failed-was.Old.Failed)/float64(olds)
	if r.Judge == Percent && next > 0.05 || r.Judge == Twice && next > 2*old {
		r.out.Halted, r.out.Why = true, fmt.Sprintf("%.3f beside %.3f", next, old)
	}
}
