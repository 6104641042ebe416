//go:build next

package turn

// FormatsAhead is by how many state formats this build is ahead of the current one. The build stands in for the next version
// of the program, to test a fleet of two versions.
const FormatsAhead = 1

// NextFormat holds the additional fields of the next state format: how many states deciders have made. If a program drops
// the field or resets the count when it writes a state back, it has lost data that it could not read.
type NextFormat struct {
	Written int64 `json:"later_written"`
}

// CountWrite records that a decider made the state.
func (f *NextFormat) CountWrite() { f.Written++ }
