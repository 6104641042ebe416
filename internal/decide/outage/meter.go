package outage

import (
	"maps"
	"time"
)

// Attempt is an attempt at a server that ended on its own.
type Attempt struct {
	Server     string
	Answered   bool // with any status
	InTime     bool
	Failed     bool
	FirstToken time.Duration // until its answer began
}

// Cohort is the version that a server's answers count for.
type Cohort uint8

// The cohorts. A server that is out or returning belongs to neither version.
const (
	NoCohort Cohort = iota
	OldCohort
	NewCohort
)

// Cohorts returns the cohort of each server by its label. It returns nil if no release is counted.
func (s *State) Cohorts(labels map[string]string) (run string, cohorts map[string]Cohort) {
	if s == nil || s.Release == nil || !s.Release.Counted() {
		return "", nil
	}
	cohorts = map[string]Cohort{}
	for name, label := range labels {
		if _, out := s.Permits[ID(Server, name)]; out {
			continue
		}
		cohorts[name] = OldCohort
		if label == s.Release.To {
			cohorts[name] = NewCohort
		}
	}
	return s.Release.Run, cohorts
}

// Meter counts the outcomes of one router's attempts for the current release. It is not safe for concurrent use.
//
// The expected number of the new version's failures is computed separately for each stretch in which the cohorts stay
// the same, and for each kind of server. Pooling hours or kinds of servers in which the cohorts' shares of the requests
// differ would be misleading: a version that received most of its requests in a bad hour would look worse.
type Meter struct {
	run        string
	worseRatio float64
	cohorts    map[string]Cohort
	kinds      map[string]string
	counts     Counts // Expected covers the closed stretches
	open       map[string]*[2]Tally
}

// stretchRequests is the number of requests of each cohort that closes a stretch before the cohorts change.
const stretchRequests = 20

// Configure sets what following attempts count for: a run of a release, the cohorts, and the kinds of servers, which may
// be nil. worse is the halt's bound on the ratio of failure rates. A new run starts from zero.
func (m *Meter) Configure(run string, cohorts map[string]Cohort, kinds map[string]string, worse float64) {
	if run != m.run {
		m.run, m.counts, m.open = run, Counts{}, nil
	}
	m.worseRatio = worse
	if !maps.Equal(m.cohorts, cohorts) || !maps.Equal(m.kinds, kinds) {
		for _, pair := range m.open {
			m.counts.addStretch(pair[0], pair[1], m.worseRatio)
		}
		m.open = nil
	}
	m.cohorts, m.kinds = cohorts, kinds
}

// Record counts an attempt.
func (m *Meter) Record(a Attempt) {
	cohort := m.cohorts[a.Server]
	if cohort == NoCohort {
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
	if cohort == NewCohort {
		total = &m.counts.New
	}
	for _, t := range [...]*Tally{total, &pair[cohort-OldCohort]} {
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

// RecordClass counts a request of a class, or a refused one.
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

// Snapshot returns the counts so far, for a report.
func (m *Meter) Snapshot() (run string, c Counts) {
	c = m.counts
	for _, pair := range m.open {
		c.addStretch(pair[0], pair[1], m.worseRatio)
	}
	c.Asked, c.Refused = maps.Clone(c.Asked), maps.Clone(c.Refused)
	return m.run, c
}
