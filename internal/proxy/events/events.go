// Package events splits a stream of server-sent events into whole events as it arrives. It also tracks the event ids of
// an answer that is resumed by further runs of the request.
package events

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds an event that is not complete yet.
const maxEventBytes = 1 << 20

// Event is one complete event, or a complete block of lines that holds no event, such as a comment.
type Event struct {
	Text   []byte // unchanged, including the empty line at its end
	ID     uint64
	HasID  bool // it has an id that is a whole number
	Filler bool // it holds neither data nor an id, as a keep-alive comment does
}

// Splitter splits a stream that arrives in pieces into events.
type Splitter struct {
	partial   []byte // bytes of the incomplete event
	lineStart int    // offset in partial where the last line begins
}

// Add appends the next bytes of the stream and returns the events that they complete. The bytes are copied.
func (s *Splitter) Add(piece []byte) []Event {
	s.partial = append(s.partial, piece...)
	var completed []Event
	for end := s.nextEnd(); end > 0; end = s.nextEnd() {
		completed = append(completed, parse(s.partial[:end]))
		s.partial, s.lineStart = s.partial[end:], 0
	}
	return completed
}

// nextEnd returns the offset of the first event's end, or 0 if the event is incomplete.
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

// Partial returns the bytes of the incomplete event.
func (s *Splitter) Partial() []byte { return s.partial }

// TooLarge reports whether the incomplete event exceeds the size limit.
func (s *Splitter) TooLarge() bool { return len(s.partial) > maxEventBytes }

// parse parses the lines of an event. If there are several ids, the last one counts.
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

// parseID parses a numeric id. It accepts only the canonical decimal form.
func parseID(text []byte) (id uint64, ok bool) {
	id, err := strconv.ParseUint(string(text), 10, 63)
	if err != nil || strconv.FormatUint(id, 10) != string(text) {
		return 0, false
	}
	return id, true
}
