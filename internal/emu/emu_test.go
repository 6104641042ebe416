package emu

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var forty = Settings{Slots: 8, Service: 200 * ms, Queue: 20, Keys: 2, Hit: 0.5, Warm: 6 * time.Second, Cold: 0.25, Over: 2, OverFor: time.Second, Away: 3 * time.Second}

// carry offers a server so many requests a second for a while, and counts what ran.
func carry(s *Server, from time.Duration, rate, seconds int, key uint64) (ran, full, fell, absent int) {
	for i := range rate * seconds {
		now := from + time.Duration(i)*time.Second/time.Duration(rate)
		ran += len(s.Advance(now))
		switch s.Offer(now, uint64(i), 1, key) {
		case Full:
			full++
		case Fell:
			fell++
		case Absent:
			absent++
		}
	}
	return ran, full, fell, absent
}

func TestCapacityWarmCold(t *testing.T) {
	warm := New(forty, -time.Hour)
	if ran, full, fell, _ := carry(warm, 0, 60, 10, 0); ran < 380 || ran > 420 || full < 150 || fell > 0 {
		t.Errorf("warm, 40 a second are its rate: %d ran, %d were turned away, it fell %d times", ran, full, fell)
	}
	cold := New(forty, 0)
	if ran, _, fell, _ := carry(cold, 0, 10, 2, 0); ran < 8 || fell > 0 {
		t.Errorf("cold, given its part: %d ran, it fell %d times", ran, fell)
	}
	pushed := New(forty, 0)
	if _, _, fell, absent := carry(pushed, 0, 60, 3, 0); fell != 1 || absent < 50 || pushed.Wasted == 0 {
		t.Errorf("cold, given all: it fell %d times, and was away for %d", fell, absent)
	}
}

// What it remembers costs it less, and the beginning that was used longest ago is forgotten first.
func TestMemory(t *testing.T) {
	s := New(forty, -time.Hour)
	took := func(now time.Duration, key uint64) time.Duration {
		s.Offer(now, 1, 1, key)
		at, _ := s.Next()
		s.Advance(at)
		return at - now
	}
	want := []struct {
		key  uint64
		took time.Duration
	}{{1, 200 * ms}, {1, 100 * ms}, {2, 200 * ms}, {1, 100 * ms}, {3, 200 * ms}, {1, 100 * ms}, {2, 200 * ms}}
	for i, w := range want {
		if got := took(time.Duration(i)*time.Second, w.key); got != w.took {
			t.Errorf("use %d, of %d: %v, want %v", i, w.key, got, w.took)
		}
	}
}

// Whatever is offered when: all that is taken ends once or falls with the server, in order, never more at once than there
// are slots, and equal days are equal.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gaps := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 200).Draw(t, "gaps")
		run := func() (out []Done) {
			s, now, open := New(forty, 0), time.Duration(0), map[uint64]bool{}
			for i, gap := range gaps {
				now += time.Duration(gap) * ms / 4
				for _, d := range s.Advance(now) {
					if !open[d.ID] || d.At > now {
						t.Fatalf("request %d ends at %v, now %v, open %v", d.ID, d.At, now, open[d.ID])
					}
					delete(open, d.ID)
					out = append(out, d)
				}
				switch s.Offer(now, uint64(i), 1, uint64(gap%5)) {
				case Taken:
					open[uint64(i)] = true
				case Fell:
					clear(open)
				}
				if running, waiting := s.Load(); running > forty.Slots || waiting > forty.Queue || running+waiting != len(open) {
					t.Fatalf("%d run, %d wait, %d are open", running, waiting, len(open))
				}
			}
			return out
		}
		if !reflect.DeepEqual(run(), run()) {
			t.Fatal("equal days differ")
		}
	})
}
