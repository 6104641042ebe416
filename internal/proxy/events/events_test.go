package events_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sumacloft/internal/proxy/events"
)

// TestSplitDoesNotDependOnPieces checks that the events of a stream do not depend on how it is split into pieces, and
// that no byte is lost or duplicated.
func TestSplitDoesNotDependOnPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.SampledFrom([]string{"id: 1", "id:23", "id: x", "data: a", "data", ": note", "versions: 2", "", ""}))
		ends := rapid.SampledFrom([]string{"\n", "\r\n"})
		var text []byte
		for _, line := range lines.Draw(t, "lines") {
			text = append(text, line+ends.Draw(t, "end")...)
		}
		var atOnce, inPieces events.Splitter
		want := atOnce.Add(text)
		var got []events.Event
		for rest := text; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			piece := bytes.Clone(rest[:n])
			got = append(got, inPieces.Add(piece)...)
			clear(piece) // the caller may reuse the slice
			rest = rest[n:]
		}
		var rejoined []byte
		if len(got) != len(want) {
			t.Fatalf("got %d events in pieces, %d at once", len(got), len(want))
		}
		for i := range got {
			if got[i].ID != want[i].ID || got[i].HasID != want[i].HasID || got[i].Filler != want[i].Filler {
				t.Fatalf("got %+v in pieces, %+v at once", got[i], want[i])
			}
			rejoined = append(rejoined, got[i].Text...)
		}
		if rejoined = append(rejoined, inPieces.Partial()...); !bytes.Equal(rejoined, text) {
			t.Fatalf("got %q from splitting %q", rejoined, text)
		}
	})
}

func TestEventsAreParsed(t *testing.T) {
	for text, want := range map[string]events.Event{
		"id: 7\ndata: x\n\n":                  {ID: 7, HasID: true},
		"versions: 2\r\nid:7\r\ndata\r\n\r\n": {ID: 7, HasID: true},
		"id: 7\n\n":                           {ID: 7, HasID: true},
		"id: 6\nid: 7\ndata: x\n\n":           {ID: 7, HasID: true},
		"data: x\n\n":                         {},
		"id: 07\ndata: x\n\n":                 {},
		"id: -7\ndata: x\n\n":                 {},
		"id: 7a\ndata: x\n\n":                 {},
		"id\ndata: x\n\n":                     {},
		": id: 7\n\n":                         {Filler: true},
		"retry: 7\n\n":                        {Filler: true},
		"\n":                                  {Filler: true},
	} {
		t.Run(text, func(t *testing.T) {
			c := qt.New(t)
			var split events.Splitter
			got := split.Add([]byte(text))
			c.Assert(got, qt.HasLen, 1)
			c.Assert(string(got[0].Text), qt.Equals, text)
			got[0].Text = nil
			c.Assert(got[0], qt.DeepEquals, want)
			c.Assert(split.Partial(), qt.HasLen, 0)
		})
	}
}

func TestTooLargeEventIsReported(t *testing.T) {
	c := qt.New(t)
	var split events.Splitter
	split.Add([]byte("data: "))
	c.Assert(split.TooLarge(), qt.IsFalse)
	split.Add([]byte(strings.Repeat("x", 1<<20)))
	c.Assert(split.TooLarge(), qt.IsTrue)
}
