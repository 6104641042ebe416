// Package gather decides how the reports of a region's routers reach the fleet's deciders when one log can't carry each report
// separately: one router of the region collects the reports of the others and writes one record with all of them. It does no
// I/O and reads no clock: times are arguments, monotonic and of any origin, and records contain elapsed times only.
//
// The gatherer is the first of the region's registered routers by rendezvous hashing, and remains it while it writes. If its
// registration ends, or its record is overdue by Settings.TakeoverMs by the clock of the next router, that router writes. A
// record replaces the revision that was read and requires a live registration, so a gatherer that was paused and resumes writes
// nothing. Entries that a new gatherer has not received itself are kept as late: what those routers counted and followed
// remains valid, but what they observed is not used until they have reported to the new gatherer.
package gather

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sumacloft/internal/decide/turn"
)

// Format is the format of the records that this program writes. A record of a newer format is read and never overwritten.
const Format = 1

// Settings configure gathering. WithDefaults replaces zero values by defaults.
type Settings struct {
	PeriodMs   float64 // between two records of a region; default 2000
	TakeoverMs float64 // how long a record may be overdue until the next router writes; default 3000
	Watchers   int     // how many routers watch the region's record: the gatherer and those after it; default 3
	MaxGone    int     // maximum number of entries of unregistered routers in a record; default 64
}

// WithDefaults returns the settings with defaults for zero values.
func (s Settings) WithDefaults() Settings {
	return Settings{cmp.Or(s.PeriodMs, 2000), cmp.Or(s.TakeoverMs, 3000), cmp.Or(s.Watchers, 3), cmp.Or(s.MaxGone, 64)}
}

// Fault is a rule that is broken on purpose, to test that the checkers detect it.
type Fault string

// Injected faults.
const (
	NoFence     Fault = "no-fence"    // a record is written whatever the current revision, even by an unregistered router (injected by the caller)
	NoAges      Fault = "no-ages"     // a record does not include the ages of its entries
	AgedSilence Fault = "silence"     // the age of an entry is added to the silence times in its report
	TrustsLast  Fault = "trusts-last" // a new gatherer passes on entries of its predecessor as if it had received them
)

// Entry is the last report of one router.
type Entry[R any] struct {
	Boot   string  `json:"boot"`
	Number int64   `json:"number"` // of the report, starting at 1 with each boot
	AgeMs  float64 `json:"age_ms"` // time from the receipt of the report to the record
	// Late is set if the gatherer took the entry from another gatherer's record, so that its age is unknown.
	Late   bool `json:"late,omitempty"`
	Report R    `json:"report"`
}

// newer reports whether an entry is of a later report than another. Of entries with different boots the one received last is
// newer; callers first choose the one whose boot is registered.
func (e Entry[R]) newer(other Entry[R]) bool { return e.Boot != other.Boot || e.Number > other.Number }

// Record contains the reports of a region's routers as collected by one of them.
type Record[R any] struct {
	Format  int                 `json:"format"`
	Region  string              `json:"region"`
	Seq     int64               `json:"seq"`
	By      string              `json:"by"`
	Boot    string              `json:"boot"` // boot of the router named in By
	Entries map[string]Entry[R] `json:"lines"`
	Rev     int64               `json:"-"` // the record's revision in the store
}

// Order returns a region's routers in the order in which they take over as gatherer, by rendezvous hashing.
func Order(region string, routers []string) []string {
	weight := func(name string) uint64 { return xxhash.Sum64String("gather\x00" + region + "\x00" + name) }
	out := slices.Clone(routers)
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) })
	return out
}

// successor returns the name at an offset after the given one in a circular order. A name that is not in the order counts as
// the first.
func successor(order []string, name string, offset int) string {
	if len(order) == 0 {
		return ""
	}
	return order[(max(slices.Index(order, name), 0)+offset)%len(order)]
}

// Gatherer is one router's part in gathering for its region.
type Gatherer[R any] struct {
	Router, Boot, Region string
	Fault                Fault

	received map[string]receipt[R]
	ages     turn.RevisionAges
}

type receipt[R any] struct {
	Entry[R]
	at time.Duration
}

// Receive stores a router's report, including this router's own. A report that is not newer than the stored one is dropped.
func (g *Gatherer[R]) Receive(router string, entry Entry[R], now time.Duration) {
	if previous, ok := g.received[router]; ok && !entry.newer(previous.Entry) {
		return
	}
	if g.received == nil {
		g.received = map[string]receipt[R]{}
	}
	g.received[router] = receipt[R]{entry, now}
}

// Holder returns the router that currently gathers, as far as this router can tell. live maps the registered routers of the
// region to their boots.
func (g *Gatherer[R]) Holder(last *Record[R], live map[string]string, settings Settings, now time.Duration) string {
	names := make([]string, 0, len(live))
	for name := range live {
		names = append(names, name)
	}
	order := Order(g.Region, names)
	if last == nil || live[last.By] != last.Boot || last.Boot == "" {
		return successor(order, "", 0)
	}
	settings = settings.WithDefaults()
	overdue := ms(g.ages.Age("", last.Rev, now)) - settings.PeriodMs
	return successor(order, last.By, int(max(overdue, 0)/settings.TakeoverMs))
}

// Watches reports whether this router has to watch its region's record: the gatherer and the routers after it do.
func (g *Gatherer[R]) Watches(last *Record[R], live map[string]string, settings Settings, now time.Duration) bool {
	names := make([]string, 0, len(live))
	for name := range live {
		names = append(names, name)
	}
	order, holder := Order(g.Region, names), g.Holder(last, live, settings, now)
	for i := range min(settings.WithDefaults().Watchers, len(order)) {
		if successor(order, holder, i) == g.Router {
			return true
		}
	}
	return false
}

// Next returns the record that should replace the last one, or nil if it is not due or not this router's turn. The caller
// writes it only if the last revision and this router's registration are unchanged.
func (g *Gatherer[R]) Next(last *Record[R], live map[string]string, settings Settings, now time.Duration) *Record[R] {
	settings = settings.WithDefaults()
	if last != nil && last.Format > Format || live[g.Router] != g.Boot || g.Holder(last, live, settings, now) != g.Router {
		return nil
	}
	next := &Record[R]{Format: Format, Region: g.Region, Seq: 1, By: g.Router, Boot: g.Boot, Entries: map[string]Entry[R]{}}
	if last != nil {
		if ms(g.ages.Age("", last.Rev, now)) < settings.PeriodMs && last.By == g.Router && last.Boot == g.Boot {
			return nil
		}
		next.Seq = last.Seq + 1
	}
	for router, h := range g.received {
		entry := h.Entry
		if entry.AgeMs += ms(now - h.at); g.Fault == NoAges {
			entry.AgeMs = 0
		}
		next.Entries[router] = entry
	}
	if last != nil {
		for router, entry := range last.Entries {
			if own, ok := next.Entries[router]; ok && (own.Boot != entry.Boot && own.Boot == live[router] ||
				own.Boot == entry.Boot && own.Number >= entry.Number) {
				continue
			}
			entry.Late = g.Fault != TrustsLast
			next.Entries[router] = entry
		}
	}
	g.trim(next, live, settings)
	return next
}

// trim drops the oldest entries of unregistered routers above the maximum. The remaining ones are kept for their counts.
func (g *Gatherer[R]) trim(next *Record[R], live map[string]string, settings Settings) {
	var gone []string
	for router, entry := range next.Entries {
		if live[router] != entry.Boot {
			gone = append(gone, router)
		}
	}
	slices.SortFunc(gone, func(a, b string) int {
		return cmp.Or(cmp.Compare(next.Entries[a].AgeMs, next.Entries[b].AgeMs), cmp.Compare(a, b))
	})
	for _, router := range gone[min(settings.MaxGone, len(gone)):] {
		delete(next.Entries, router)
		delete(g.received, router)
	}
}

// Sender finds the gatherer for a router. It reads no records and relies on the answers that it receives.
type Sender struct {
	Region string

	target string
	since  time.Duration // when target last answered or was chosen
}

// Target returns the router to which the next report is sent, possibly this router itself. registered are the routers of the
// region.
func (s *Sender) Target(registered []string, settings Settings, now time.Duration) string {
	order := Order(s.Region, registered)
	switch {
	case !slices.Contains(order, s.target):
		s.target, s.since = successor(order, "", 0), now
	case ms(now-s.since) >= settings.WithDefaults().TakeoverMs:
		s.target, s.since = successor(order, s.target, 1), now
	}
	return s.target
}

// Answered records an answer, either from the gatherer or from a router that names it.
func (s *Sender) Answered(by, holder string, now time.Duration) {
	switch {
	case by == holder && by == s.target:
		s.since = now
	case by != holder && holder != "":
		s.target, s.since = holder, now
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
