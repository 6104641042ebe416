package outage

import (
	"maps"
	"math"
	"slices"
	"time"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/reuse"
)

// Leaving are the servers that wait for copies of what they hold, and those that are let out, as of the number of the state that this
// router follows; where nothing is waited for they are none.
func (a *Agent) Leaving() (out []reuse.Drain, seen int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.model.CopyWaitMs <= 0 || !a.model.On() {
		return nil, math.MaxInt64
	}
	if a.state == nil {
		return nil, 0
	}
	stood := float64(a.now()-a.since) / float64(time.Millisecond)
	for _, thing := range slices.Sorted(maps.Keys(a.state.Leaving)) {
		l := a.state.Leaving[thing]
		_, server := outage.Split(thing)
		out = append(out, reuse.Drain{Server: server, Epoch: l.Turn, LeftMs: max(a.model.CopyWaitMs-l.WaitMs-stood, 0)})
	}
	for _, thing := range slices.Sorted(maps.Keys(a.state.Permits)) {
		p := a.state.Permits[thing]
		if kind, server := outage.Split(thing); kind == outage.Server && p.Stage != outage.Returning {
			out = append(out, reuse.Drain{Server: server, Epoch: p.Seq})
		}
	}
	return out, a.state.Seq
}
