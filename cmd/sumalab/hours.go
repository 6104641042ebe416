package main

import (
	"fmt"
	"os"
	"strings"

	"sumacloft/internal/lab"
)

// hours say which schedules a series of outages, copies or tuning has.
type hours struct {
	Bad   bool   `help:"Draw bad hours: faults that come together. Clients of the store work beside them, and their history is judged."`
	Steps string `help:"A schedule to replay, its steps parted by semicolons, in the place of the drawn ones." placeholder:"STEP;STEP"`
	File  string `help:"The same from a file, as --draw printed it or a failed run kept it; its seed goes before --seed." placeholder:"FILE"`
	Draw  bool   `help:"Print the schedule of the first seed and end."`
}

// replayed are the steps to replay, and the seed that a file names, 0 without one; nil: schedules are drawn.
func (h *hours) replayed() (seed uint64, steps []string, err error) {
	if h.Steps != "" {
		return 0, strings.Split(h.Steps, ";"), nil
	}
	if h.File == "" {
		return 0, nil, nil
	}
	f, err := os.Open(h.File)
	if err != nil {
		return 0, nil, err
	}
	defer f.Close()
	if seed, steps, err = lab.ReadSteps(f); err != nil {
		err = fmt.Errorf("%s: %w", h.File, err)
	}
	return seed, steps, err
}
