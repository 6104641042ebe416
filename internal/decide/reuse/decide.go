package reuse

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sumacloft/internal/decide/turn"
)

// Fault is a rule that a decider breaks on purpose, so that checkers can be shown to find it.
type Fault string

// The faults.
const (
	BelievesAfterRestart Fault = "believes-after-restart" // a copy outlives its server's process
	NoHysteresis         Fault = "no-hysteresis"          // what was released may be copied again at once, and gain is not asked for
	CountsScan           Fault = "counts-scan"            // uses are believed that another prefix left behind, and one is enough
)

// Decider comes to states. Each router may keep one; whose turn it is writes.
type Decider struct {
	Router string
	Broken Fault

	current     stateRef
	proposed    stateRef // what it gave last, which may have been written or not
	sightings   map[string]sighting
	lastUsed    map[int64]time.Duration // by copy: when its use was reported last
	statuses    map[int64]CopyStatus    // what was reported of copies that the state does not say yet
	usage       usage                   // of this step
	pending     bool
	dueSince    time.Duration         // since when a state has been due that nobody wrote
	budgets     map[[2]string]float64 // by link: tokens that copies may take now
	lastStep    time.Duration
	abandoned   float64     // the part of prefixes known that nobody uses any more
	spillovers  []spillover // by the regions from and to
	spillRatios map[string]map[string]float64
}

// stateRef is the state that was read last, and when.
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

// View is what is known at one moment.
type View struct {
	Model      Model
	Last       *State // nil: there is none
	Reports    []Report
	Servers    []Server
	Conditions map[string]Condition // of regions; one that is not named is up
	// Home names the server that a region's requests with a prefix go to by themselves, so that a copy does not draw them from where
	// they are kept; nil: a hash of the decider's own.
	Home func(k Key, servers []string) string
	// Drains are servers that are about to be let out, or are, as of the number Seen of the state of outages.
	Drains    []Drain
	OutageSeq int64
}

const (
	freshPeriods = 4  // reports are believed for so many periods
	maxSpill     = 8  // uses in one region are at most so many times those in another
	spillWeight  = .1 // the weight of a step in the mean
	// takeoverDelay is how much takeoverDelay each next router writes a state that the one before it should have written.
	takeoverDelay = 250 * time.Millisecond
	// burstSeconds is for how long an idle link's part gathers.
	burstSeconds = 5.0
)

// Next gives the state that should take the place of the last, or nil while that may stand. now is of this process's own
// monotonic clock; only differences are used.
func (d *Decider) Next(v View, now time.Duration) *State {
	m := v.Model.Filled()
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
	d.usage.aggregate(m, fresh, d.Broken, d.abandoned)
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

// rank is this router's turn among those that report: how many come before it (rendezvous hashing).
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

// ageState is a copy of the last state with what has passed since this decider first read it taken off. A decider that takes over
// begins to count when it reads: a lease may last longer by that, never shorter.
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

// freshReports are the reports that were written anew not long ago, and tells which are new since the last step.
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

// updateCopies takes what reports say of copies, and releases those that are not to be believed in. It tells whether that is to be
// written. Leases are extended in batches, when one that was used has less than half left as it is written: at most six times
// a lease. A use that was not written when its decider ended is one that the next has not heard of.
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
		reason, cooldownMs := c.endReason(servers, v.Conditions, d.Broken), m.LeaseMs/4
		if status.Lost {
			reason = "it is reported lost"
		} else if revocation := v.revokedReason(s, c, d.Broken); reason == "" && revocation != "" {
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

// release forgets a copy, and has its prefix rest there for a while; 0: not at all.
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

// refillBudgets gives each link's copies their part of what it can carry.
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
