package coordination

import (
	"fmt"
	"testing"
	"time"
)

// large is a state of 10,000 locks and 10,000 keys in 100 groups, with 2,000 events.
func large(b *testing.B) (*State, *Ages, uint64) {
	b.Helper()
	state, ages := New(), NewAges()
	index := uint64(0)
	apply := func(call Call) {
		entry, err := call.Encode(0)
		if err != nil {
			b.Fatal(err)
		}
		index++
		ages.Note(0, state, state.Apply(index, entry))
	}
	for i := range 10_000 {
		apply(Call{Kind: StartLock, Name: fmt.Sprint("lock-", i), Owner: fmt.Sprint("owner-", i), HoldMS: 3000})
		apply(Call{Kind: ReplaceCell, Name: fmt.Sprintf("g%d.%d", i%100, i), Amount: "5c0e7a21d94b36f8", Always: true})
	}
	for scope, group := range state.cells {
		state.sweep(&Sweep{Trims: []Trim{{Scope: scope, UpTo: group.Revision - 20}}})
	}
	return state, ages, index
}

func BenchmarkRenewAmongManyLocks(b *testing.B) {
	state, ages, index := large(b)
	entry, err := Call{Kind: BeatLock, Name: "lock-7", Owner: "owner-7", Fence: 15, HoldMS: 3000}.Encode(0)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		index++
		outcome := state.Apply(index, entry)
		if outcome.Status != Done {
			b.Fatal(outcome)
		}
		ages.Note(time.Second, state, outcome)
	}
	b.ReportMetric(float64(len(entry)), "bytes/entry")
}

func BenchmarkSnapshotOfManyNames(b *testing.B) {
	state, _, _ := large(b)
	bytes := 0
	for b.Loop() {
		bytes = len(state.Snapshot())
	}
	b.ReportMetric(float64(bytes), "bytes/snapshot")
}

func BenchmarkSweepOfManyNames(b *testing.B) {
	state, ages, _ := large(b)
	for b.Loop() {
		if !ages.Sweep(time.Second, state, time.Minute).Empty() {
			b.Fatal("nothing is old")
		}
	}
}
