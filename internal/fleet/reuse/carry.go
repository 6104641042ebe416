package reuse

import (
	"context"
	"time"

	"sumacloft/internal/decide/reuse"
)

// follow takes a state: where prefixes are held besides, and what is on its way.
func (a *Agent) follow(ctx context.Context, s *reuse.State) {
	if turnedOn := a.again.Swap(false); !turnedOn && a.state != nil && s.Rev != 0 && s.Rev <= a.state.Rev {
		return
	}
	a.state = s
	further := map[reuse.Key][]reuse.Copy{}
	stands := map[int64]bool{}
	for _, c := range s.Copies {
		stands[c.ID] = true
		if c.Phase == reuse.Present {
			further[c.Prefix] = append(further[c.Prefix], c)
		} else if _, known := a.ordered[c.ID]; !known {
			a.ordered[c.ID] = a.now()
		}
	}
	a.further.Store(&further)
	if a.o.Homes != nil {
		homes := map[reuse.Key][]string{}
		for k, list := range further {
			for _, c := range list {
				homes[k] = append(homes[k], c.Server)
			}
		}
		a.o.Homes(homes)
	}
	for id := range a.ordered {
		if !stands[id] {
			delete(a.ordered, id)
		}
	}
	for id, c := range a.mine {
		if !stands[id] {
			if stop := a.sending[id]; stop != nil {
				stop()
			}
			delete(a.sending, id)
			delete(a.mine, id)
			a.o.Copier.Drop(c)
		}
	}
}

// turns is for how many periods a router that may carry an order out waits for each that comes before it.
const turns = 3

// carryDue has orders carried out whose turn this router's is by now. The routers that may have an order of their own for each,
// by a hash; one that can't leaves it to the next, and the last says so. Two that disagree both carry it out, which costs no more
// than that.
func (a *Agent) carryDue(ctx context.Context, period time.Duration) {
	if a.state == nil {
		return
	}
	living := []string{a.o.Name}
	for name, h := range a.heard {
		if name != a.o.Name && h.region == a.o.Region && h.lives(a.now(), period) {
			living = append(living, name)
		}
	}
	for _, c := range a.state.Copies {
		if _, begun := a.mine[c.ID]; c.Phase != reuse.Ordered || begun || a.o.Copier.Region(c) != a.o.Region {
			continue
		}
		before := c.Rank(a.o.Name, living)
		if a.now()-a.ordered[c.ID] < time.Duration(turns*before)*period {
			continue
		}
		switch {
		case a.o.Copier.Has(c):
			a.mine[c.ID] = c
			a.carry(ctx, c, period)
		case before+1 >= len(living):
			a.mine[c.ID] = c
			a.mu.Lock()
			a.say(reuse.CopyStatus{ID: c.ID, Lost: true})
			a.mu.Unlock()
		}
	}
}

// carry has a copy brought once its server has little to do, and reports what came of it.
func (a *Agent) carry(ctx context.Context, c reuse.Copy, period time.Duration) {
	ctx, stop := context.WithTimeout(ctx, time.Duration(c.LeftMs*float64(time.Millisecond)))
	a.sending[c.ID] = stop
	a.carrying.Add(1)
	go func() {
		defer a.carrying.Done()
		defer stop()
		for !a.mayWarm(c.Server) {
			select {
			case <-ctx.Done():
				return // the order has ended, or will by itself
			case <-time.After(period):
			}
		}
		err := a.o.Copier.Copy(ctx, c)
		if err != nil && ctx.Err() == nil {
			a.o.Log.WithError(err).WithField("copy", c.ID).Info("reuse: a copy failed")
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.say(reuse.CopyStatus{ID: c.ID, Arrived: err == nil, Lost: err != nil})
	}()
}

// mayWarm tells whether a server has little enough to do, by what this router has there and what the others said last.
func (a *Agent) mayWarm(server string) bool {
	if a.o.Busy == nil {
		return true
	}
	own := a.o.Busy()[server]
	a.mu.Lock()
	defer a.mu.Unlock()
	if known := a.now()-a.viewed < time.Duration(4*a.model.ReportMs)*time.Millisecond; !known && a.o.Broken != reuse.WarmsBusy {
		return false // the store does not answer: nobody knows what servers have to do
	}
	return a.model.MayWarm(server, own, a.busy, a.o.Broken)
}
