// Package siting applies the fleet's site failover plan on a router. It writes the router's observations of each site to
// the store as a report. It passes the shared decision to the decision module as class weights of servers and admitted
// fractions of classes. The decisions themselves are made in internal/decide/sites.
package siting

import (
	"sync"

	"sumacloft/internal/decide/sites"
)

// Meter counts this router's requests and its observations of sites between two reports.
type Meter struct {
	mu           sync.Mutex
	offered      map[string]int
	observations map[string]sites.Observation
	sessions     [2]map[uint64]bool   // recently admitted sessions, in two generations
	arrivals     map[string]*arrivals // recent arrivals by class
}

// maxSessions bounds a generation of recently admitted sessions.
const maxSessions = 1 << 16

// rankWindow is the number of recent arrivals of its class that a new arrival is ranked among. A small window soon ranks
// clients that retry after a change among one another. It is large enough to keep a session's rank stable.
const rankWindow = 128

// arrivals is a ring of the scores of a class's last arrivals.
type arrivals struct {
	scores [rankWindow]float64
	count  int // arrivals so far
}

// NewMeter returns an empty meter.
func NewMeter() *Meter {
	return &Meter{offered: map[string]int{}, observations: map[string]sites.Observation{}, sessions: [2]map[uint64]bool{{}, {}}, arrivals: map[string]*arrivals{}}
}

// Arrived counts a request and returns its rank among the recent arrivals of its class. Active sessions rank before new
// ones. Within both groups the order follows a hash of the session, so that all requests of a session are admitted or
// rejected together. Ranks are uniform between 0 and 1 for any mix of sessions, so a limit on the rank admits that fraction
// of the requests. Classes are ranked separately since each has its own admitted fraction. Otherwise retries of a class
// that is rejected more often would displace other classes.
func (m *Meter) Arrived(class string, session uint64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.offered[class]++
	score := hashFraction(session)
	if !m.sessions[0][session] && !m.sessions[1][session] {
		score++
	}
	recent := m.arrivals[class]
	if recent == nil {
		recent = &arrivals{}
		m.arrivals[class] = recent
	}
	lower, equal, count := 0, 0, min(recent.count, rankWindow)
	for _, other := range recent.scores[:count] {
		if other < score {
			lower++
		} else if other == score {
			equal++
		}
	}
	recent.scores[recent.count%rankWindow] = score
	recent.count++
	if count == 0 {
		return 0
	}
	return (float64(lower) + float64(equal)/2) / float64(count+1) // below 1, so that a fully admitted class loses no request
}

// remember marks a session as active.
func (m *Meter) remember(session uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.sessions[0]) >= maxSessions {
		m.sessions = [2]map[uint64]bool{{}, m.sessions[0]}
	}
	m.sessions[0][session] = true
}

// Tried counts an attempt at a site that was not cancelled. A session with an attempt in time becomes active.
func (m *Meter) Tried(site string, responded, inTime bool, session uint64) {
	m.Observe(site, func(s *sites.Observation) {
		s.Attempts++
		if responded {
			s.Answered, s.Served = s.Answered+1, s.Served+1
		}
		if inTime {
			s.InTime++
		} else {
			s.Late++
		}
	})
	if inTime {
		m.remember(session)
	}
}

// Observe updates the observation of a site.
func (m *Meter) Observe(site string, change func(*sites.Observation)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	observation := m.observations[site]
	change(&observation)
	m.observations[site] = observation
}

// TakeCounts returns the counts and resets them.
func (m *Meter) TakeCounts() (offered map[string]int, seen map[string]sites.Observation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	offered, seen = m.offered, m.observations
	m.offered, m.observations = map[string]int{}, map[string]sites.Observation{}
	return offered, seen
}

// hashFraction hashes a session to a number in [0, 1) with splitmix64's finalizer.
func hashFraction(x uint64) float64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}
