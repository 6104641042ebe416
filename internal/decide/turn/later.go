//go:build !next

package turn

// FormatsAhead is how many formats of states this build is ahead of the tree's.
const FormatsAhead = 0

// NextFormat is what states of the next format have beside: nothing in this build.
type NextFormat struct{}

// CountWrite notes that a decider made the state.
func (*NextFormat) CountWrite() {}
