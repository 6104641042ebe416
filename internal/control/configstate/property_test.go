package configstate_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"sumacloft/internal/control/configstate"
)

// model is the configuration as a plain history: every order that was taken, in order.
type model struct {
	history []configstate.Order
	numbers []uint64            // the version of each
	early   []configstate.Order // refused before the version that they build on came
}

// same reports whether two orders are the very same.
func same(one, other configstate.Order) bool {
	return one.Kind == other.Kind && one.BuiltOn == other.BuiltOn && string(one.Body) == string(other.Body)
}

// current returns the version in force.
func (m *model) current() uint64 {
	if len(m.numbers) == 0 {
		return 0
	}
	return m.numbers[len(m.numbers)-1]
}

// apply says what becomes of an order; valid says whether its body is.
func (m *model) apply(order configstate.Order, version uint64, valid bool) verdict {
	for index, taken := range m.history {
		if same(taken, order) {
			return verdict{configstate.AlreadyTaken, m.numbers[index]}
		}
	}
	for _, refused := range m.early {
		if same(refused, order) {
			return verdict{configstate.OtherVersion, m.current()}
		}
	}
	if order.BuiltOn > m.current() {
		m.early = append(m.early, order)
	}
	if order.BuiltOn != m.current() {
		return verdict{configstate.OtherVersion, m.current()}
	}
	if !valid || version <= m.current() {
		return verdict{configstate.Invalid, m.current()}
	}
	m.history = append(m.history, order)
	m.numbers = append(m.numbers, version)
	return verdict{configstate.Taken, version}
}

// drawn is an order with what the model has to know of it.
type drawn struct {
	order   configstate.Order
	version uint64
	valid   bool
}

// drawOrder draws an order near the current version, so that clashes are common.
func drawOrder(t *rapid.T, current uint64) drawn {
	builtOn := current
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		builtOn = rapid.Uint64Range(0, current+1).Draw(t, "built on")
	}
	version := rapid.Uint64Range(max(current, 1)-min(current, 1), current+3).Draw(t, "version")
	mark := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "mark")
	result := drawn{version: version, valid: version > 0}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0, 1:
		result.order = whole(builtOn, version, mark)
	case 2, 3:
		result.order = change(builtOn, version, mark)
	default:
		result.order = change(builtOn, version, "")
		result.valid = false
	}
	return result
}

func TestHistoryIsLinear(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Given a state, the same one on a second replica, and a plain history
		state, replica, history := &configstate.State{}, &configstate.State{}, &model{}
		var sent []drawn
		for index := uint64(1); index <= 30; index++ {
			// when orders come, new ones and those that were sent before
			next := drawOrder(t, history.current())
			if len(sent) > 0 && rapid.IntRange(0, 2).Draw(t, "again") == 0 {
				next = rapid.SampledFrom(sent).Draw(t, "resent")
			}
			sent = append(sent, next)
			// then the state answers as the history does, whether or not it was restored in between.
			want := history.apply(next.order, next.version, next.valid)
			checkVerdict(t, "Check", state.Check(next.order), want)
			checkVerdict(t, "Apply", state.Apply(index, next.order), want)
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				replica = restart(t, replica)
			}
			checkVerdict(t, "Apply after a restart", replica.Apply(index, next.order), want)
			checkSame(t, state, replica)
			if want.Status == configstate.Taken && state.Index() != index {
				t.Fatalf("index is %d, not %d", state.Index(), index)
			}
		}
		// and every order that was taken is acknowledged for ever.
		if !bytes.Equal(state.Snapshot(), replica.Snapshot()) {
			t.Fatalf("snapshots of the replicas differ")
		}
		state = restart(t, state)
		for index, order := range history.history {
			want := verdict{configstate.AlreadyTaken, history.numbers[index]}
			checkVerdict(t, "resent order", state.Apply(99, order), want)
		}
	})
}

// restart returns a new state that is restored from a snapshot of state.
func restart(t *rapid.T, state *configstate.State) *configstate.State {
	replica := &configstate.State{}
	if err := replica.Restore(state.Snapshot()); err != nil {
		t.Fatalf("restore: %v", err)
	}
	return replica
}

// checkVerdict checks what became of an order.
func checkVerdict(t *rapid.T, about string, outcome configstate.Outcome, want verdict) {
	if of(outcome) != want {
		t.Fatalf("%s: got %v, want %v (%v)", about, of(outcome), want, outcome.Err)
	}
}

// checkSame checks that two replicas hold the same configuration.
func checkSame(t *rapid.T, one, other *configstate.State) {
	if one.Index() != other.Index() || !bytes.Equal(document(one), document(other)) {
		t.Fatalf("replicas at versions %d and %d differ", one.Version(), other.Version())
	}
}

// document returns the document of the current configuration, nil where there is none.
func document(state *configstate.State) []byte {
	if state.Current() == nil {
		return nil
	}
	return state.Current().Raw()
}
