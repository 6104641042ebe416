package tuning

import (
	"os"
	"reflect"
	"testing"
	"time"

	"sumacloft/internal/decide/turn"
)

// Equal settings give equal runs; generation stays within its bound; the ways differ in what they should.
func TestRun(t *testing.T) {
	set := Usual(24)
	set.Slow, set.For, set.Seed = 6, 4*time.Minute, 1
	results := map[Way]Result{}
	for _, way := range Ways {
		set.Way = way
		results[way] = Run(set)
		if again := Run(set); !reflect.DeepEqual(again, results[way]) {
			t.Errorf("%s: two runs differ", way)
		}
		if ahead := results[way].Ahead; ahead > float64(set.Model.WithDefaults().Ahead) {
			t.Errorf("%s: %g batches ahead", way, ahead)
		}
	}
	board, equal, fresh := results[Board], results[Equal], results[Fresh]
	if !(equal.Wasted < board.Wasted && board.Wasted < fresh.Wasted) {
		t.Errorf("wasted: %g, %g, %g", board.Wasted, equal.Wasted, fresh.Wasted)
	}
	if !(fresh.Lag < board.Lag && board.Lag < equal.Lag) {
		t.Errorf("staleness: %g, %g, %g", board.Lag, equal.Lag, fresh.Lag)
	}
	if board.RateErr > 0.2 {
		t.Errorf("throughputs are %.2f off", board.RateErr)
	}
	for _, way := range Ways {
		r := results[way]
		r.Distance = nil
		t.Logf("%s: %+v", way, r)
	}
}

// No worker is odd here, so no hold was right by what is seen afterwards but by chance; hindsight finds some of them wrong where
// workers serve on for long enough.
func TestHoldsWhereNoneIsOdd(t *testing.T) {
	if os.Getenv("LAB_LONG") == "" {
		t.Skip("fifteen seconds: LAB_LONG=1")
	}
	for _, slow := range []int{0, 16} {
		var holds, weights turn.VerdictCounts
		for seed := range uint64(10) {
			set := Usual(64)
			set.Slow, set.For, set.Seed = slow, 10*time.Minute, seed+11
			h := Run(set).Hindsight
			holds = turn.VerdictCounts{Open: holds.Open + h.Holds.Open, Right: holds.Right + h.Holds.Right, Wrong: holds.Wrong + h.Holds.Wrong, Void: holds.Void + h.Holds.Void}
			weights = turn.VerdictCounts{Open: weights.Open + h.Weights.Open, Right: weights.Right + h.Weights.Right, Wrong: weights.Wrong + h.Weights.Wrong}
		}
		t.Logf("%d of 64 slow: holds %v, weights %v", slow, holds, weights)
		if holds.Right > 2 || holds.Right > holds.Wrong {
			t.Errorf("%d slow: holds %v", slow, holds)
		}
	}
}
