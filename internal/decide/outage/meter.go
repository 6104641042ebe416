package outage

import (
	"maps"
	"time"
)

// Attempt is an attempt at a server that ended by itself.
type Attempt struct {
	Server     string
	Answered   bool // it answered, whatever it said
	InTime     bool
	Failed     bool
	FirstToken time.Duration // until its answer began
}

// Cohort is whether a server's answers are the old version's or the new one's.
type Cohort uint8

// The sides. What is out, or comes back just now, is on neither.
const (
	NoCohort Cohort = iota
	OldCohort
	NewCohort
)

// Cohorts tells of which version servers are, given their labels; nil: no release runs, and nothing is counted.
func (s *State) Cohorts(labels map[string]string) (run string, sides map[string]Cohort) {
	if s == nil || s.Release == nil || !s.Release.Counted() {
		return "", nil
	}
	sides = map[string]Cohort{}
	for name, label := range labels {
		if _, away := s.Permits[ID(Server, name)]; away {
			continue
		}
		sides[name] = OldCohort
		if label == s.Release.To {
			sides[name] = NewCohort
		}
	}
	return s.Release.Run, sides
}

// Meter counts for the release that runs what a router's attempts came to. It is not safe for use by several at once.
//
// How many of all failures may be the new version's is counted apart for each stretch in which the sides stay the same, and for
// each kind of server: rates of several hours, or of quick and slow servers, are not put together where the versions' parts of
// the requests differ between them. Otherwise a version that had most of its requests in a bad hour would look worse.
type Meter struct {
	run        string
	worseRatio float64
	cohorts    map[string]Cohort
	kinds      map[string]string
	counts     Counts // Expect of what is over
	open       map[string]*[2]Tally
}

// stretchRequests is how many requests each side must have for a stretchRequests to end before the sides change.
const stretchRequests = 20

// Configure has what comes from now on counted for a run of a release, as the halt's bound on the old version's rate says; kinds may be nil.
// Another run begins anew.
func (m *Meter) Configure(run string, sides map[string]Cohort, kinds map[string]string, worse float64) {
	if run != m.run {
		m.run, m.counts, m.open = run, Counts{}, nil
	}
	m.worseRatio = worse
	if !maps.Equal(m.cohorts, sides) || !maps.Equal(m.kinds, kinds) {
		for _, pair := range m.open {
			m.counts.addStretch(pair[0], pair[1], m.worseRatio)
		}
		m.open = nil
	}
	m.cohorts, m.kinds = sides, kinds
}

// Record counts an attempt.
func (m *Meter) Record(a Attempt) {
	side := m.cohorts[a.Server]
	if side == NoCohort {
		return
	}
	if m.open == nil {
		m.open = map[string]*[2]Tally{}
	}
	kind := m.kinds[a.Server]
	pair := m.open[kind]
	if pair == nil {
		pair = new([2]Tally)
		m.open[kind] = pair
	}
	total := &m.counts.Old
	if side == NewCohort {
		total = &m.counts.New
	}
	for _, t := range [...]*Tally{total, &pair[side-OldCohort]} {
		t.N++
		if a.Failed {
			t.Failed++
			continue
		}
		if !a.InTime {
			t.Late++
		}
		t.FirstToken[Bucket(milliseconds(a.FirstToken))]++
	}
	if pair[0].N >= stretchRequests && pair[1].N >= stretchRequests {
		m.counts.addStretch(pair[0], pair[1], m.worseRatio)
		delete(m.open, kind)
	}
}

// RecordClass counts a request of a class, or one that was refused.
func (m *Meter) RecordClass(name string, refused bool) {
	if m.run == "" {
		return
	}
	if m.counts.Asked == nil {
		m.counts.Asked, m.counts.Refused = map[string]int64{}, map[string]int64{}
	}
	if refused {
		m.counts.Refused[name]++
	} else {
		m.counts.Asked[name]++
	}
}

// Snapshot gives what was counted, for a report.
func (m *Meter) Snapshot() (run string, c Counts) {
	c = m.counts
	for _, pair := range m.open {
		c.addStretch(pair[0], pair[1], m.worseRatio)
	}
	c.Asked, c.Refused = maps.Clone(c.Asked), maps.Clone(c.Refused)
	return m.run, c
}
