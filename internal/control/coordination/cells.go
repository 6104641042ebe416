package coordination

import "sort"

// cell is a key's value.
type cell struct {
	Amount   string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}

// cellGroup is a group of keys, with one count of revisions.
type cellGroup struct {
	Revision uint64          `cbor:"1,keyasint"`
	Cells    map[string]cell `cbor:"2,keyasint"`
	// Events are the latest puts; all above Floor.
	Events []Event `cbor:"3,keyasint"`
	Floor  uint64  `cbor:"4,keyasint"`
}

// eventBytes is what an event takes in memory beside its texts.
const eventBytes = 40

func (e Event) size() int { return len(e.Key) + len(e.Amount) + eventBytes }

// replace puts a value under a key that has the expected revision, or under any where none is expected. A put that comes again gets the revision that it got
// before, as long as it is remembered or its value is still there; values are unique.
func (s *State) replace(c Call) Outcome {
	scope := CellGroup(c.Name)
	group := s.cells[scope]
	if group == nil {
		if len(s.cells) >= MaxGroups {
			return Outcome{Answer: Answer{Status: Full}}
		}
		group = &cellGroup{Cells: map[string]cell{}}
	}
	if revision, found := group.revisionOf(c); found && !s.faults.ForgetPuts {
		return Outcome{Answer: Answer{Status: Done, Revision: revision}}
	}
	current, exists := group.Cells[c.Name]
	if current.Revision != c.Expected && !c.Always {
		return Outcome{Answer: Answer{Status: Different, Revision: current.Revision}}
	}
	if !exists {
		if s.keys >= MaxKeys {
			return Outcome{Answer: Answer{Status: Full}}
		}
		s.keys++
	}
	s.cells[scope] = group
	group.Revision++
	group.Cells[c.Name] = cell{Amount: c.Amount, Revision: group.Revision}
	s.remember(group, Event{Key: c.Name, Amount: c.Amount, Revision: group.Revision})
	return Outcome{Answer: Answer{Status: Done, Revision: group.Revision}, Put: scope}
}

// revisionOf finds a put that took effect before.
func (g *cellGroup) revisionOf(c Call) (uint64, bool) {
	if current, exists := g.Cells[c.Name]; exists && current.Amount == c.Amount {
		return current.Revision, true
	}
	for i := len(g.Events) - 1; i >= 0 && g.Events[i].Revision > c.Expected; i-- {
		if event := g.Events[i]; event.Key == c.Name && event.Amount == c.Amount {
			return event.Revision, true
		}
	}
	return 0, false
}

func (s *State) remember(group *cellGroup, event Event) {
	group.Events = append(group.Events, event)
	s.history += event.size()
	for s.history > MaxHistoryBytes && len(group.Events) > 1 {
		s.drop(group, 1)
	}
}

// drop forgets a group's oldest events.
func (s *State) drop(group *cellGroup, count int) {
	for _, event := range group.Events[:count] {
		s.history -= event.size()
		group.Floor = event.Revision
	}
	group.Events = append([]Event(nil), group.Events[count:]...)
}

// Read gives a key's value: Done or Missing.
func (s *State) Read(key string) Answer {
	if group := s.cells[CellGroup(key)]; group != nil {
		if current, exists := group.Cells[key]; exists {
			return Answer{Status: Done, Amount: current.Amount, Revision: current.Revision}
		}
	}
	return Answer{Status: Missing}
}

// Watch gives all events of a group above a revision, and the group's revision: Done or TooOld. After revision 0 only the
// latter is told.
func (s *State) Watch(scope string, after uint64) Answer {
	group := s.cells[scope]
	if group == nil {
		return Answer{Status: Done}
	}
	answer := Answer{Status: Done, Revision: group.Revision}
	if after == 0 {
		return answer
	}
	if after < group.Floor {
		return Answer{Status: TooOld}
	}
	first := sort.Search(len(group.Events), func(i int) bool { return group.Events[i].Revision > after })
	answer.Events = group.Events[first:len(group.Events):len(group.Events)]
	return answer
}
