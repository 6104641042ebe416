package outage

import (
	"maps"
	"sync"
	"time"

	"sumacloft/internal/decide/outage"
)

// Attempt is an attempt at a server that ended by itself.
type Attempt = outage.Attempt

// meter counts for the release that runs, and keeps since when servers have been silent.
type meter struct {
	mu     sync.Mutex
	counts outage.Meter
	asked  map[string]bool
	silent map[string]time.Duration // since when
	now    func() time.Duration
}

// count has what comes from now on counted for a run of a release; another run begins anew.
func (m *meter) count(run string, sides map[string]outage.Cohort, kinds map[string]string, worse float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Configure(run, sides, kinds, worse)
}

// tried counts an attempt.
func (m *meter) tried(a Attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.saw(a.Server, a.Answered)
	m.counts.Record(a)
}

// saw notes a sign of life, or that one did not come; the lock is held.
func (m *meter) saw(server string, heard bool) {
	m.asked[server] = true
	if _, was := m.silent[server]; heard {
		delete(m.silent, server)
	} else if !was {
		m.silent[server] = m.now()
	}
}

// class counts a request of a class, and one that was refused.
func (m *meter) class(name string, refused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.RecordClass(name, refused)
}

// cut gives what was counted, for a report.
func (m *meter) cut() (run string, c outage.Counts, silentMs map[string]float64, asked map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	run, c = m.counts.Snapshot()
	silentMs = map[string]float64{}
	for id, since := range m.silent {
		silentMs[id] = max(float64(m.now()-since)/float64(time.Millisecond), 1)
	}
	return run, c, silentMs, maps.Clone(m.asked)
}

// forget drops what is known of a server that is not listed any more.
func (m *meter) forget(listed func(id string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.asked {
		if !listed(id) {
			delete(m.asked, id)
			delete(m.silent, id)
		}
	}
}
