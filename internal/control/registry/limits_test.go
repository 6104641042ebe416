package registry_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/registry"
)

// Guards against heartbeats whose texts or lists fill the memory of every process of the fleet.
func TestParseBeatRejectsWhatIsTooLong(t *testing.T) {
	long := strings.Repeat("x", 513)
	list := "[" + strings.Repeat(`{"name":"m"},`, 64) + `{"name":"m"}]`
	for name, given := range map[string]struct{ id, fields string }{
		"id":      {long, ""},
		"version": {"w", `,"version":"` + long + `"`},
		"zone":    {"w", `,"zone":"` + long + `"`},
		"models":  {"w", `,"models":` + list},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := registry.ParseBeat(given.id, []byte(`{"service":"s","address":"10.0.0.1:80","call_count":1`+given.fields+`}`))
			c.Assert(err, qt.ErrorMatches, "(?s).*"+name+" is too long.*")
		})
	}
}

// Guards against callers that make up workers without end.
func TestRegistryAdmitsALimitedNumberOfWorkers(t *testing.T) {
	c := qt.New(t)
	// Given a registry that knows as many workers as it may.
	workers := registry.New(registry.Config{Self: "a", MaxWorkers: 3})
	for number := range 3 {
		id := fmt.Sprintf("w%d", number)
		c.Assert(workers.Admits(id), qt.IsTrue)
		workers.Beat(0, registry.Beat{ID: id, Service: "s", Address: "10.0.0.1:80", State: registry.Up, CallCount: 1})
	}
	// Then it admits calls of those workers, and of no other.
	c.Assert(workers.Admits("w2"), qt.IsTrue)
	c.Assert(workers.Admits("w3"), qt.IsFalse)
}
