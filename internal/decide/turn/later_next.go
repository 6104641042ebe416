//go:build next

package turn

// FormatsAhead is how many formats of states this build is ahead of the tree's: it stands for the next version of the program, so
// that a fleet of two versions can be shown.
const FormatsAhead = 1

// NextFormat is what states of the next format have beside: how many of them deciders have made. A program that writes one back
// without it, or counts from anew, has lost what it could not read.
type NextFormat struct {
	Written int64 `json:"later_written"`
}

// CountWrite notes that a decider made the state.
func (f *NextFormat) CountWrite() { f.Written++ }
