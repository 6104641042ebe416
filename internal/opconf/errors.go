package opconf

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error classes every failure of this package. Its cause is always an *InvalidError.
var Error = errs.Class("operator configuration")

// maxShownFaults is how many faults the text of an InvalidError holds.
const maxShownFaults = 20

// Fault is one thing that is wrong with a document.
type Fault struct {
	Path    string // gjson path of the value; "@this" is the whole document
	Problem string // what is wrong and what to do about it
}

// InvalidError holds all faults of a document.
type InvalidError struct {
	Faults []Fault
}

// Error lists the faults with their paths, the first ones where there are many.
func (e *InvalidError) Error() string {
	var lines []string
	for _, fault := range e.Faults[:min(len(e.Faults), maxShownFaults)] {
		lines = append(lines, fmt.Sprintf("%s: %s", fault.Path, fault.Problem))
	}
	if hidden := len(e.Faults) - len(lines); hidden > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", hidden))
	}
	return strings.Join(lines, "; ")
}

// faults collects what is wrong with a document.
type faults struct {
	found []Fault
}

// add notes a fault of the value at path.
func (f *faults) add(path, format string, arguments ...any) {
	f.found = append(f.found, Fault{Path: path, Problem: fmt.Sprintf(format, arguments...)})
}

// err returns all faults as one error, nil where there are none.
func (f *faults) err() error {
	if len(f.found) == 0 {
		return nil
	}
	return Error.Wrap(&InvalidError{Faults: f.found})
}
