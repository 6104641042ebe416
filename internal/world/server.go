package world

import (
	"time"

	"sumacloft/brain"
	"sumacloft/internal/emu"
)

type server struct {
	w    *world
	id   int
	site int
	emu  *emu.Server
	dead bool
	life int // counts its starts
	open map[uint64]*attempt
	due  time.Duration
}

// away tells whether nothing answers there.
func (s *server) away() bool { return s.dead || s.emu.Away(s.w.now) }

func (s *server) take(at *attempt) {
	s.advance()
	if s.dead {
		s.w.finish(s, at, brain.ConnectFailed)
		return
	}
	s.w.ids++
	id, falls := s.w.ids, s.emu.Falls
	fate := s.emu.Offer(s.w.now, id, 1, at.q.client.session)
	if s.emu.Falls > falls {
		s.fall()
	}
	switch fate {
	case emu.Taken:
		s.open[id] = at
		s.wake()
	case emu.Full:
		s.w.finish(s, at, brain.Full)
	case emu.Absent:
		s.w.finish(s, at, brain.ConnectFailed)
	default:
		s.w.finish(s, at, brain.Broke)
	}
}

// fall breaks all that a server has, in the order of its taking.
func (s *server) fall() {
	for id := range sorted(s.open) {
		s.w.finish(s, s.open[id], brain.Broke)
		delete(s.open, id)
	}
}

func (s *server) advance() {
	if s.dead {
		return
	}
	for _, d := range s.emu.Advance(s.w.now) {
		if at := s.open[d.ID]; at != nil {
			delete(s.open, d.ID)
			s.w.finish(s, at, brain.Served)
		}
	}
}

// wake has the server ask for itself again when the next request ends.
func (s *server) wake() {
	at, any := s.emu.Next()
	if !any || (s.due > s.w.now && s.due <= at) {
		return
	}
	s.due = at
	life := s.life
	s.w.after(max(at-s.w.now, 0), func() {
		if s.life == life && !s.dead {
			s.due = 0
			s.advance()
			s.wake()
		}
	})
}
