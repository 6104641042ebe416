// Package registry tracks the state of workers at a control member. The state comes from heartbeats and leave calls
// received here and from the entries of other members. Changes are recorded as events in a bounded in-memory journal,
// and each event yields a new immutable View. Each worker's state is also an entry of the replicated map. Merge applies
// the entries of other members.
//
// Members converge because entry versions are totally ordered: by finality first (up and lapsed, then leaving, then
// gone), then by call count. The same entry wins at every member in whatever order updates arrive, and no heartbeat
// undoes a leave. Heartbeats that change nothing stay with the member that received them, so an idle fleet sends no
// updates.
//
// A worker's home is the member that receives its heartbeats. The home declares the worker lapsed after a heartbeat
// timeout. If the home itself is dead, any member may do so (AdoptLapsed), and all that do produce the same entry.
//
// # Forgetting
//
// Gone and lapsed workers are kept for a grace period, in which every member learns of them. Each member then drops them
// independently (Expire), at a slightly different time, so it may receive again an entry that it has dropped. It keeps
// the dropped entry (replica.Forgotten) and applies these rules:
//
//   - The same entry, or an older gone or lapsed one, is ignored.
//   - An older entry of a worker that is up or leaving comes from a member that missed the end. The forgotten entry is
//     restored for another grace period and returned as a change, so that the other member learns of it.
//   - A newer entry is applied. For a gone worker it can only be another tombstone.
//
// The grace period must be far longer than gossip takes to reach all members. A member that was partitioned for longer is
// corrected by the second rule as long as any member keeps the forgotten entry, and otherwise by the worker's heartbeat
// timeout.
//
// The package performs no I/O, reads no clock and starts no goroutine. Times are monotonic, from any origin.
// A Registry is not safe for concurrent use. Its views are.
package registry

import (
	"strings"
	"time"

	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/tombstone"
)

// Defaults for Config.
const (
	DefaultHeartbeatTimeout = 5 * time.Second
	DefaultGrace            = tombstone.Grace
	DefaultJournalLimit     = 1024
	DefaultMaxWorkers       = 4096
)

// Config configures a Registry. Zero values take the defaults.
type Config struct {
	Self             string        // id of this control member; empty for a reader, which only merges
	HeartbeatTimeout time.Duration // time without a heartbeat after which a worker lapses; several heartbeat intervals
	Grace            time.Duration // retention period of gone and lapsed workers
	JournalLimit     int           // number of events kept
	MaxWorkers       int           // number of workers that may be known, gone ones included
}

func (c Config) withDefaults() Config {
	if c.HeartbeatTimeout <= 0 {
		c.HeartbeatTimeout = DefaultHeartbeatTimeout
	}
	if c.Grace <= 0 {
		c.Grace = DefaultGrace
	}
	if c.MaxWorkers <= 0 {
		c.MaxWorkers = DefaultMaxWorkers
	}
	if c.JournalLimit <= 0 {
		c.JournalLimit = DefaultJournalLimit
	}
	return c
}

// Registry is one member's state of all workers. Use New to create one.
type Registry struct {
	config     Config
	records    map[string]*record // by id
	journal    journal
	view       *View
	forgotten  *replica.Forgotten
	reappeared map[string]time.Duration // when tombstones of forgotten workers were received again, by id
	deadSince  map[string]time.Duration // when homes were first reported dead, by home

	lastCallAt   time.Duration // latest time passed by a caller
	hasLastCall  bool
	timeoutFloor time.Duration // earliest start of any heartbeat timeout
}

// record is the state of one worker.
type record struct {
	worker     Worker
	entry      replica.Entry
	lastBeat   Worker        // state as of the newest heartbeat received here; its ID is empty if there was none
	lastSeenAt time.Duration // time of the newest heartbeat here or change from another member
	changedAt  time.Duration // time of the latest change of State
}

// highestCallCount returns the highest call count known here.
func (r *record) highestCallCount() uint64 {
	return max(r.worker.CallCount, r.lastBeat.CallCount)
}

// New creates an empty registry.
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

// Admits reports whether a call of a worker may be recorded: the worker is known, or there is place for one more.
func (r *Registry) Admits(id string) bool {
	return r.records[id] != nil || len(r.records) < r.config.MaxWorkers
}

// Beat applies a heartbeat and reports whether it changed the worker's state, which must then be published. Every
// heartbeat is to be acknowledged, but a stale one (its call count is not above the newest known) changes nothing. A
// leaving worker stays leaving, and a gone one stays gone.
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

// Leave marks a worker as gone and reports whether that is a change. The call count is 0 if the worker did not send one.
// An unknown worker is recorded as gone too, since its heartbeats may still be in flight.
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

// Entries returns the entries of all known workers, sorted by key.
func (r *Registry) Entries() []replica.Entry {
	entries := make([]replica.Entry, 0, len(r.records))
	for _, worker := range r.view.All() {
		entries = append(entries, r.records[worker.ID].entry)
	}
	return entries
}

// Entry returns the replicated entry of a worker that Lapse, AdoptLapsed or Merge returned.
func (r *Registry) Entry(worker Worker) replica.Entry {
	return EntryOf(worker)
}

// Find returns the present state of a worker, for example after Beat or Leave reported a change.
func (r *Registry) Find(id string) (Worker, bool) {
	return r.view.Worker(id)
}

// View returns the present view.
func (r *Registry) View() *View {
	return r.view
}

// Events returns the events after the given sequence number that the journal still holds, oldest first.
func (r *Registry) Events(after uint64) []Event {
	return r.journal.since(after)
}

// Merge applies entries of the replicated map that came from other members, and returns the workers whose state changed.
// The caller must merge the entries of all of these into the replicated map. Most are there already, but some are newer
// states with which this member answers stale gossip. Entries with other key prefixes are skipped. Entries that cannot be
// decoded leave an InvalidGossip event.
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

// mergeUnknown applies gossip about a worker that is unknown or forgotten here.
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

// noteReappeared records that the replicated map may hold a tombstone again that was forgotten here.
func (r *Registry) noteReappeared(now time.Duration, id string) {
	if _, noted := r.reappeared[id]; !noted {
		r.reappeared[id] = now
	}
}

// forgottenWorker returns the state in which a worker was forgotten.
func (r *Registry) forgottenWorker(id string) (Worker, bool) {
	entry, wasForgotten := r.forgotten.Get(Key(id))
	if !wasForgotten {
		return Worker{}, false
	}
	worker, err := WorkerOf(entry)
	return worker, err == nil
}

// putGossip applies a change that came from another member and that counts as a sign of life.
func (r *Registry) putGossip(now time.Duration, cause Cause, worker Worker) {
	r.put(now, cause, worker)
	r.records[worker.ID].lastSeenAt = now
}

// put sets a worker's present state and records the event.
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
