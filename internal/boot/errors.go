package boot

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error classes every failure of this package.
var Error = errs.Class("settings file")

// Fault is one thing that is wrong with a settings file.
type Fault struct {
	Key     string // the field, as the file writes it
	Problem string // what is wrong and what to do about it
}

// InvalidError holds all faults of one settings file.
type InvalidError struct {
	Faults []Fault
}

// Error lists every fault with its key.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s: %s", fault.Key, fault.Problem))
	}
	return strings.Join(lines, "; ")
}
