package registry

import (
	"time"
)

// Cause is the reason for a journal event.
type Cause uint8

// The causes of events.
const (
	BeatReceived     Cause = iota + 1 // a heartbeat changed the worker's state
	LeaveReceived                     // the worker announced its end
	HeartbeatTimeout                  // no heartbeat arrived within the timeout
	Gossip                            // another member's entry changed the state
	GraceExpired                      // the worker was dropped from the view after the grace period
	LocalPause                        // this member paused, and all timeouts were restarted; no worker
	InvalidGossip                     // an entry could not be decoded, see Fault; no worker
	Remembered                        // stale gossip conflicted with a forgotten tombstone, which was restored
	Corroborated                      // gossip was older than a heartbeat received here, which was published again
)

var causeNames = map[Cause]string{
	BeatReceived: "beat received", LeaveReceived: "leave received", HeartbeatTimeout: "heartbeat timeout", Gossip: "gossip",
	GraceExpired: "grace expired", LocalPause: "local pause", InvalidGossip: "invalid gossip", Remembered: "remembered",
	Corroborated: "corroborated",
}

// String returns the cause's name.
func (c Cause) String() string {
	if name, known := causeNames[c]; known {
		return name
	}
	return "unknown"
}

// Event is one record of the journal.
type Event struct {
	Sequence uint64        // from 1, without gaps
	At       time.Duration // on the caller's monotonic clock
	Cause    Cause
	Worker   Worker // state after the event; with GraceExpired, state before it
	Fault    error  // set with InvalidGossip
}

// journal is a bounded log of the newest events.
type journal struct {
	events []Event // a ring buffer once it is full
	limit  int
	last   uint64 // sequence number of the newest event
}

func newJournal(limit int) journal {
	return journal{limit: limit}
}

// append numbers and stores an event. It overwrites the oldest event if the journal is full.
func (j *journal) append(event Event) Event {
	j.last++
	event.Sequence = j.last
	if len(j.events) < j.limit {
		j.events = append(j.events, event)
	} else {
		j.events[j.slot(event.Sequence)] = event
	}
	return event
}

// since lists the stored events after the given sequence number, oldest first.
func (j *journal) since(sequence uint64) []Event {
	oldest := j.last - uint64(len(j.events)) + 1
	var events []Event
	for next := max(oldest, sequence+1); next <= j.last; next++ {
		events = append(events, j.events[j.slot(next)])
	}
	return events
}

func (j *journal) slot(sequence uint64) int {
	return int((sequence - 1) % uint64(j.limit))
}
