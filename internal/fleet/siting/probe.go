package siting

import (
	"context"
	"errors"
	"time"

	"sumacloft/internal/core"
	"sumacloft/internal/decide/sites"
	"sumacloft/internal/fleet/roster"
)

// probed is how many servers of a site are probed at a time.
const probed = 4

// probing has some servers of each site asked for a sign of life, again and again: a router that sends nothing to a site
// would else know nothing of it.
func (a *Agent) probing() roster.ProbeSubscription {
	return roster.ProbeSubscription{
		Interval: func() time.Duration {
			a.mu.Lock()
			defer a.mu.Unlock()
			if len(a.terms.Model.Sites) == 0 {
				return 0
			}
			return min(roster.ProbeTimeout, time.Duration(a.terms.Model.WithDefaults().ReportMs/2)*time.Millisecond) // each report has news
		},
		Select: func(list []core.Worker) (out []core.Worker) {
			by := map[string][]core.Worker{}
			for _, w := range list {
				by[a.o.Roster.Site(w)] = append(by[a.o.Roster.Site(w)], w)
			}
			for site, at := range by {
				for range min(probed, len(at)) {
					a.turn[site]++
					out = append(out, at[a.turn[site]%len(at)])
				}
			}
			return out
		},
		OnResult: func(w core.Worker, heard bool, err error) {
			a.meter.Saw(a.o.Roster.Site(w), func(s *sites.Observation) {
				s.Attempts++
				switch {
				case heard:
					s.Answered++
				case errors.Is(err, context.DeadlineExceeded):
					s.NoReply++
				}
			})
		},
	}
}
