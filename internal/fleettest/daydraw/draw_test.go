package main

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	qt "github.com/frankban/quicktest"
)

func TestDaysCanBeReadAndDiffer(t *testing.T) {
	c := qt.New(t)
	seen := map[string]bool{}
	for seed := range uint64(500) {
		text := Day(seed, []string{"model", "plain"})
		// A day is drawn alike each time, and no two are the same.
		c.Assert(text, qt.Equals, Day(seed, []string{"model", "plain"}))
		c.Assert(seen[strings.TrimPrefix(text, fmt.Sprint(seed))], qt.IsFalse)
		seen[text] = true
		// It can be read, and nothing in it is left open.
		var read struct {
			Day []struct {
				Seed   uint64
				Plan   []map[string]any
				Faults []map[string]any
			}
		}
		_, err := toml.Decode(text, &read)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", text))
		c.Assert(read.Day, qt.HasLen, 1)
		c.Assert(read.Day[0].Seed, qt.Equals, seed)
		c.Assert(len(read.Day[0].Plan) >= 2 && len(read.Day[0].Faults) >= 2, qt.IsTrue)
		for _, entry := range slices.Concat(read.Day[0].Plan, read.Day[0].Faults) {
			for _, value := range entry {
				c.Assert(strings.ContainsAny(fmt.Sprint(value), "<>|?"), qt.IsFalse, qt.Commentf("%v", entry))
			}
		}
	}
}
