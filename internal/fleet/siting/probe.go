package siting

import (
	"context"
	"errors"
	"time"

	"sumacloft/internal/core"
	"sumacloft/internal/decide/sites"
	"sumacloft/internal/fleet/roster"
)

// probesPerSite is the number of servers of a site that are probed per round.
const probesPerSite = 4

// probeSubscription probes some servers of each site periodically. Without probes, a router that sends no requests to a
// site has no observations of it.
func (a *Agent) probeSubscription() roster.ProbeSubscription {
	return roster.ProbeSubscription{
		Interval: func() time.Duration {
			a.mu.Lock()
			defer a.mu.Unlock()
			if len(a.policy.Model.Sites) == 0 {
				return 0
			}
			return min(roster.ProbeTimeout, time.Duration(a.policy.Model.WithDefaults().ReportMs/2)*time.Millisecond) // at least two rounds per report
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
