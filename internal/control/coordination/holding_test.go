package coordination_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sumacloft/internal/control/coordination"
)

// clockSpread is by how much the clocks of members and callers may differ in rate.
const clockSpread = 1.0 / 64

// replica is a member with a clock of its own rate.
type replica struct {
	state   *coordination.State
	ages    *coordination.Ages
	rate    float64
	applied int // entries of the log
}

func newReplica(rate float64) *replica {
	return &replica{state: coordination.New(), ages: coordination.NewAges(), rate: rate}
}

// clock is what the replica's clock says at a moment of the holder's.
func (r *replica) clock(now time.Duration) time.Duration { return time.Duration(float64(now) * r.rate) }

// apply applies an entry and returns the answer to its call.
func (r *replica) apply(now time.Duration, entry []byte) coordination.Answer {
	r.applied++
	outcome := r.state.Apply(uint64(r.applied), entry)
	r.ages.Note(r.clock(now), r.state, outcome)
	return outcome.Answer
}

// install replaces the state by another's snapshot.
func (r *replica) install(t *rapid.T, now time.Duration, from *replica) {
	if err := r.state.Restore(from.state.Snapshot()); err != nil {
		t.Fatal(err)
	}
	r.applied = from.applied
	r.ages.Restart(r.clock(now), r.state)
}

// holderStory is one caller's use of a lock through two members that lead in turn, while another is refused it.
type holderStory struct {
	t        *rapid.T
	now      time.Duration // by the holder's clock
	until    time.Duration // until when the holder counts on the lock
	fence    uint64
	replicas [2]*replica
	leader   int
	log      [][]byte
	late     [][]byte // calls that the network may bring once more
}

// pass lets time pass.
func (s *holderStory) pass(longest int) {
	s.now += time.Duration(rapid.IntRange(0, longest).Draw(s.t, "pause")) * time.Millisecond
}

// call has the leader commit a call, which the network may bring once more later, or only later; then it has no answer.
func (s *holderStory) call(call coordination.Call) (answer coordination.Answer, heard bool) {
	call.Name, call.Owner = lockName, "holder"
	entry, err := call.Encode(0)
	if err != nil {
		s.t.Fatal(err)
	}
	s.pass(50)
	s.late = append(s.late, entry)
	if rapid.IntRange(0, 4).Draw(s.t, "delayed") == 0 {
		return answer, false
	}
	return s.commit(entry), rapid.Bool().Draw(s.t, "heard")
}

func (s *holderStory) commit(entry []byte) coordination.Answer {
	s.log = append(s.log, entry)
	return s.replicas[s.leader].apply(s.now, entry)
}

// follow has the other member apply what is committed, or take a snapshot of it.
func (s *holderStory) follow() {
	other := s.replicas[1-s.leader]
	if rapid.IntRange(0, 4).Draw(s.t, "snapshot") == 0 {
		other.install(s.t, s.now, s.replicas[s.leader])
		return
	}
	for other.applied < len(s.log) {
		other.apply(s.now, s.log[other.applied])
	}
}

// step makes one of the moves.
func (s *holderStory) step() {
	holdMS := rapid.Uint64Range(1, 4000).Draw(s.t, "hold")
	hold := time.Duration(holdMS) * time.Millisecond
	sent := s.now
	switch rapid.IntRange(0, 7).Draw(s.t, "move") {
	case 0:
		if answer, heard := s.call(coordination.Call{Kind: coordination.StartLock, HoldMS: holdMS}); heard {
			s.fence, s.until = answer.Fence, sent+hold
		}
	case 1, 2, 3:
		answer, heard := s.call(coordination.Call{Kind: coordination.BeatLock, Fence: s.fence, HoldMS: holdMS})
		if heard && answer.Status == coordination.Done && s.now < s.until {
			s.until = sent + hold
		}
		if heard && answer.Status == coordination.Lost {
			s.until = 0
		}
	case 4:
		s.until = 0
		_, _ = s.call(coordination.Call{Kind: coordination.FinishLock, Fence: s.fence}) // it is repeated or lapses
	case 5:
		s.follow()
		s.leader = 1 - s.leader
	case 6:
		s.follow()
	case 7:
		if len(s.late) > 0 {
			s.commit(rapid.SampledFrom(s.late).Draw(s.t, "doubled"))
		}
	}
}

// Guards against a lock that another may have while its holder counts on it: whatever renewals and starts for more or less
// time were answered or not, whichever calls come late or twice, over elections, snapshots and clocks of different rates.
func TestNoCallerLosesALockThatItCountsOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &holderStory{t: t}
		for i := range s.replicas {
			s.replicas[i] = newReplica(rapid.Float64Range(1, 1+clockSpread).Draw(t, "rate"))
		}
		for range 60 {
			s.step()
			s.pass(600)
			leader := s.replicas[s.leader]
			last := max(s.now, s.until-time.Millisecond) // the last moment at which the holder counts on the lock
			lapsed, held := leader.ages.Lapsed(leader.clock(last), leader.state, lockName, "other")
			if s.now < s.until && !held {
				t.Fatalf("at %v another may have the lock (lapsed %d), and its holder counts on it until %v", s.now, lapsed, s.until)
			}
		}
	})
}
