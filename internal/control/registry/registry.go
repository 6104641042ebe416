// Package registry is what a control member knows of the workers: heartbeats and leaves that it hears itself,
// and what other members tell. News becomes events in a bounded journal in memory, and views are folded from
// them. Each worker's state is also an entry of the replicated map; Merge takes in those of other members.
//
// Members converge because an entry's version compares finality first (up and lapsed, then leaving, then gone)
// and the call count next: whatever the order in which news arrives, the same entry wins everywhere, and no
// heartbeat undoes a leave. Heartbeats that bring no news stay with the member that heard them, so a quiet
// fleet sends nothing.
//
// A worker's home is the member that hears its heartbeats. The home declares it lapsed after a silence; if the
// home itself is dead, any member may (AdoptLapsed), and all that do so say the same.
//
// # Forgetting
//
// Gone and lapsed workers are kept for a grace, in which every member hears of them, and each member then drops
// them for itself (Expire). Members do so at slightly different times, so one may hear again of what it has
// dropped. It remembers the entry (replica.Forgotten), and:
//
//   - the same entry, or an older gone or lapsed one, is not news and is not taken in again;
//   - an older entry of a worker that is up or leaving comes from a member that missed the end: the forgotten
//     entry is brought back for another grace and returned as a change, so that this member hears of it;
//   - a newer entry is taken in, which for a gone worker can only be another tombstone.
//
// The grace must be far longer than gossip takes. A member that was cut off for longer is set right by the
// second rule as long as any member remembers; if none does, by the silence of the worker it believes in.
//
// The package performs no I/O, reads no clock and starts no goroutine; times are monotonic, from any origin.
// A Registry is not safe for concurrent use; its views are.
package registry

import (
	"strings"
	"time"

	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/tombstone"
)

// Defaults of Config.
const (
	DefaultHeartbeatTimeout = 5 * time.Second
	DefaultGrace            = tombstone.Grace
	DefaultJournalLimit     = 1024
)

// Config sets up a Registry. Values that are 0 take the defaults.
type Config struct {
	Self             string        // id of this control member; empty for a reader that only merges
	HeartbeatTimeout time.Duration // how long a worker may be silent before it lapses; several heartbeats
	Grace            time.Duration // how long gone and lapsed workers are kept
	JournalLimit     int           // events kept
}

func (c Config) withDefaults() Config {
	if c.HeartbeatTimeout <= 0 {
		c.HeartbeatTimeout = DefaultHeartbeatTimeout
	}
	if c.Grace <= 0 {
		c.Grace = DefaultGrace
	}
	if c.JournalLimit <= 0 {
		c.JournalLimit = DefaultJournalLimit
	}
	return c
}

// Registry is one member's knowledge of the workers. Make one with New.
type Registry struct {
	config     Config
	records    map[string]*record // by id
	journal    journal
	view       *View
	forgotten  *replica.Forgotten
	reappeared map[string]time.Duration // ids of forgotten workers heard of again, since when
	deadSince  map[string]time.Duration // homes, since when they are known to be dead

	lastCallAt   time.Duration // newest call that told the time
	hasLastCall  bool
	timeoutFloor time.Duration // silences count from here at the earliest
}

// record is what is known of one worker.
type record struct {
	worker     Worker
	entry      replica.Entry
	lastBeat   Worker        // as of its newest heartbeat here; its ID is empty if there was none
	lastSeenAt time.Duration // newest sign of life: a heartbeat here, or news from elsewhere
	changedAt  time.Duration // when it took on its state
}

// highestCallCount is the highest call count known here.
func (r *record) highestCallCount() uint64 {
	return max(r.worker.CallCount, r.lastBeat.CallCount)
}

// New makes a registry that knows no worker.
func New(config Config) *Registry {
	config = config.withDefaults()
	return &Registry{
		config:     config,
		records:    make(map[string]*record),
		journal:    newJournal(config.JournalLimit),
		view:       newView(),
		forgotten:  replica.NewForgotten(),
		reappeared: make(map[string]time.Duration),
		deadSince:  make(map[string]time.Duration),
	}
}

// Beat takes in a heartbeat and tells whether it is news, to be passed on. Every heartbeat is to be
// acknowledged, but a late one (its call count is not above the newest known) changes nothing, a leaving
// worker stays leaving, and a gone one stays gone.
func (r *Registry) Beat(now time.Duration, beat Beat) (changed bool) {
	r.observeClock(now)
	if r.isStale(beat) {
		return false
	}
	known := r.records[beat.ID]
	next := beat.worker(r.config.Self)
	if known != nil && known.worker.State == Leaving {
		next.State = Leaving
	}
	changed = known == nil || !equalIgnoringCounters(known.worker, next)
	if changed {
		r.put(now, BeatReceived, next)
	}
	stored := r.records[beat.ID]
	stored.lastBeat = next
	stored.lastSeenAt = now
	return changed
}

func (r *Registry) isStale(beat Beat) bool {
	if known := r.records[beat.ID]; known != nil {
		return known.worker.State == Gone || beat.CallCount <= known.highestCallCount()
	}
	previous, wasForgotten := r.forgottenWorker(beat.ID)
	return wasForgotten && (previous.State == Gone || beat.CallCount <= previous.CallCount)
}

// Leave takes in that a worker ends, and tells whether it is news. The call count is 0 if the worker did not
// give one. A worker that was never heard of is noted as gone too: its heartbeats may still be on their way.
func (r *Registry) Leave(now time.Duration, id string, callCount uint64) (changed bool) {
	r.observeClock(now)
	next := Worker{ID: id, CallCount: callCount}
	if known := r.records[id]; known != nil {
		next = known.worker
		next.CallCount = max(callCount, known.highestCallCount())
	} else if previous, wasForgotten := r.forgottenWorker(id); wasForgotten {
		next = previous
		next.CallCount = max(callCount, previous.CallCount)
	}
	if next.State == Gone {
		return false
	}
	next.State = Gone
	r.put(now, LeaveReceived, next)
	return true
}

// Entries lists the entries of all known workers, sorted by key.
func (r *Registry) Entries() []replica.Entry {
	entries := make([]replica.Entry, 0, len(r.records))
	for _, worker := range r.view.All() {
		entries = append(entries, r.records[worker.ID].entry)
	}
	return entries
}

// Entry is the entry of a worker that Lapse, AdoptLapsed or Merge returned, for the replicated map.
func (r *Registry) Entry(worker Worker) replica.Entry {
	return EntryOf(worker)
}

// Find is the present state of a worker, such as after Beat or Leave told of a change.
func (r *Registry) Find(id string) (Worker, bool) {
	return r.view.Worker(id)
}

// View is the present view.
func (r *Registry) View() *View {
	return r.view
}

// Events lists the events after the given sequence that the journal still holds, oldest first.
func (r *Registry) Events(after uint64) []Event {
	return r.journal.since(after)
}

// Merge takes in entries of the replicated map that other members brought, and returns the workers whose state
// changed. The entries of all of these are to be merged into the replicated map: most are there already, but
// some are this member's answer to gossip that it knows better. Entries of other kinds are skipped; those that
// cannot be read leave a BadGossip event.
func (r *Registry) Merge(now time.Duration, entries []replica.Entry) (changed []Worker) {
	r.observeClock(now)
	for _, entry := range entries {
		if !strings.HasPrefix(entry.Key, KeyPrefix) {
			continue
		}
		known := r.records[strings.TrimPrefix(entry.Key, KeyPrefix)]
		if known != nil && !entry.Supersedes(known.entry) {
			continue
		}
		worker, err := WorkerOf(entry)
		if err != nil {
			r.record(Event{At: now, Cause: InvalidGossip, Fault: err})
			continue
		}
		if updated, isChange := r.mergeOne(now, worker, entry); isChange {
			changed = append(changed, updated)
		}
	}
	return changed
}

func (r *Registry) mergeOne(now time.Duration, received Worker, entry replica.Entry) (updated Worker, isChange bool) {
	known := r.records[received.ID]
	if known == nil {
		return r.mergeUnknown(now, received, entry)
	}
	if !entry.Supersedes(known.entry) {
		return Worker{}, false
	}
	if !received.State.Final() && known.lastBeat.CallCount > received.CallCount {
		r.put(now, Corroborated, known.lastBeat)
		return known.lastBeat, true
	}
	wasGone := known.worker.State == Gone
	r.putGossip(now, Gossip, received)
	return received, !wasGone
}

// mergeUnknown takes in gossip of a worker that is not known, or no longer.
func (r *Registry) mergeUnknown(now time.Duration, received Worker, entry replica.Entry) (updated Worker, isChange bool) {
	forgotten, wasForgotten := r.forgotten.Get(entry.Key)
	if !wasForgotten {
		r.putGossip(now, Gossip, received)
		return received, true
	}
	previous, _ := r.forgottenWorker(received.ID)
	if entry.Supersedes(forgotten) {
		r.putGossip(now, Gossip, received)
		return received, previous.State != Gone
	}
	if !received.State.alive() {
		r.noteReappeared(now, received.ID)
		return Worker{}, false
	}
	r.putGossip(now, Remembered, previous)
	return previous, true
}

// noteReappeared notes that the replicated map may hold a tombstone again that is forgotten here.
func (r *Registry) noteReappeared(now time.Duration, id string) {
	if _, noted := r.reappeared[id]; !noted {
		r.reappeared[id] = now
	}
}

// forgottenWorker is the state in which a worker was forgotten.
func (r *Registry) forgottenWorker(id string) (Worker, bool) {
	entry, wasForgotten := r.forgotten.Get(Key(id))
	if !wasForgotten {
		return Worker{}, false
	}
	worker, err := WorkerOf(entry)
	return worker, err == nil
}

// putGossip puts news that was not heard from the worker itself but is a sign of life all the same.
func (r *Registry) putGossip(now time.Duration, cause Cause, worker Worker) {
	r.put(now, cause, worker)
	r.records[worker.ID].lastSeenAt = now
}

// put makes a state the present one and journals it.
func (r *Registry) put(now time.Duration, cause Cause, worker Worker) {
	known := r.records[worker.ID]
	if known == nil {
		known = &record{}
		r.records[worker.ID] = known
	}
	if known.worker.State != worker.State {
		known.changedAt = now
	}
	known.worker = worker
	known.entry = EntryOf(worker)
	delete(r.reappeared, worker.ID)
	r.record(Event{At: now, Cause: cause, Worker: worker})
}

func (r *Registry) record(event Event) {
	r.view = r.view.fold(r.journal.append(event))
}
