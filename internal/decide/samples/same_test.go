package samples

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Decisions over seeded random runs are identical, byte for byte, to those recorded before the decision step was optimized.
// A change that alters decisions on purpose changes the hashes with it.
func TestDecisionsMatchRecordedHash(t *testing.T) {
	want, runs := "387 boards, 9e74b7a7cbe9b205", uint64(2)
	if os.Getenv("LAB_LONG") != "" {
		want, runs = "2419 boards, 7a46f265cd48b85a", 12
	}
	hash, boards := xxhash.New(), 0
	for seed := range runs {
		f := newFleet(seed, 4, 12)
		if seed%3 == 0 {
			f.model = Model{Batch: 64, EpochMs: 4000, LateEpochs: 4, Ahead: 3, HoldMs: 500}
		}
		for i := range 700 {
			f.randomStep(f.rng.IntN)
			f.step(i%4, "")
			if s := f.last(); i%60 == 59 && s != nil {
				f.publish(f.tuner.Version+1, s.Open.Number-1)
				f.now += 500 * time.Millisecond
			}
		}
		for _, s := range f.history {
			s.Hindsight = Hindsight{} // added after the hashes were recorded; no decision depends on it
			for _, w := range s.Workers {
				w.Review, w.SinceHold = "", 0
			}
			_, _ = hash.Write(encode(s))
		}
		boards += len(f.history)
	}
	if got := fmt.Sprintf("%d boards, %x", boards, hash.Sum64()); got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
