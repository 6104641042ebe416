package reuse

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sumacloft/internal/decide/turn"
)

// Fault is a rule that a decider breaks on purpose, to test that checkers detect it.
type Fault string

// The faults.
const (
	BelievesAfterRestart Fault = "believes-after-restart" // a copy survives a restart of its server
	NoHysteresis         Fault = "no-hysteresis"          // a released prefix may be copied again at once, and no gain is required
	CountsScan           Fault = "counts-scan"            // counts include the overestimate of Space-Saving, and one use is enough
)

// Decider computes new states. Each router may run one; the router whose turn it is writes the state.
type Decider struct {
	Router string
	Fault  Fault

	current     stateRef
	proposed    stateRef // the state that it last returned, written or not
	sightings   map[string]sighting
	lastUsed    map[int64]time.Duration // by copy: when its use was last reported
	statuses    map[int64]CopyStatus    // reported statuses of copies that are not yet in the state
	usage       usage                   // of this step
	pending     bool
	dueSince    time.Duration         // since when a state is due that no router has written
	budgets     map[[2]string]float64 // by link: tokens that may be copied now
	lastStep    time.Duration
	abandoned   float64     // the share of known prefixes that are no longer used
	spillovers  []spillover // by source and target region
	spillRatios map[string]map[string]float64
}

// stateRef identifies the state that was read last, and when it was read.
type stateRef struct {
	seq int64
	by  string
	at  time.Duration
}

type sighting struct {
	rev int64
	at  time.Duration
	new bool
}

// View is the input of one decision.
type View struct {
	Model      Model
	Last       *State // nil if there is none
	Reports    []Report
	Servers    []Server
	Conditions map[string]Condition // by region; a region that is not listed is up
	// Home returns the server that a region's requests with a prefix are routed to by default. Copies are placed on that
	// server, so that they do not draw requests away from where the prefix is cached. If nil, the decider uses its own hash.
	Home func(k Key, servers []string) string
	// Drains are the servers that are drained or about to be, according to the outage state with number OutageSeq.
	Drains    []Drain
	OutageSeq int64
}

const (
	freshPeriods = 4  // reports expire after this many periods
	maxSpill     = 8  // maximum ratio of uses in one region to those in another
	spillWeight  = .1 // weight of one step in the moving average
	// takeoverDelay is added per rank: each router waits this much longer than the one before it before it writes.
	takeoverDelay = 250 * time.Millisecond
	// burstSeconds is how many seconds of its rate the budget of an idle link accumulates.
	burstSeconds = 5.0
)

// Next returns the state that should replace the last one, or nil if that needs no change. now is the monotonic clock of
// this process; only differences are used.
func (d *Decider) Next(v View, now time.Duration) *State {
	m := v.Model.WithDefaults()
	s, elapsedMs := d.ageState(v.Last, now)
	fresh := d.freshReports(v.Reports, m, now)
	servers := map[string]Server{}
	for _, server := range v.Servers {
		servers[server.ID] = server
	}
	v = v.withAgreedDrains(s)
	changed := d.updateCopies(s, m, v, servers, fresh, now)
	if d.abandoned == 0 {
		d.abandoned, d.usage.index.salt = initialAbandoned, Key(xxhash.Sum64String(d.Router))
	}
	d.usage.aggregate(m, fresh, d.Fault, d.abandoned)
	uses := &d.usage
	changed = s.settleReleases(m, uses) || changed
	d.learnSpillover(m, s, uses)
	d.refillBudgets(m, elapsedMs)
	budgets := maps.Clone(d.budgets)
	if d.orderCopies(s, m, v, uses) {
		changed = true
	}
	if changed && !d.pending {
		d.dueSince = now
	}
	if d.pending = changed; !changed || now < d.dueSince+time.Duration(d.rank(fresh))*takeoverDelay {
		d.budgets = budgets
		return nil
	}
	s.Seq++
	s.By = d.Router
	s.Spill = d.spillRatios
	d.proposed = stateRef{s.Seq, s.By, now}
	if v.Last != nil {
		s.Rev = v.Last.Rev
	}
	return s
}

// rank is the number of reporting routers that come before this one by rendezvous hashing.
func (d *Decider) rank(fresh []Report) (earlier int) {
	weight := func(name string) uint64 { return xxhash.Sum64String("reuse\x00" + name) }
	listed := false
	for _, r := range fresh {
		listed = listed || r.Router == d.Router
		if r.Router != d.Router && weight(r.Router) < weight(d.Router) {
			earlier++
		}
	}
	if !listed {
		return 0
	}
	return earlier
}

// ageState returns a copy of the last state from which the time since this decider first read it is subtracted, and the time
// since the last step. A decider that takes over starts counting when it reads, so a lease may last longer but never shorter.
func (d *Decider) ageState(last *State, now time.Duration) (*State, float64) {
	elapsedMs := ms(now - d.lastStep)
	if d.lastStep == 0 {
		elapsedMs = 0
	}
	d.lastStep = now
	if last == nil {
		return &State{}, elapsedMs
	}
	switch matches := func(ref stateRef) bool { return ref.seq == last.Seq && ref.by == last.By }; {
	case matches(d.current):
	case matches(d.proposed):
		d.current = d.proposed
	default:
		d.current = stateRef{last.Seq, last.By, now}
	}
	s := *last
	sinceReadMs := ms(now - d.current.at)
	s.Copies, s.Cooldowns, s.Notes = slices.Clone(last.Copies), nil, slices.Clone(last.Notes)
	for i := range s.Copies {
		s.Copies[i].LeftMs -= sinceReadMs
		s.Copies[i].AgeMs += sinceReadMs
	}
	for _, r := range last.Cooldowns {
		if r.Pending {
			r.SinceMs += sinceReadMs
		}
		if r.LeftMs -= sinceReadMs; r.LeftMs > 0 || r.Pending {
			s.Cooldowns = append(s.Cooldowns, r)
		}
	}
	return &s, elapsedMs
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// freshReports returns the reports that were updated recently, and marks those that changed since the last step.
func (d *Decider) freshReports(reports []Report, m Model, now time.Duration) (fresh []Report) {
	if d.sightings == nil {
		d.sightings = map[string]sighting{}
	}
	present := map[string]bool{}
	for _, r := range reports {
		present[r.Router] = true
		sighting, known := d.sightings[r.Router]
		sighting.new = !known || sighting.rev != r.Rev
		if sighting.new {
			sighting.rev, sighting.at = r.Rev, now
		}
		d.sightings[r.Router] = sighting
		if ms(now-sighting.at) <= freshPeriods*m.ReportMs {
			fresh = append(fresh, r)
		}
	}
	maps.DeleteFunc(d.sightings, func(name string, _ sighting) bool { return !present[name] })
	return fresh
}

// updateCopies applies reported statuses to the copies and releases those that are no longer valid. It reports whether the
// state has to be written. Leases are extended in batches: a used copy's lease is written when less than half of it is left,
// so at most six times per lease. The next decider does not know of a use that was not written before this one ended.
func (d *Decider) updateCopies(s *State, m Model, v View, servers map[string]Server, fresh []Report, now time.Duration) (changed bool) {
	if d.lastUsed == nil {
		d.lastUsed, d.statuses = map[int64]time.Duration{}, map[int64]CopyStatus{}
	}
	present := map[int64]bool{}
	for _, c := range s.Copies {
		present[c.ID] = true
	}
	for _, r := range fresh {
		if !d.sightings[r.Router].new {
			continue
		}
		for _, status := range r.Copies {
			if status.Hits > 0 {
				d.lastUsed[status.ID] = now
			}
			previous := d.statuses[status.ID]
			d.statuses[status.ID] = CopyStatus{ID: status.ID, Arrived: previous.Arrived || status.Arrived, Lost: previous.Lost || status.Lost}
		}
	}
	maps.DeleteFunc(d.statuses, func(id int64, _ CopyStatus) bool { return !present[id] })
	maps.DeleteFunc(d.lastUsed, func(id int64, _ time.Duration) bool { return !present[id] })
	kept := s.Copies[:0]
	for _, c := range s.Copies {
		status := d.statuses[c.ID]
		if status.Arrived && c.Phase == Ordered {
			c.Phase, c.LeftMs, changed = Present, m.LeaseMs, true
			s.note(c.ID, "here", fmt.Sprintf("after %.0f ms", c.AgeMs))
		}
		if usedAt, used := d.lastUsed[c.ID]; used && c.Phase == Present {
			belowHalf := c.LeftMs < m.LeaseMs/2
			leftBefore := c.LeftMs
			c.extendLease(m.LeaseMs, ms(now-usedAt))
			s.recordUse(&c)
			changed = changed || belowHalf && c.LeftMs > leftBefore
		}
		reason, cooldownMs := c.endReason(servers, v.Conditions, d.Fault), m.LeaseMs/4
		if status.Lost {
			reason = "it is reported lost"
		} else if revocation := v.revokedReason(s, c, d.Fault); reason == "" && revocation != "" {
			reason, cooldownMs = revocation, 0
		}
		if reason == "" {
			kept = append(kept, c)
			continue
		}
		changed = true
		if reason == reasonUnused {
			cooldownMs = 2 * m.LeaseMs
		}
		s.release(c, cooldownMs, reason)
	}
	s.Copies = kept
	maps.DeleteFunc(d.lastUsed, func(id int64, _ time.Duration) bool {
		return !slices.ContainsFunc(kept, func(c Copy) bool { return c.ID == id })
	})
	return changed
}

// release removes a copy and starts a cool-down for its prefix in that region, unless cooldownMs is 0.
func (s *State) release(c Copy, cooldownMs float64, reason string) {
	s.note(c.ID, "release", fmt.Sprintf("%016x at %s: %s", uint64(c.Prefix), c.To, reason))
	pending := s.settleCopy(c, cooldownMs, reason)
	if cooldownMs <= 0 {
		return
	}
	if len(s.Cooldowns) == maxCooldowns {
		s.settleRelease(&s.Cooldowns[0], turn.Void)
		s.Cooldowns = s.Cooldowns[1:]
	}
	s.Cooldowns = append(s.Cooldowns, Cooldown{Prefix: c.Prefix, To: c.To, LeftMs: cooldownMs, Pending: pending})
}

func (s *State) note(id int64, kind, reason string) {
	if len(s.Notes) >= maxNotes {
		s.Notes = s.Notes[len(s.Notes)-maxNotes+1:]
	}
	s.Notes = append(s.Notes, Note{id, kind, reason})
}

// refillBudgets adds each link's share of its rate to the budget of its copies.
func (d *Decider) refillBudgets(m Model, elapsedMs float64) {
	if d.budgets == nil {
		d.budgets = map[[2]string]float64{}
	}
	for _, l := range m.Links {
		rate := m.LinkShare * l.Rate
		key := [2]string{l.From, l.To}
		d.budgets[key] = min(d.budgets[key]+rate*elapsedMs/1000, rate*burstSeconds)
	}
}
