// Package siting carries the plan for the loss of a site between the store and a router: what the router sees of each
// site goes into the store as its report, and the posture that the fleet has agreed on reaches the decision module as
// weights of servers and parts of classes that are taken. What is decided about sites is decided in internal/decide/sites.
package siting

import (
	"sync"

	"sumacloft/internal/decide/sites"
)

// Meter counts what this router takes and sees between two reports.
type Meter struct {
	mu           sync.Mutex
	offered      map[string]int
	observations map[string]sites.Observation
	sessions     [2]map[uint64]bool   // sessions that were taken lately, in two generations
	arrivals     map[string]*arrivals // by class
}

// maxSessions bounds a generation of maxSessions that are remembered.
const maxSessions = 1 << 16

// rankWindow is how many arrivals of its class a new one is ranked among: few, so that clients who come again after a change
// are soon ranked among their like, and enough that a session's place is kept.
const rankWindow = 128

// arrivals are the scores of a class's last arrivals.
type arrivals struct {
	scores [rankWindow]float64
	count  int // how many there were
}

// NewMeter makes a meter.
func NewMeter() *Meter {
	return &Meter{offered: map[string]int{}, observations: map[string]sites.Observation{}, sessions: [2]map[uint64]bool{{}, {}}, arrivals: map[string]*arrivals{}}
}

// Arrived counts a request and gives its rank among those of its class that came lately: sessions under way come before new ones,
// and among either the order is the sessions' own, so that what is taken of a session is taken whole. Ranks are even
// from 0 to 1 whatever the sessions are, so a part of them is that part of what comes. Each class is ranked by itself:
// the part that is taken is a class's own, and where one class is refused more its clients come again and would take the
// other classes' places.
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
	return (float64(lower) + float64(equal)/2) / float64(count+1) // below 1: a class that is taken whole is
}

// remember remembers a session that is under way.
func (m *Meter) remember(session uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.sessions[0]) >= maxSessions {
		m.sessions = [2]map[uint64]bool{{}, m.sessions[0]}
	}
	m.sessions[0][session] = true
}

// Tried counts an attempt at a site that ended by itself.
func (m *Meter) Tried(site string, heard, inTime bool, session uint64) {
	m.Observe(site, func(s *sites.Observation) {
		s.Attempts++
		if heard {
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

// Observe changes what was seen of a site.
func (m *Meter) Observe(site string, change func(*sites.Observation)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	observation := m.observations[site]
	change(&observation)
	m.observations[site] = observation
}

// Drain gives what was counted, and begins anew.
func (m *Meter) Drain() (offered map[string]int, seen map[string]sites.Observation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	offered, seen = m.offered, m.observations
	m.offered, m.observations = map[string]int{}, map[string]sites.Observation{}
	return offered, seen
}

// hashFraction hashes a session to a number from 0 to 1 (splitmix64's finalizer).
func hashFraction(x uint64) float64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}
