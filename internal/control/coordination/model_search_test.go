package coordination_test

import (
	"hash/fnv"
	"os"
	"slices"
	"strings"

	"sumacloft/internal/control/modelcheck"
)

// search takes all orders of events from an empty world on.
func search(faults modelFaults, left budget, states int) modelcheck.Result[move] {
	return searchFrom(world{Left: left}, faults, states)
}

func searchFrom(first world, faults modelFaults, states int) modelcheck.Result[move] {
	return modelcheck.Run(modelcheck.Model[world, move]{
		First:   first,
		Actions: world.moves,
		Take:    func(w world, step move) (world, error) { return w.take(step, faults) },
		Fingerprint: func(w world) uint64 {
			sum := fnv.New64a()
			_, _ = sum.Write(w.bytes()) // a hash takes all
			return sum.Sum64()
		},
	}, modelcheck.Bounds{States: states})
}

// bytes tells worlds apart.
func (w world) bytes() []byte {
	b := []byte{byte(w.Tick), byte(w.Term), byte(w.Left.Asks), byte(w.Left.Beats), byte(w.Left.Ends), byte(w.Left.Changes), byte(w.Left.Losses), byte(w.Left.Shorts)}
	for _, c := range w.Callers {
		b = append(b, byte(c.Fence), byte(c.Until))
	}
	var messages []string
	for _, m := range w.Messages {
		messages = append(messages, string(m.bytes()))
	}
	slices.Sort(messages) // which was sent first makes no difference
	b = append(append(b, strings.Join(messages, "")...), 255)
	for _, e := range w.Log {
		b = append(append(b, e.Message.bytes()...), byte(e.When[0]), byte(e.When[1]), byte(e.Fate))
	}
	return b
}

func (m message) bytes() []byte {
	return []byte{m.Stage[0], byte(m.Caller), byte(m.Call.Kind), byte(m.Call.Fence), byte(m.Sent), byte(m.At), byte(m.Lapsed),
		byte(m.Answer.Status), byte(m.Answer.Fence), byte(m.Seen), byte(m.Call.HoldMS >> 2), byte(m.Entry)}
}

// statesOf bounds the states of a search or the number of histories: few in CI, many with LAB_LONG.
func statesOf(short int) int {
	if os.Getenv("LAB_LONG") != "" {
		return 2_000_000
	}
	return short
}
