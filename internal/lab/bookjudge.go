package lab

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// BookKind is what a client of the store does with a key.
type BookKind string

// The kinds.
const (
	BookGet    BookKind = "get"
	BookPut    BookKind = "put"
	BookSwap   BookKind = "swap" // a put if the key has a value, or is not there
	BookDelete BookKind = "delete"
)

// BookOp is one operation on one key, as its client saw it. A value is that of one operation; "" says that the key is not
// there.
type BookOp struct {
	Client       int
	Key          string
	Kind         BookKind
	From, To     string        // a swap puts To in the place of From; a put puts To
	Saw          string        // what a get read, or a swap that was not done
	Done         bool          // a swap was
	Unknown      bool          // the answer was lost: a change may be made at any later time, or never
	Call, Return time.Duration // since the start of the history
}

// leaves is the key's value after the operation, whose answer is known.
func (o BookOp) leaves() string {
	switch {
	case o.Kind == BookPut || o.Done:
		return o.To
	case o.Kind == BookDelete:
		return ""
	}
	return o.Saw
}

func (o BookOp) String() string {
	switch {
	case o.Kind == BookGet:
		return fmt.Sprintf("get %q", o.Saw)
	case o.Kind == BookSwap && o.Unknown:
		return fmt.Sprintf("swap %q for %q, unknown", o.From, o.To)
	case o.Kind == BookSwap && o.Done:
		return fmt.Sprintf("swap %q for %q", o.From, o.To)
	case o.Kind == BookSwap:
		return fmt.Sprintf("swap %q for %q refused by %q", o.From, o.To, o.Saw)
	case o.Unknown:
		return fmt.Sprintf("%s %q, unknown", o.Kind, o.To)
	}
	return fmt.Sprintf("%s %q", o.Kind, o.To)
}

// book is one key of the store: a register with a compare. A history's keys are judged each by itself.
var book = porcupine.Model{
	Partition: func(history []porcupine.Operation) (parts [][]porcupine.Operation) {
		place := map[string]int{}
		for _, o := range history {
			key := o.Input.(BookOp).Key
			i, known := place[key]
			if !known {
				i, parts = len(parts), append(parts, nil)
				place[key] = i
			}
			parts[i] = append(parts[i], o)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		value, op := state.(string), input.(BookOp)
		switch {
		case op.Kind == BookGet:
			return value == op.Saw, value
		case op.Kind != BookSwap:
			return true, op.leaves()
		case op.Unknown && value != op.From:
			return true, value
		case op.Unknown || op.Done:
			return value == op.From, op.To
		}
		return value != op.From && value == op.Saw, value
	},
	DescribeOperation: func(input, _ any) string { return input.(BookOp).String() },
}

// CheckBooks judges a history of the store: for each key there must be one order of all operations, each between its call
// and its return, that explains what was seen. "": there is.
func CheckBooks(history []BookOp) string {
	ops := make([]porcupine.Operation, 0, len(history))
	for _, o := range settled(history) {
		back := int64(o.Return)
		if o.Unknown {
			back = math.MaxInt64
		}
		ops = append(ops, porcupine.Operation{ClientId: o.Client, Input: o, Call: int64(o.Call), Return: back})
	}
	switch porcupine.CheckOperationsTimeout(book, ops, checkLimit) {
	case porcupine.Ok:
		return ""
	case porcupine.Unknown:
		return "the store: the checker ran out of time over its history"
	}
	return "the store: no order of the operations explains what its clients saw: " + astray(history)
}

// settled leaves out changes of unknown outcome whose value nobody ever saw: whether they were made explains nothing. What
// could tell is a read, a refused swap or one that began from the value; puts and deletes tell nothing of what was there.
func settled(history []BookOp) (out []BookOp) {
	seen := map[string]bool{}
	for _, o := range history {
		seen[o.Saw] = true
		if o.Done || o.Unknown {
			seen[o.From] = true
		}
	}
	for _, o := range history {
		if !o.Unknown || o.Kind == BookDelete || seen[o.To] {
			out = append(out, o)
		}
	}
	return out
}

// astray names a read that can't be, as far as a simple look finds one: of a value that was replaced by a known change
// before the read began, after whose put nothing brought it back.
func astray(history []BookOp) string {
	list := slices.Clone(history)
	slices.SortFunc(list, func(a, b BookOp) int { return cmp.Compare(a.Call, b.Call) })
	for _, read := range list {
		if read.Kind != BookGet || read.Saw == "" {
			continue
		}
		for _, by := range list {
			if by.Key != read.Key || by.Kind == BookGet || by.Unknown || by.Kind == BookSwap && !by.Done || by.leaves() == read.Saw || by.Return >= read.Call {
				continue
			}
			if i := slices.IndexFunc(list, func(o BookOp) bool { return o.To == read.Saw && !o.Unknown && o.Return < by.Call }); i >= 0 {
				return fmt.Sprintf("%s: client %d read %q at %v, which a %s had replaced by %v", read.Key, read.Client, read.Saw, read.Call, by.Kind, by.Return)
			}
		}
	}
	return "see the history"
}
