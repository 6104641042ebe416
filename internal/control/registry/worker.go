package registry

import (
	"slices"
	"time"

	"sumacloft/internal/mesh/replica"
)

// State is a worker's position in its life cycle.
type State uint8

// The states of workers. Leaving and Gone are final: a worker with the same id never becomes Up again.
const (
	Up      State = iota + 1 // its heartbeats report it as up
	Leaving                  // it announced its end; it finishes its requests and must get no new ones
	Lapsed                   // its heartbeats timed out; it is up again if they resume
	Gone                     // it ended, or its heartbeats timed out while it was leaving
)

var stateNames = map[State]string{Up: "up", Leaving: "leaving", Lapsed: "lapsed", Gone: "gone"}

// String returns the state's name.
func (s State) String() string {
	if name, known := stateNames[s]; known {
		return name
	}
	return "unknown"
}

// Final reports whether a worker in this state can never become Up again.
func (s State) Final() bool {
	return s == Leaving || s == Gone
}

// alive reports whether a worker in this state is expected to send heartbeats.
func (s State) alive() bool {
	return s == Up || s == Leaving
}

// Model is a model whose weights are loaded in a worker.
type Model struct {
	Name    string
	Version int
	AddOns  []string
}

// Worker is the state of one incarnation of a worker. Returned values must not be modified.
type Worker struct {
	ID       string // unique to each start of the worker
	Service  string // may be empty for a Gone worker of which only the leave was received
	Address  string // host:port
	Zone     string
	Version  string // software version
	Capacity int    // concurrent requests; 0 if not reported
	State    State
	ColdLeft time.Duration // remaining time of slow responses after its start, as of the latest change
	Phase    string        // its phase in split serving, as the worker names it; empty if it has none
	Models   []Model
	// CallCount is the worker's call counter at the latest change. Heartbeats that change nothing do not raise it.
	CallCount uint64
	Home      string // the control member that receives its heartbeats and detects their timeout
}

// compareByID orders workers by id.
func compareByID(a, b Worker) int {
	switch {
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	}
	return 0
}

func sortedByID(workers []Worker) []Worker {
	slices.SortFunc(workers, compareByID)
	return workers
}

// finality is the Major part of an entry's version.
func (s State) finality() uint64 {
	switch s {
	case Leaving:
		return 1
	case Gone:
		return 2
	}
	return 0
}

// lapsedMinor is added to twice the call count in the Minor part of a lapsed worker's version.
const lapsedMinor = 1

// version orders the states of one worker. Finality is compared first, so that no heartbeat received by another member
// undoes a leave, however high its call count. At equal finality the higher call count wins. At equal call counts a lapse
// follows the last heartbeat before the timeout.
func (w Worker) version() replica.Version {
	version := replica.Version{Major: w.State.finality(), Minor: w.CallCount * 2}
	if w.State == Lapsed {
		version.Minor += lapsedMinor
	}
	return version
}
