package lab

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// Op is what a client saw of one request, or what became of a change.
type Op struct {
	Client  int
	Call    time.Duration // since the start of the run
	Return  time.Duration
	Version int64 // that the request was taken under, or that the change made
	Change  bool  // it is a change, answered as committed by Return
	At      string
}

// register is the promise: over all routers, the versions that requests were taken under and the changes that were
// committed are one register. A change replaces the version before it; one that was aborted is no operation at all, so
// a request under it fits nowhere.
var register = porcupine.Model{
	Init: func() any { return int64(1) },
	Step: func(state, input, output any) (bool, any) {
		version, op := output.(int64), input.(Op)
		if op.Change {
			return state.(int64)+1 == version, version
		}
		return state.(int64) == version, state
	},
	Equal: func(a, b any) bool { return a.(int64) == b.(int64) },
	DescribeOperation: func(input, output any) string {
		op := input.(Op)
		if op.Change {
			return fmt.Sprintf("change to %d", output)
		}
		return fmt.Sprintf("%s: under %d", op.At, output)
	},
}

// checkLimit is how long the checker may think about one history.
const checkLimit = 60 * time.Second

// Check judges a history: is there one order of all operations, each between its call and its return, in which the
// versions make sense? The text tells of the first request that fits nowhere, as far as a simple look finds it.
func Check(history []Op) (ok bool, why string) {
	ops := make([]porcupine.Operation, 0, len(history))
	for _, o := range history {
		ops = append(ops, porcupine.Operation{ClientId: o.Client, Input: o, Call: int64(o.Call), Output: o.Version, Return: int64(o.Return)})
	}
	switch porcupine.CheckOperationsTimeout(register, ops, checkLimit) {
	case porcupine.Ok:
		return true, ""
	case porcupine.Unknown:
		return false, "the checker ran out of time"
	}
	return false, "no order of the operations explains the versions: " + suspect(history)
}

// suspect names a pair of operations that can't both be: a request under an old version that began after one under a
// newer had ended, or one under a version before its change was proposed.
func suspect(history []Op) string {
	var newest *Op
	ends := map[int64]Op{} // the first return under a version
	for _, o := range history {
		if first, seen := ends[o.Version]; !o.Change && (!seen || o.Return < first.Return) {
			ends[o.Version] = o
		}
	}
	for i, o := range history {
		for version, end := range ends {
			if version > o.Version && end.Return < o.Call && (newest == nil || o.Call > newest.Call) && !o.Change {
				newest = &history[i]
			}
		}
		if o.Change {
			for _, r := range history {
				if !r.Change && r.Version == o.Version && r.Return < o.Call {
					return fmt.Sprintf("%s answered under %d at %v, before its change was proposed at %v", r.At, r.Version, r.Return, o.Call)
				}
			}
		}
	}
	if newest != nil {
		for version, end := range ends {
			if version > newest.Version && end.Return < newest.Call {
				return fmt.Sprintf("%s answered under %d what came at %v, after %s had answered under %d at %v", newest.At, newest.Version, newest.Call, end.At, version, end.Return)
			}
		}
	}
	return "see the history"
}
