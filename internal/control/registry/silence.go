package registry

import (
	"slices"
	"time"
)

// observeClock notices when this member itself stood still: no call came for longer than half the silence. Heartbeats
// may have been lost or be waiting meanwhile, so that all silences count anew from now. A mere reader has no
// silences to count.
func (r *Registry) observeClock(now time.Duration) {
	isReader := r.config.Self == ""
	if r.hasLastCall && !isReader && now-r.lastCallAt > r.config.HeartbeatTimeout/2 {
		r.timeoutFloor = now
		r.record(Event{At: now, Cause: LocalPause})
	}
	r.hasLastCall = true
	r.lastCallAt = max(r.lastCallAt, now)
}

// Lapse declares the workers whose home is this member and that were silent for too long: those that were up
// are lapsed, those that were leaving are gone. It returns them sorted by id; they are to be passed on. It has
// to be called several times within the silence, since a longer gap between calls is taken for a halt of this
// member's own, after which everyone is given fresh patience.
func (r *Registry) Lapse(now time.Duration) []Worker {
	r.observeClock(now)
	return r.lapse(now, func(known *record) (since time.Duration, responsible bool) {
		return known.lastSeenAt, known.worker.Home == r.config.Self
	})
}

// AdoptLapsed does as Lapse does for workers whose home is dead. deadHomes lists all homes known to be dead at
// present. A worker is given the silence, from when its home was first listed or from newer news of it, to be
// heard by another member.
func (r *Registry) AdoptLapsed(now time.Duration, deadHomes []string) []Worker {
	r.observeClock(now)
	r.updateDeadHomes(now, deadHomes)
	return r.lapse(now, func(known *record) (since time.Duration, responsible bool) {
		deadSince, dead := r.deadSince[known.worker.Home]
		return max(known.lastSeenAt, deadSince), dead
	})
}

// Homes lists the homes of the workers that are up or leaving, sorted. Those that are no living member are to be
// given to AdoptLapsed.
func (r *Registry) Homes() []string {
	var homes []string
	for _, known := range r.records {
		if known.worker.State.alive() {
			homes = append(homes, known.worker.Home)
		}
	}
	slices.Sort(homes)
	return slices.Compact(homes)
}

func (r *Registry) updateDeadHomes(now time.Duration, deadHomes []string) {
	deadSince := make(map[string]time.Duration, len(deadHomes))
	for _, home := range deadHomes {
		since, known := r.deadSince[home]
		if !known {
			since = now
		}
		if home != r.config.Self {
			deadSince[home] = since
		}
	}
	r.deadSince = deadSince
}

// lapse ends the workers that are this member's to judge and were silent since the time that judge gives.
func (r *Registry) lapse(now time.Duration, lastSeen func(*record) (since time.Duration, responsible bool)) []Worker {
	var ended []Worker
	for _, known := range r.records {
		if !known.worker.State.alive() {
			continue
		}
		since, responsible := lastSeen(known)
		if responsible && now-max(since, r.timeoutFloor) > r.config.HeartbeatTimeout {
			ended = append(ended, known.timedOut())
		}
	}
	for _, worker := range sortedByID(ended) {
		r.put(now, HeartbeatTimeout, worker)
	}
	return ended
}

// timedOut is the state of a worker after it fell silent.
func (r *record) timedOut() Worker {
	next := r.worker
	next.CallCount = r.highestCallCount()
	next.State = Lapsed
	if r.worker.State == Leaving {
		next.State = Gone
	}
	return next
}

// Expire drops the gone and lapsed workers whose grace has passed. It returns the keys of their entries, sorted,
// for replica.Map.Forget; among them are those of workers dropped before that gossip brought back. Every member
// does so for itself. The package comment tells why slow gossip brings nobody back to life.
func (r *Registry) Expire(now time.Duration) []string {
	r.observeClock(now)
	var keys []string
	for _, worker := range r.view.All() {
		known := r.records[worker.ID]
		if worker.State.alive() || now-known.changedAt <= r.config.Grace {
			continue
		}
		r.drop(now, known)
		keys = append(keys, known.entry.Key)
	}
	for id, since := range r.reappeared {
		if now-since > r.config.Grace {
			delete(r.reappeared, id)
			keys = append(keys, Key(id))
		}
	}
	slices.Sort(keys)
	return keys
}

func (r *Registry) drop(now time.Duration, known *record) {
	delete(r.records, known.worker.ID)
	r.forgotten.Add(known.entry)
	r.record(Event{At: now, Cause: GraceExpired, Worker: known.worker})
}
