package consensus

import "time"

// ProgressState tells how the leader brings a member up to date.
type ProgressState uint8

// The states of a member's progress.
const (
	// StateProbe: one append at a time until the logs are known to agree.
	StateProbe ProgressState = iota + 1
	// StateReplicate: appends follow each other without waiting.
	StateReplicate
	// StateSnapshot: the member needs a snapshot.
	StateSnapshot
)

// String returns the name of the state.
func (state ProgressState) String() string {
	switch state {
	case StateProbe:
		return "probe"
	case StateReplicate:
		return "replicate"
	case StateSnapshot:
		return "snapshot"
	default:
		return "unknown"
	}
}

// progress is the leader's view of one member.
type progress struct {
	state ProgressState
	// match is the index up to which the member has the leader's log on disk.
	match Index
	// next is the index of the entry to send next.
	next Index
	// sentCommit is the commit index last sent.
	sentCommit Index
	// paused says that an answer is awaited before anything else is sent.
	paused bool
	// inflight are the last indexes of unanswered appends.
	inflight []Index
	// snapshot is the one being sent, from offset on.
	snapshot *Snapshot
	offset   uint64

	// contacted says that lastContact, the time of the latest answer, is set.
	contacted   bool
	lastContact time.Duration
	// acknowledged is when the latest answered message was sent.
	acknowledged time.Duration
}

// newProgress returns the view of a member nothing is known of.
func newProgress(next Index) *progress {
	return &progress{state: StateProbe, next: next, acknowledged: noContact}
}

// probeFrom looks for the place where the logs agree.
func (progress *progress) probeFrom(next Index) {
	progress.state = StateProbe
	progress.next = max(next, progress.match+1)
	progress.paused = false
	progress.inflight = nil
	progress.snapshot = nil
}

// replicateOn sends without waiting, from after the matched entry.
func (progress *progress) replicateOn() {
	progress.state = StateReplicate
	progress.next = progress.match + 1
	progress.paused = false
	progress.inflight = nil
	progress.snapshot = nil
}

// sendSnapshot begins to send a snapshot.
func (progress *progress) sendSnapshot(snapshot Snapshot) {
	progress.state = StateSnapshot
	progress.paused = false
	progress.inflight = nil
	progress.snapshot = &snapshot
	progress.offset = 0
}

// sent notes an append in flight.
func (progress *progress) sent(last Index) {
	progress.inflight = append(progress.inflight, last)
	progress.next = last + 1
}

// matched notes that the member's log agrees up to an index.
func (progress *progress) matched(index Index) {
	progress.match = max(progress.match, index)
	progress.next = max(progress.next, progress.match+1)
	for len(progress.inflight) > 0 && progress.inflight[0] <= progress.match {
		progress.inflight = progress.inflight[1:]
	}
}
