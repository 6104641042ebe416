// Package events splits a stream of events into whole events as it comes, and follows their ids over several runs of the
// request.
package events

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds an event that is still coming, in bytes.
const maxEventBytes = 1 << 20

// Event is one whole event, or a whole block of lines that is none, such as a comment.
type Event struct {
	Text   []byte // as it came, with the empty line at its end
	ID     uint64
	HasID  bool // it has an id, a whole number
	Filler bool // it holds neither data nor an id
}

// Splitter cuts the pieces of a stream into events.
type Splitter struct {
	partial   []byte // of an event that is still coming
	lineStart int    // where in it the last line begins
}

// Add takes the next bytes of the stream and gives the events that are whole with them. The bytes are copied.
func (s *Splitter) Add(piece []byte) []Event {
	s.partial = append(s.partial, piece...)
	var whole []Event
	for end := s.nextEnd(); end > 0; end = s.nextEnd() {
		whole = append(whole, parse(s.partial[:end]))
		s.partial, s.lineStart = s.partial[end:], 0
	}
	return whole
}

// nextEnd is where the first event ends; 0 while it is still coming.
func (s *Splitter) nextEnd() int {
	for {
		line, _, ended := bytes.Cut(s.partial[s.lineStart:], []byte("\n"))
		if !ended {
			return 0
		}
		s.lineStart += len(line) + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return s.lineStart
		}
	}
}

// Partial is what has come of an event that is not whole.
func (s *Splitter) Partial() []byte { return s.partial }

// TooLarge tells that the event that is still coming is too large to be kept.
func (s *Splitter) TooLarge() bool { return len(s.partial) > maxEventBytes }

// parse reads the lines of an event. Of several ids the last one counts.
func parse(text []byte) Event {
	event := Event{Text: text, Filler: true}
	for line := range bytes.SplitSeq(text, []byte("\n")) {
		name, value, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		switch string(name) {
		case "data":
			event.Filler = false
		case "id":
			event.Filler = false
			event.ID, event.HasID = parseID(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
	return event
}

// parseID reads an id; one that would be written otherwise is not taken for a parseID.
func parseID(text []byte) (id uint64, ok bool) {
	id, err := strconv.ParseUint(string(text), 10, 63)
	if err != nil || strconv.FormatUint(id, 10) != string(text) {
		return 0, false
	}
	return id, true
}
