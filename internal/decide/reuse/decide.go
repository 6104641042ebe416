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
	Me     string
	Broken Fault

	base    mark
	mine    mark // what it gave last, which may have been written or not
	heard   map[string]heard
	used    map[int64]time.Duration // by copy: when its use was reported last
	words   map[int64]Word          // what was reported of copies that the state does not say yet
	uses    usage                   // of this step
	waits   bool
	due     time.Duration         // since when a state has been due that nobody wrote
	purse   map[[2]string]float64 // by link: tokens that copies may take now
	stepped time.Duration
	gone    float64  // the part of prefixes known that nobody uses any more
	likely  []likely // by the regions from and to
	spill   map[string]map[string]float64
}

// mark is the state that was read last, and when.
type mark struct {
	seq int64
	by  string
	at  time.Duration
}

type heard struct {
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
	// Leaving are servers that are about to be let out, or are, as of the number Seen of the state of outages.
	Leaving []Leaving
	Seen    int64
}

const (
	freshFor  = 4  // reports are believed for so many periods
	spillMost = 8  // uses in one region are at most so many times those in another
	spillRate = .1 // the weight of a step in the mean
	// later is how much later each next router writes a state that the one before it should have written.
	later = 250 * time.Millisecond
	// burst is for how long an idle link's part gathers.
	burst = 5.0
)

// Next gives the state that should take the place of the last, or nil while that may stand. now is of this process's own
// monotonic clock; only differences are used.
func (d *Decider) Next(v View, now time.Duration) *State {
	m := v.Model.Filled()
	s, elapsedMs := d.aged(v.Last, now)
	fresh := d.fresh(v.Reports, m, now)
	servers := map[string]Server{}
	for _, server := range v.Servers {
		servers[server.ID] = server
	}
	v = v.known(s)
	changed := d.keep(s, m, v, servers, fresh, now)
	if d.gone == 0 {
		d.gone, d.uses.at.salt = goneFirst, Key(xxhash.Sum64String(d.Me))
	}
	d.uses.gather(m, fresh, d.Broken, d.gone)
	uses := &d.uses
	changed = s.again(m, uses) || changed
	d.learn(m, s, uses)
	d.fill(m, elapsedMs)
	budgets := maps.Clone(d.purse)
	if d.order(s, m, v, uses) {
		changed = true
	}
	if changed && !d.waits {
		d.due = now
	}
	if d.waits = changed; !changed || now < d.due+time.Duration(d.rank(fresh))*later {
		d.purse = budgets
		return nil
	}
	s.Seq++
	s.By = d.Me
	s.Spill = d.spill
	d.mine = mark{s.Seq, s.By, now}
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
		listed = listed || r.Router == d.Me
		if r.Router != d.Me && weight(r.Router) < weight(d.Me) {
			earlier++
		}
	}
	if !listed {
		return 0
	}
	return earlier
}

// aged is a copy of the last state with what has passed since this decider first read it taken off. A decider that takes over
// begins to count when it reads: a lease may last longer by that, never shorter.
func (d *Decider) aged(last *State, now time.Duration) (*State, float64) {
	elapsedMs := ms(now - d.stepped)
	if d.stepped == 0 {
		elapsedMs = 0
	}
	d.stepped = now
	if last == nil {
		return &State{}, elapsedMs
	}
	switch matches := func(ref mark) bool { return ref.seq == last.Seq && ref.by == last.By }; {
	case matches(d.base):
	case matches(d.mine):
		d.base = d.mine
	default:
		d.base = mark{last.Seq, last.By, now}
	}
	s := *last
	sinceReadMs := ms(now - d.base.at)
	s.Copies, s.Rests, s.Notes = slices.Clone(last.Copies), nil, slices.Clone(last.Notes)
	for i := range s.Copies {
		s.Copies[i].LeftMs -= sinceReadMs
		s.Copies[i].AgeMs += sinceReadMs
	}
	for _, r := range last.Rests {
		if r.Asked {
			r.SinceMs += sinceReadMs
		}
		if r.LeftMs -= sinceReadMs; r.LeftMs > 0 || r.Asked {
			s.Rests = append(s.Rests, r)
		}
	}
	return &s, elapsedMs
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fresh are the reports that were written anew not long ago, and tells which are new since the last step.
func (d *Decider) fresh(reports []Report, m Model, now time.Duration) (fresh []Report) {
	if d.heard == nil {
		d.heard = map[string]heard{}
	}
	present := map[string]bool{}
	for _, r := range reports {
		present[r.Router] = true
		sighting, known := d.heard[r.Router]
		sighting.new = !known || sighting.rev != r.Rev
		if sighting.new {
			sighting.rev, sighting.at = r.Rev, now
		}
		d.heard[r.Router] = sighting
		if ms(now-sighting.at) <= freshFor*m.ReportMs {
			fresh = append(fresh, r)
		}
	}
	maps.DeleteFunc(d.heard, func(name string, _ heard) bool { return !present[name] })
	return fresh
}

// keep takes what reports say of copies, and releases those that are not to be believed in. It tells whether that is to be
// written. Leases are extended in batches, when one that was used has less than half left as it is written: at most six times
// a lease. A use that was not written when its decider ended is one that the next has not heard of.
func (d *Decider) keep(s *State, m Model, v View, servers map[string]Server, fresh []Report, now time.Duration) (changed bool) {
	if d.used == nil {
		d.used, d.words = map[int64]time.Duration{}, map[int64]Word{}
	}
	present := map[int64]bool{}
	for _, c := range s.Copies {
		present[c.ID] = true
	}
	for _, r := range fresh {
		if !d.heard[r.Router].new {
			continue
		}
		for _, status := range r.Copies {
			if status.Used > 0 {
				d.used[status.ID] = now
			}
			previous := d.words[status.ID]
			d.words[status.ID] = Word{ID: status.ID, Here: previous.Here || status.Here, Gone: previous.Gone || status.Gone}
		}
	}
	maps.DeleteFunc(d.words, func(id int64, _ Word) bool { return !present[id] })
	maps.DeleteFunc(d.used, func(id int64, _ time.Duration) bool { return !present[id] })
	kept := s.Copies[:0]
	for _, c := range s.Copies {
		status := d.words[c.ID]
		if status.Here && c.Phase == Ordered {
			c.Phase, c.LeftMs, changed = Here, m.LeaseMs, true
			s.note(c.ID, "here", fmt.Sprintf("after %.0f ms", c.AgeMs))
		}
		if usedAt, used := d.used[c.ID]; used && c.Phase == Here {
			belowHalf := c.LeftMs < m.LeaseMs/2
			leftBefore := c.LeftMs
			c.used(m.LeaseMs, ms(now-usedAt))
			s.found(&c)
			changed = changed || belowHalf && c.LeftMs > leftBefore
		}
		reason, cooldownMs := c.ended(servers, v.Conditions, d.Broken), m.LeaseMs/4
		if status.Gone {
			reason = "it is reported lost"
		} else if revocation := v.revoked(s, c, d.Broken); reason == "" && revocation != "" {
			reason, cooldownMs = revocation, 0
		}
		if reason == "" {
			kept = append(kept, c)
			continue
		}
		changed = true
		if reason == unused {
			cooldownMs = 2 * m.LeaseMs
		}
		s.release(c, cooldownMs, reason)
	}
	s.Copies = kept
	maps.DeleteFunc(d.used, func(id int64, _ time.Duration) bool {
		return !slices.ContainsFunc(kept, func(c Copy) bool { return c.ID == id })
	})
	return changed
}

// release forgets a copy, and has its prefix rest there for a while; 0: not at all.
func (s *State) release(c Copy, cooldownMs float64, reason string) {
	s.note(c.ID, "release", fmt.Sprintf("%016x at %s: %s", uint64(c.Prefix), c.To, reason))
	pending := s.let(c, cooldownMs, reason)
	if cooldownMs <= 0 {
		return
	}
	if len(s.Rests) == maxRests {
		s.over(&s.Rests[0], turn.Void)
		s.Rests = s.Rests[1:]
	}
	s.Rests = append(s.Rests, Rest{Prefix: c.Prefix, To: c.To, LeftMs: cooldownMs, Asked: pending})
}

func (s *State) note(id int64, kind, reason string) {
	if len(s.Notes) >= maxNotes {
		s.Notes = s.Notes[len(s.Notes)-maxNotes+1:]
	}
	s.Notes = append(s.Notes, Note{id, kind, reason})
}

// fill gives each link's copies their part of what it can carry.
func (d *Decider) fill(m Model, elapsedMs float64) {
	if d.purse == nil {
		d.purse = map[[2]string]float64{}
	}
	for _, l := range m.Links {
		rate := m.LinkShare * l.Rate
		key := [2]string{l.From, l.To}
		d.purse[key] = min(d.purse[key]+rate*elapsedMs/1000, rate*burst)
	}
}
