package events_test

import (
	"testing"

	"pgregory.net/rapid"

	"sumacloft/internal/proxy/events"
)

// TestResumedRunsContinueOneSequence: whatever the ids of further runs, what is passed on of them goes on behind the
// first run without a gap, and nothing comes twice.
func TestResumedRunsContinueOneSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sequence events.Sequence
		first := rapid.Uint64Range(0, 5).Draw(t, "first")
		last := first + rapid.Uint64Range(0, 5).Draw(t, "more")
		for id := first; id <= last; id++ {
			sequence.AddFirst(events.Event{ID: id, HasID: true})
		}
		for range rapid.IntRange(1, 3).Draw(t, "runs") {
			sequence.Resume()
			ids := rapid.SliceOf(rapid.Uint64Range(0, 12)).Draw(t, "ids")
			if rapid.Bool().Draw(t, "in order") {
				for i := range ids {
					ids[i] = ids[0] + uint64(i)
				}
			}
			for _, id := range ids {
				pass, err := sequence.AddResumed(events.Event{ID: id, HasID: true})
				if err != nil {
					break
				}
				if pass != (id > last) || id > last+1 {
					t.Fatalf("%d behind %d: passed on: %t", id, last, pass)
				}
				last = max(last, id)
			}
			if got, ok := sequence.Last(); !ok || got != last {
				t.Fatalf("%d (%t) for the last of them, %d", got, ok, last)
			}
		}
	})
}
