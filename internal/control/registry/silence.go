package registry

import (
	"slices"
	"time"
)

// observeClock detects a pause of this member: no call for longer than half the heartbeat timeout. Heartbeats may have
// been lost or may still be queued, so all timeouts restart at the present call. A reader without an id tracks no
// timeouts.
func (r *Registry) observeClock(now time.Duration) {
	isReader := r.config.Self == ""
	if r.hasLastCall && !isReader && now-r.lastCallAt > r.config.HeartbeatTimeout/2 {
		r.timeoutFloor = now
		r.record(Event{At: now, Cause: LocalPause})
	}
	r.hasLastCall = true
	r.lastCallAt = max(r.lastCallAt, now)
}

// Lapse ends the workers whose home is this member and whose heartbeats timed out. Workers that were up become lapsed,
// workers that were leaving become gone. It returns them sorted by id, to be published. It must be called several times
// within the heartbeat timeout, since a longer gap between calls counts as a pause of this member and restarts all
// timeouts.
func (r *Registry) Lapse(now time.Duration) []Worker {
	r.observeClock(now)
	return r.lapse(now, func(known *record) (since time.Duration, responsible bool) {
		return known.lastSeenAt, known.worker.Home == r.config.Self
	})
}

// AdoptLapsed is like Lapse, for workers whose home is dead. deadHomes lists all homes that are known to be dead at
// present. A worker's timeout starts when its home was first listed, or at a later change of its state, which gives it
// time to reach another member.
func (r *Registry) AdoptLapsed(now time.Duration, deadHomes []string) []Worker {
	r.observeClock(now)
	r.updateDeadHomes(now, deadHomes)
	return r.lapse(now, func(known *record) (since time.Duration, responsible bool) {
		deadSince, dead := r.deadSince[known.worker.Home]
		return max(known.lastSeenAt, deadSince), dead
	})
}

// Homes lists the homes of the workers that are up or leaving, sorted. The caller passes those that are not live
// members to AdoptLapsed.
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

// lapse ends the workers that this member is responsible for and that were last seen longer ago than the timeout.
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

// timedOut returns the state of a worker after its heartbeat timeout.
func (r *record) timedOut() Worker {
	next := r.worker
	next.CallCount = r.highestCallCount()
	next.State = Lapsed
	if r.worker.State == Leaving {
		next.State = Gone
	}
	return next
}

// Expire drops the gone and lapsed workers whose grace period has passed. It returns the sorted keys of their entries
// for replica.Map.Forget, including those of workers that were dropped earlier and that gossip reintroduced. Every
// member does so independently. The package comment explains why slow gossip does not revive workers.
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
