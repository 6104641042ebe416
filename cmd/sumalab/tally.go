package main

import (
	"fmt"
	"os"

	"sumacloft/internal/lab"
)

// tally is what all series of schedules count.
type tally struct {
	Ran        int      `json:"ran"`
	Failed     int      `json:"failed"`
	Violations int      `json:"schedules_with_violations"`
	Seeds      []uint64 `json:"seeds_with_violations"`

	Store lab.BooksReport `json:"store"` // what clients of the store did beside bad hours
}

// kept adds what clients of the store did beside one schedule.
func (t *tally) kept(one lab.BooksReport) {
	t.Store.Made, t.Store.Unknown, t.Store.Refused = t.Store.Made+one.Made, t.Store.Unknown+one.Unknown, t.Store.Refused+one.Refused
}

// books says what clients of the store did; "" where there were none.
func (t *tally) books() string {
	if t.Store.Made == 0 {
		return ""
	}
	return fmt.Sprintf("clients of the store: %d operations, %d of unknown outcome, %d refused\n", t.Store.Made, t.Store.Unknown, t.Store.Refused)
}

// took counts one schedule and says what was wrong; false: the laboratory failed, and there is nothing to add up.
func (t *tally) took(seed uint64, wrong []string, err error) bool {
	if err != nil {
		t.Failed++
		return false
	}
	t.Ran++
	if len(wrong) > 0 {
		t.Violations++
		t.Seeds = append(t.Seeds, seed)
	}
	for _, v := range wrong {
		fmt.Fprintf(os.Stderr, "seed %d: VIOLATION: %s\n", seed, v)
	}
	return true
}
