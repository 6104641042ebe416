package registry_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sumacloft/internal/control/registry"
)

func TestParseBeatReadsAllFields(t *testing.T) {
	c := qt.New(t)
	// Given a heartbeat with all fields and one unknown field.
	body := `{"service":"chat","address":"10.0.0.9:8080","zone":"east","version":"v2","capacity":64,
		"state":"leaving","cold_left_ms":1500.5,"phase":"writing",
		"models":[{"name":"m","version":3,"add_ons":["x","y"]},{"name":"n"}],"call_count":4,"colour":{"red":1}}`
	// When it is parsed.
	beat, err := registry.ParseBeat("w1", []byte(body))
	// Then all known fields are read.
	c.Assert(err, qt.IsNil)
	c.Assert(beat, qt.DeepEquals, registry.Beat{
		ID:        "w1",
		Service:   "chat",
		Address:   "10.0.0.9:8080",
		Zone:      "east",
		Version:   "v2",
		Capacity:  64,
		State:     registry.Leaving,
		ColdLeft:  1500 * time.Millisecond,
		Phase:     "writing",
		Models:    []registry.Model{{Name: "m", Version: 3, AddOns: []string{"x", "y"}}, {Name: "n"}},
		CallCount: 4,
	})
}

func TestParseBeatDefaults(t *testing.T) {
	c := qt.New(t)
	// Given a heartbeat with only the required fields and a null one.
	body := `{"service":"chat","address":"[::1]:80","call_count":0,"state":null}`
	// When it is parsed.
	beat, err := registry.ParseBeat("w1", []byte(body))
	// Then the other fields have their defaults.
	c.Assert(err, qt.IsNil)
	c.Assert(beat, qt.DeepEquals, registry.Beat{
		ID: "w1", Service: "chat", Address: "[::1]:80", State: registry.Up,
	})
}

func TestParseBeatNumberBounds(t *testing.T) {
	c := qt.New(t)
	const start = `{"service":"chat","address":"h:1",`

	c.Run("given a call count above the exact range of float64, when parsed, then it is exact", func(c *qt.C) {
		beat, err := registry.ParseBeat("w1", []byte(start+`"call_count":9007199254740993}`))
		c.Assert(err, qt.IsNil)
		c.Assert(beat.CallCount, qt.Equals, uint64(9007199254740993))
	})

	c.Run("given integers in other notations, when parsed, then they are accepted", func(c *qt.C) {
		beat, err := registry.ParseBeat("w1", []byte(start+`"call_count":1e3,"capacity":64.0}`))
		c.Assert(err, qt.IsNil)
		c.Assert(beat.CallCount, qt.Equals, uint64(1000))
		c.Assert(beat.Capacity, qt.Equals, 64)
	})

	c.Run("given a cold time out of range, when parsed, then it is clamped", func(c *qt.C) {
		beat, err := registry.ParseBeat("w1", []byte(start+`"call_count":1,"cold_left_ms":-3}`))
		c.Assert(err, qt.IsNil)
		c.Assert(beat.ColdLeft, qt.Equals, time.Duration(0))
		beat, err = registry.ParseBeat("w1", []byte(start+`"call_count":1,"cold_left_ms":1e30}`))
		c.Assert(err, qt.IsNil)
		c.Assert(beat.ColdLeft, qt.Equals, 24*time.Hour)
	})
}

func TestParseBeatFaults(t *testing.T) {
	const start = `{"service":"chat","address":"h:1","call_count":1,`
	cases := []struct {
		given   string
		id      string
		body    string
		field   string
		problem registry.BeatProblem
	}{
		{"no JSON", "w", `{"service":`, "body", registry.NotJSON},
		{"an array", "w", `[]`, "body", registry.NotJSON},
		{"nothing", "w", ``, "body", registry.NotJSON},
		{"no id", "", start + `"zone":"z"}`, "id", registry.Missing},
		{"no service", "w", `{"address":"h:1","call_count":1}`, "service", registry.Missing},
		{"no address", "w", `{"service":"chat","call_count":1}`, "address", registry.Missing},
		{"no call count", "w", `{"service":"chat","address":"h:1"}`, "call_count", registry.Missing},
		{"a port too large", "w", `{"service":"s","address":"h:70000","call_count":1}`, "address", registry.InvalidAddress},
		{"no port", "w", `{"service":"s","address":"h","call_count":1}`, "address", registry.InvalidAddress},
		{"no host", "w", `{"service":"s","address":":80","call_count":1}`, "address", registry.InvalidAddress},
		{"a number as service", "w", `{"service":3,"address":"h:1","call_count":1}`, "service", registry.WrongType},
		{"an unknown state", "w", start + `"state":"dancing"}`, "state", registry.UnknownValue},
		{"a string as capacity", "w", start + `"capacity":"64"}`, "capacity", registry.WrongType},
		{"a negative capacity", "w", start + `"capacity":-1}`, "capacity", registry.OutOfRange},
		{"a fractional capacity", "w", start + `"capacity":1.5}`, "capacity", registry.OutOfRange},
		{"a string as cold time", "w", start + `"cold_left_ms":"soon"}`, "cold_left_ms", registry.WrongType},
		{"a string as models", "w", start + `"models":"m"}`, "models", registry.WrongType},
		{"a model without name", "w", start + `"models":[{"name":"m"},{}]}`, "models.1.name", registry.Missing},
		{"a string as add-ons", "w", start + `"models":[{"name":"m","add_ons":"x"}]}`, "models.0.add_ons", registry.WrongType},
		{"a call count out of range", "w", `{"service":"s","address":"h:1","call_count":18446744073709551615}`,
			"call_count", registry.OutOfRange},
	}
	c := qt.New(t)
	for _, each := range cases {
		c.Run("given "+each.given+", when parsed, then the fault names the field", func(c *qt.C) {
			_, err := registry.ParseBeat(each.id, []byte(each.body))
			var fault *registry.BeatFault
			c.Assert(errors.As(err, &fault), qt.IsTrue)
			c.Assert(*fault, qt.Equals, registry.BeatFault{WorkerID: each.id, Field: each.field, Problem: each.problem})
			c.Assert(registry.Error.Has(err), qt.IsTrue)
			c.Assert(err, qt.ErrorMatches, "registry: heartbeat of worker .*check what this worker's release sends")
		})
	}
}

// Given arbitrary bytes, when parsed, then the result is a heartbeat or a BeatFault.
func TestParseBeatArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.OneOf(
			rapid.SliceOf(rapid.Byte()),
			rapid.Map(rapid.StringMatching(`\{"service":"s","address":"h:[0-9]{1,5}","call_count":[-0-9.e]{1,9}\}`),
				func(text string) []byte { return []byte(text) }),
		).Draw(t, "body")
		beat, err := registry.ParseBeat("w", body)
		var fault *registry.BeatFault
		assert(t, err == nil || errors.As(err, &fault), qt.IsTrue)
		assert(t, err == nil && beat.Address == "", qt.IsFalse)
	})
}
