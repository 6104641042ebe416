//go:build !next

package turn

// FormatsAhead is by how many state formats this build is ahead of the current one.
const FormatsAhead = 0

// NextFormat holds the additional fields of the next state format. This build has none.
type NextFormat struct{}

// CountWrite records that a decider made the state.
func (*NextFormat) CountWrite() {}
