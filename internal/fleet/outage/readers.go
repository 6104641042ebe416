package outage

import (
	"context"
	"time"

	"sumacloft/internal/decide/turn"
	"sumacloft/internal/fleet/policy"
)

// askAgain is how often a router looks whether it is one of those that decide, where the policy has few of them do it.
const askAgain = 10 * time.Second

// readers is what a router knows of its own part; only the loop's goroutine uses it.
type readers struct {
	mine, asked bool
	at          time.Duration
}

// reads tells whether this router reads all reports and decides. The policy may leave that to a few ([outage], deciders): the
// first of all that are registered by the loop's own hashing. When one of them is lost others find that out within askAgain of the
// end of its registration; until then nothing is decided if all of them are lost. More than so many at a time do no harm: whose
// write counts is compared as ever.
func (a *Agent) reads(ctx context.Context, period time.Duration) bool {
	a.mu.Lock()
	few := a.model.Deciders
	a.mu.Unlock()
	if few == 0 {
		return true
	}
	if now := a.now(); !a.part.asked || now-a.part.at >= askAgain {
		ctx, done := context.WithTimeout(ctx, patience(period))
		defer done()
		r, err := a.store.Range(ctx, policy.Live())
		if err != nil {
			return a.part.mine
		}
		live, err := policy.Read(r)
		if err != nil {
			return a.part.mine
		}
		var names []string
		for name, one := range live.Routers {
			if one.Lease != 0 {
				names = append(names, name)
			}
		}
		a.part = readers{mine: turn.Rank("outage", a.o.Name, names) < few, asked: true, at: now}
		a.look(ctx, period) // a change whose word was lost is met with then
	}
	return a.part.mine
}
