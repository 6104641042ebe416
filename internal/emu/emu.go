// Package emu emulates a model server, small: slots and a queue, a memory of beginnings, a cold start with a warm-up, and
// falling over when it is pushed. The model knows no clock, so that one code runs in real processes (Handler) and in
// virtual time; equal inputs give equal outputs.
package emu

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Settings are a server's.
type Settings struct {
	Slots   int           // answers at once
	Service time.Duration // of a unit of work in one slot, warm and with nothing remembered
	Queue   int           // requests that may wait; more are turned away
	// Keys is how many beginnings it remembers, Hit the part of the work that remembering one saves.
	Keys int
	Hit  float64
	// Warm is how long it takes from its start to its whole speed, Cold the part of that which it has at first.
	Warm time.Duration
	Cold float64
	// A server that is not warm falls over when it is offered more than Over times what it can do, over OverFor; it is
	// then away for Away, loses all it has, and starts cold.
	Over    float64
	OverFor time.Duration
	Away    time.Duration
}

// Fate is what becomes of a request that is offered.
type Fate uint8

// The fates.
const (
	Taken  Fate = iota
	Full        // turned away: it has not run
	Fell        // the server fell over with it
	Absent      // the server is away
)

// Done is a request that has run.
type Done struct {
	ID   uint64
	At   time.Duration
	Kept bool // its beginning was remembered
}

type piece struct {
	id   uint64
	work float64
	key  uint64
}

// Server is one server. Offer and Advance are given times that never go back.
type Server struct {
	set     Settings
	started time.Duration
	away    time.Duration // until then
	running []Done        // by time
	queue   []piece
	kept    *simplelru.LRU[uint64, struct{}] // beginnings; nil: it remembers none
	pushed  float64                          // work offered lately, decaying over OverFor
	at      time.Duration
	Falls   int // how often it fell over
	Wasted  float64
}

// New makes a server that starts at a time; one that has been up for long starts well before now.
func New(set Settings, started time.Duration) *Server {
	kept, _ := simplelru.NewLRU[uint64, struct{}](set.Keys, nil) // it fails without a size alone
	return &Server{set: set, started: started, kept: kept}
}

// Warmth is the part of its speed that it has.
func (s *Server) Warmth(now time.Duration) float64 {
	if s.set.Warm <= 0 || now-s.started >= s.set.Warm {
		return 1
	}
	return s.set.Cold + (1-s.set.Cold)*max(float64(now-s.started), 0)/float64(s.set.Warm)
}

// Capacity is what it can do a second when warm, in units of work.
func (set Settings) Capacity() float64 { return float64(set.Slots) / set.Service.Seconds() }

// Offer gives it a request. What falls with the server is returned by Advance as lost.
func (s *Server) Offer(now time.Duration, id uint64, work float64, key uint64) Fate {
	if now < s.away {
		return Absent
	}
	if s.set.Over > 0 && s.set.OverFor > 0 {
		s.pushed *= max(1-float64(now-s.at)/float64(s.set.OverFor), 0)
		s.at = now
		s.pushed += work
		room := s.set.Over * s.set.Capacity() * s.Warmth(now) * s.set.OverFor.Seconds()
		if s.Warmth(now) < 1 && s.pushed > room+float64(s.set.Slots) {
			s.Falls++
			s.away, s.started, s.pushed = now+s.set.Away, now+s.set.Away, 0
			s.Wasted += float64(len(s.running) + len(s.queue))
			s.running, s.queue = nil, nil
			if s.kept != nil {
				s.kept.Purge()
			}
			return Fell
		}
	}
	if len(s.running) >= s.set.Slots {
		if len(s.queue) >= s.set.Queue {
			return Full
		}
		s.queue = append(s.queue, piece{id, work, key})
		return Taken
	}
	s.begin(now, piece{id, work, key})
	return Taken
}

func (s *Server) begin(now time.Duration, p piece) {
	known := false
	if p.key != 0 && s.kept != nil {
		if _, known = s.kept.Get(p.key); known {
			p.work *= 1 - s.set.Hit
		}
		s.kept.Add(p.key, struct{}{})
	}
	end := now + time.Duration(p.work/s.Warmth(now)*float64(s.set.Service))
	i := len(s.running)
	for i > 0 && s.running[i-1].At > end {
		i--
	}
	s.running = append(s.running, Done{})
	copy(s.running[i+1:], s.running[i:])
	s.running[i] = Done{p.id, end, known}
}

// Next is when the next request ends; false: none runs.
func (s *Server) Next() (time.Duration, bool) {
	if len(s.running) == 0 {
		return 0, false
	}
	return s.running[0].At, true
}

// Advance ends what has run by a time, and begins what waits.
func (s *Server) Advance(now time.Duration) (out []Done) {
	for len(s.running) > 0 && s.running[0].At <= now {
		d := s.running[0]
		s.running = s.running[1:]
		out = append(out, d)
		if len(s.queue) > 0 {
			p := s.queue[0]
			s.queue = s.queue[1:]
			s.begin(d.At, p)
		}
	}
	return out
}

// Away tells whether it answers nobody.
func (s *Server) Away(now time.Duration) bool { return now < s.away }

// Load is how many run and wait.
func (s *Server) Load() (running, waiting int) { return len(s.running), len(s.queue) }
