package reuse

import (
	"time"

	"sumacloft/internal/decide/reuse"
)

// heard is the report of a router that was heard last.
type heard struct {
	rev    int64
	at     time.Duration // when it was new; 0: it has not been new since this router looks
	region string
}

// lives tells whether a report was new within a few periods.
func (h heard) lives(now, period time.Duration) bool { return h.at > 0 && now-h.at < 4*period }

// busyFor is for how many periods the requests of a router that has fallen silent are held to be out still: where reports are late
// servers are likely to be busy.
const busyFor = 30

// hears notes a report that is new.
func (a *Agent) hears(r reuse.Report, period time.Duration) {
	last, known := a.heard[r.Router]
	if last.rev == r.Rev {
		return
	}
	last = heard{rev: r.Rev, region: r.Region}
	if known { // the first may be old
		last.at = a.now()
		if r.Region == a.o.Region {
			a.mu.Lock()
			a.meter.AddSample(r.Sample, last.at, period)
			a.mu.Unlock()
		}
	}
	a.heard[r.Router] = last
}
