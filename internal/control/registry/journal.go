package registry

import (
	"time"
)

// Cause is why an event entered the journal.
type Cause uint8

// The causes of events.
const (
	BeatReceived     Cause = iota + 1 // a heartbeat brought news
	LeaveReceived                     // the worker said that it ends
	HeartbeatTimeout                  // no heartbeat came for too long
	Gossip                            // another member told
	GraceExpired                      // the worker was forgotten; it is no longer in the view
	LocalPause                        // this member stood still, and everyone was given fresh patience; no worker
	InvalidGossip                     // an entry could not be read; see Fault; no worker
	Remembered                        // old gossip contradicted a forgotten entry, which was brought back
	Corroborated                      // gossip fell short of what this member had heard itself, which was told anew
)

var causeNames = map[Cause]string{
	BeatReceived: "heard beat", LeaveReceived: "heard leave", HeartbeatTimeout: "fell silent", Gossip: "gossip",
	GraceExpired: "grace over", LocalPause: "own pause", InvalidGossip: "bad gossip", Remembered: "remembered",
	Corroborated: "corroborated",
}

// String is the cause's name.
func (c Cause) String() string {
	if name, known := causeNames[c]; known {
		return name
	}
	return "unknown"
}

// Event is one line of the journal.
type Event struct {
	Sequence uint64        // from 1, without gaps
	At       time.Duration // on the caller's monotonic clock
	Cause    Cause
	Worker   Worker // after the event; before it with GraceOver
	Fault    error  // with BadGossip
}

// journal keeps the newest events, up to its limit.
type journal struct {
	events []Event // a ring once it is full
	limit  int
	last   uint64 // sequence of the newest event
}

func newJournal(limit int) journal {
	return journal{limit: limit}
}

// append numbers and keeps an event, in place of the oldest one if the journal is full.
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

// since lists the kept events that follow the given sequence, oldest first.
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
