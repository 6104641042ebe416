// Package detector detects failed members from missing heartbeats. It serves the router that receives the heartbeats.
// It decides from the events and times passed in (monotonic, from any origin); it performs no I/O and starts no
// goroutine. A Detector is not safe for concurrent use.
package detector

import (
	"cmp"
	"slices"
	"time"
)

// Down reports a member that sent no heartbeat for longer than the timeout.
type Down struct {
	ID          string
	Incarnation uint64        // the newest received; 0 if no heartbeat was received
	Silent      time.Duration // time since the last heartbeat when the timeout was detected
}

// Pause reports that the watching process itself was halted or short of processor time. Heartbeats may have been lost
// meanwhile, so the timeout of every member was restarted. Callers should log it.
type Pause struct {
	Length time.Duration // between the two checks
}

// Detector watches a set of members. Use New.
type Detector struct {
	timeout   time.Duration
	members   map[string]*member
	checkedAt time.Duration
	started   bool
	pause     *Pause
}

type member struct {
	incarnation   uint64
	lastHeartbeat time.Duration // last heartbeat, or when the timeout was started
	down          bool          // reported, and no heartbeat received since
}

// New makes a detector that reports members without a heartbeat for longer than timeout. Check has to be called several
// times within timeout.
func New(timeout time.Duration) *Detector {
	return &Detector{timeout: timeout, members: make(map[string]*member)}
}

// Expect sets the members to watch. Members not listed are dropped. A member newly listed has the full timeout, from now,
// for its first heartbeat.
func (d *Detector) Expect(now time.Duration, ids []string) {
	d.start(now)
	expected := make(map[string]*member, len(ids))
	for _, id := range ids {
		if known, watched := d.members[id]; watched {
			expected[id] = known
			continue
		}
		expected[id] = &member{lastHeartbeat: now}
	}
	d.members = expected
}

// Heartbeat records a heartbeat. It ignores members that are not watched and incarnations older than the newest.
// It reports whether a member that had been reported as down is back.
func (d *Detector) Heartbeat(now time.Duration, id string, incarnation uint64) (back bool) {
	known, watched := d.members[id]
	if !watched || incarnation < known.incarnation {
		return false
	}
	back = known.down
	known.incarnation = incarnation
	known.lastHeartbeat = now
	known.down = false
	return back
}

// Check reports the members whose timeout has newly expired, sorted by id. Each is reported once, until its next heartbeat.
// If Check was not called for longer than half the timeout, it reports no member and restarts the timeouts of all
// (see TakePause).
func (d *Detector) Check(now time.Duration) []Down {
	d.start(now)
	length := now - d.checkedAt
	d.checkedAt = now
	if length > d.timeout/2 {
		d.restartTimeouts(now, length)
		return nil
	}
	return d.collect(now)
}

// TakePause returns the newest pause of the watching process that was not yet returned.
func (d *Detector) TakePause() (Pause, bool) {
	if d.pause == nil {
		return Pause{}, false
	}
	taken := *d.pause
	d.pause = nil
	return taken, true
}

func (d *Detector) start(now time.Duration) {
	if !d.started {
		d.started = true
		d.checkedAt = now
	}
}

func (d *Detector) restartTimeouts(now, length time.Duration) {
	d.pause = &Pause{Length: length}
	for _, known := range d.members {
		known.lastHeartbeat = now
	}
}

func (d *Detector) collect(now time.Duration) []Down {
	var downs []Down
	for id, known := range d.members {
		silent := now - known.lastHeartbeat
		if known.down || silent <= d.timeout {
			continue
		}
		known.down = true
		downs = append(downs, Down{ID: id, Incarnation: known.incarnation, Silent: silent})
	}
	slices.SortFunc(downs, func(a, b Down) int { return cmp.Compare(a.ID, b.ID) })
	return downs
}
