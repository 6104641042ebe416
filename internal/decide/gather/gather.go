// Package gather decides how the reports of a region's routers reach the fleet's deciders where one log can't carry each of
// them: one router of the region has the others send it theirs, and writes one record of all. It does no I/O and knows no clock:
// times are arguments, monotonic and of any origin, and what stands in records is elapsed time alone.
//
// The gatherer is the first of its region's registered routers by rendezvous hashing, and stays it while it writes. When its
// registration ends, or its record has stood for Terms.PeriodMs and Terms.TakeoverMs by the next one's clock, the next writes. A
// record is written in the place of the one that was read and under a live registration, so that a gatherer which was stopped and
// goes on writes nothing. What a new gatherer has not heard itself it keeps as late: what such routers counted and followed
// stands, what they saw is not believed until they have reported to it.
package gather

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sumacloft/internal/decide/turn"
)

// Format is that of the records that this program writes. A newer one is followed and never written over.
const Format = 1

// Settings are the times that a fleet gathers by. The zero values stand for Filled's.
type Settings struct {
	PeriodMs   float64 // between two records of a region; 2000
	TakeoverMs float64 // how long a record may be overdue until the next router writes; 3000
	Watchers   int     // how many of a region's routers watch its record: who gathers and those after it; 3
	MaxGone    int     // at most so many lines of routers that are gone are kept in a record; 64
}

// Filled gives the terms with their defaults.
func (s Settings) Filled() Settings {
	return Settings{cmp.Or(s.PeriodMs, 2000), cmp.Or(s.TakeoverMs, 3000), cmp.Or(s.Watchers, 3), cmp.Or(s.MaxGone, 64)}
}

// Fault is a rule that is broken on purpose, so that checkers can be shown to find it.
type Fault string

// The faults.
const (
	NoFence     Fault = "no-fence"    // a record is written whatever stands there, registered or not (the carrier breaks it)
	NoAges      Fault = "no-ages"     // a record does not say how old its lines are
	AgedSilence Fault = "silence"     // the age of a line is added to the silences that it tells of
	TrustsLast  Fault = "trusts-last" // a new gatherer passes on what the one before it heard as if it had heard it
)

// Entry is what one router reported last.
type Entry[R any] struct {
	Boot   string  `json:"boot"`
	Number int64   `json:"number"` // of the report; they count from 1 with each boot
	AgeMs  float64 `json:"age_ms"` // how long its gatherer had it when the record was made
	// Late says that the gatherer took the line from the record of another: nobody knows how old it is.
	Late   bool `json:"late,omitempty"`
	Report R    `json:"report"`
}

// newer tells whether a line is of a later report than another. Of two boots the one that is registered is taken before this is
// asked; else the one that came last.
func (e Entry[R]) newer(other Entry[R]) bool { return e.Boot != other.Boot || e.Number > other.Number }

// Record is what a region's routers reported, as one of them gathered it.
type Record[R any] struct {
	Format  int                 `json:"format"`
	Region  string              `json:"region"`
	Seq     int64               `json:"seq"`
	By      string              `json:"by"`
	Boot    string              `json:"boot"` // of By
	Entries map[string]Entry[R] `json:"lines"`
	Rev     int64               `json:"-"` // the store's revision of it
}

// Order is a region's routers in the order in which they would gather, by rendezvous hashing.
func Order(region string, routers []string) []string {
	weight := func(name string) uint64 { return xxhash.Sum64String("gather\x00" + region + "\x00" + name) }
	out := slices.Clone(routers)
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) })
	return out
}

// successor is the name that comes so many places successor one in an order that goes round; the first where that one is not in it.
func successor(order []string, name string, offset int) string {
	if len(order) == 0 {
		return ""
	}
	return order[(max(slices.Index(order, name), 0)+offset)%len(order)]
}

// Gatherer is one router's part in gathering for its region.
type Gatherer[R any] struct {
	Me, Boot, Region string
	Broken           Fault

	received map[string]receipt[R]
	ages     turn.RevisionAges
}

type receipt[R any] struct {
	Entry[R]
	at time.Duration
}

// Receive takes a router's report, this one's own too. A report that is older than what is there, or of the same number, is left.
func (g *Gatherer[R]) Receive(router string, entry Entry[R], now time.Duration) {
	if previous, ok := g.received[router]; ok && !entry.newer(previous.Entry) {
		return
	}
	if g.received == nil {
		g.received = map[string]receipt[R]{}
	}
	g.received[router] = receipt[R]{entry, now}
}

// Holder is the router that gathers, as far as this one can tell; live are the registered routers of the region with their boots,
// in any order.
func (g *Gatherer[R]) Holder(last *Record[R], live map[string]string, settings Settings, now time.Duration) string {
	names := make([]string, 0, len(live))
	for name := range live {
		names = append(names, name)
	}
	order := Order(g.Region, names)
	if last == nil || live[last.By] != last.Boot || last.Boot == "" {
		return successor(order, "", 0)
	}
	settings = settings.Filled()
	overdue := ms(g.ages.Age("", last.Rev, now)) - settings.PeriodMs
	return successor(order, last.By, int(max(overdue, 0)/settings.TakeoverMs))
}

// Watches tells whether this router has to watch its region's record: who gathers and those after it.
func (g *Gatherer[R]) Watches(last *Record[R], live map[string]string, settings Settings, now time.Duration) bool {
	names := make([]string, 0, len(live))
	for name := range live {
		names = append(names, name)
	}
	order, holder := Order(g.Region, names), g.Holder(last, live, settings, now)
	for i := range min(settings.Filled().Watchers, len(order)) {
		if successor(order, holder, i) == g.Me {
			return true
		}
	}
	return false
}

// Next is the record that should take the place of the last, or nil while that may stand or another's turn it is. It is to be
// written under a compare on the last one's revision and this router's registration.
func (g *Gatherer[R]) Next(last *Record[R], live map[string]string, settings Settings, now time.Duration) *Record[R] {
	settings = settings.Filled()
	if last != nil && last.Format > Format || live[g.Me] != g.Boot || g.Holder(last, live, settings, now) != g.Me {
		return nil
	}
	next := &Record[R]{Format: Format, Region: g.Region, Seq: 1, By: g.Me, Boot: g.Boot, Entries: map[string]Entry[R]{}}
	if last != nil {
		if ms(g.ages.Age("", last.Rev, now)) < settings.PeriodMs && last.By == g.Me && last.Boot == g.Boot {
			return nil
		}
		next.Seq = last.Seq + 1
	}
	for router, h := range g.received {
		entry := h.Entry
		if entry.AgeMs += ms(now - h.at); g.Broken == NoAges {
			entry.AgeMs = 0
		}
		next.Entries[router] = entry
	}
	if last != nil {
		for router, entry := range last.Entries {
			if own, ok := next.Entries[router]; ok && (own.Boot != entry.Boot && own.Boot == live[router] || own.Boot == entry.Boot && own.Number >= entry.Number) {
				continue
			}
			entry.Late = g.Broken != TrustsLast
			next.Entries[router] = entry
		}
	}
	g.trim(next, live, settings)
	return next
}

// trim forgets what is over of routers that are not registered any more, the oldest first; what is left of them is kept for what they counted.
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

// Sender is how a router finds who gathers for it: it reads nothing, and goes by the answers that it gets.
type Sender struct {
	Region string

	target string
	since  time.Duration // when to answered last, or was turned to
}

// Target is the router to send the next report to, itself too; registered are those of its region.
func (s *Sender) Target(registered []string, settings Settings, now time.Duration) string {
	order := Order(s.Region, registered)
	switch {
	case !slices.Contains(order, s.target):
		s.target, s.since = successor(order, "", 0), now
	case ms(now-s.since) >= settings.Filled().TakeoverMs:
		s.target, s.since = successor(order, s.target, 1), now
	}
	return s.target
}

// Answered notes an answer: that of who gathers, or one that names it.
func (s *Sender) Answered(by, holder string, now time.Duration) {
	switch {
	case by == holder && by == s.target:
		s.since = now
	case by != holder && holder != "":
		s.target, s.since = holder, now
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
