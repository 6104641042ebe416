package events_test

import (
	"testing"

	"pgregory.net/rapid"

	"sumacloft/internal/proxy/events"
)

// TestResumedRunsContinueOneSequence checks that, for any ids of resumed runs, the forwarded events continue the first
// run without gaps or duplicates.
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
					t.Fatalf("event %d after %d: forwarded: %t", id, last, pass)
				}
				last = max(last, id)
			}
			if got, ok := sequence.Last(); !ok || got != last {
				t.Fatalf("got %d (%t) as the last event, want %d", got, ok, last)
			}
		}
	})
}
