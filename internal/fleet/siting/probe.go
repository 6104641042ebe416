package siting

import (
	"context"
	"errors"
	"time"

	"sumacloft/internal/core"
	"sumacloft/internal/decide/sites"
	"sumacloft/internal/fleet/roster"
)

// probesPerSite is how many servers of a site are probesPerSite at a time.
const probesPerSite = 4

// probeSubscription has some servers of each site asked for a sign of life, again and again: a router that sends nothing to a site
// would else know nothing of it.
func (a *Agent) probeSubscription() roster.ProbeSubscription {
	return roster.ProbeSubscription{
		Interval: func() time.Duration {
			a.mu.Lock()
			defer a.mu.Unlock()
			if len(a.policy.Model.Sites) == 0 {
				return 0
			}
			return min(roster.ProbeTimeout, time.Duration(a.policy.Model.WithDefaults().ReportMs/2)*time.Millisecond) // each report has news
		},
		Select: func(list []core.Worker) (out []core.Worker) {
			bySite := map[string][]core.Worker{}
			for _, w := range list {
				bySite[a.options.Roster.Site(w)] = append(bySite[a.options.Roster.Site(w)], w)
			}
			for site, servers := range bySite {
				for range min(probesPerSite, len(servers)) {
					a.nextProbe[site]++
					out = append(out, servers[a.nextProbe[site]%len(servers)])
				}
			}
			return out
		},
		OnResult: func(w core.Worker, responded bool, err error) {
			a.meter.Observe(a.options.Roster.Site(w), func(s *sites.Observation) {
				s.Attempts++
				switch {
				case responded:
					s.Answered++
				case errors.Is(err, context.DeadlineExceeded):
					s.NoReply++
				}
			})
		},
	}
}
