package coordination

import "github.com/fxamacker/cbor/v2"

// Bounds of a partition's state. A call for a name beyond them is answered Full.
const (
	MaxLocks  = 100_000
	MaxGroups = 10_000
	MaxKeys   = 100_000
	// MaxHistoryBytes bounds the events that are remembered. Beyond it the oldest of the group with a put are dropped, also
	// before their time.
	MaxHistoryBytes = 8 << 20
)

// Faults are deliberate violations, for the tests of the tests. All are off outside tests.
type Faults struct {
	GrantLapsed  bool // a lock goes to whoever says that some holding of it has lapsed, whichever it was
	FencePerLock bool // fences are counted from 1 for each holding of a lock that is not remembered
	ForgetPuts   bool // a put that comes again is not recognised
	ShortenHolds bool // a grant for less time ends those before it
	KeepFence    bool // the owner that asks again keeps its fence, so that a late Finish ends the later holding
	TrustSilence bool // a grant that its owner has not repeated within a second is taken for received: it ends those before it
}

// State is the state of one partition. Use New.
type State struct {
	locks   map[string]*Holding
	cells   map[string]*cellGroup
	keys    int // in all groups
	history int // bytes of all remembered events
	faults  Faults
}

// New returns an empty state.
func New() *State { return NewBroken(Faults{}) }

// NewBroken returns an empty state that is broken on purpose.
func NewBroken(faults Faults) *State {
	return &State{locks: map[string]*Holding{}, cells: map[string]*cellGroup{}, faults: faults}
}

// Outcome is what a command did: the answer to its caller, and what it touched.
type Outcome struct {
	Answer
	Held string // name of the lock whose holding was granted or renewed; empty: none
	Put  string // group of keys that has a new event, of the answer's revision; empty: none
}

// Apply applies the command at an index of the log. Indexes rise, over restarts and losses too, so they serve as fences and
// numbers.
func (s *State) Apply(index uint64, entry []byte) Outcome {
	var c command
	if cbor.Unmarshal(entry, &c) != nil {
		return Outcome{Answer: Answer{Status: Unclear}} // of a later release: this one can't say
	}
	switch c.Kind {
	case StartLock:
		return s.start(index, c)
	case BeatLock:
		return s.beat(index, c.Call)
	case FinishLock:
		return s.finish(c.Call)
	case DrawNumber:
		return Outcome{Answer: Answer{Status: Done, Number: index}}
	case ReplaceCell:
		return s.replace(c.Call)
	case sweepKind:
		s.sweep(c.Sweep)
		return Outcome{Answer: Answer{Status: Done}}
	}
	return Outcome{Answer: Answer{Status: Unclear}}
}
