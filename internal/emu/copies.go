package emu

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sumacloft/internal/decide/reuse"
)

// Keep has a server remember a beginning that was brought to it.
func (s *Server) Keep(key uint64) {
	if s.kept != nil {
		s.kept.Add(key, struct{}{})
	}
}

// Keeps tells whether a server remembers a beginning, without using it.
func (s *Server) Keeps(key uint64) bool { return s.kept != nil && s.kept.Contains(key) }

// Keep has the server remember a beginning that was brought to it.
func (h *Handler) Keep(key uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.server.Keep(key)
}

// Keeps tells whether the server remembers a beginning.
func (h *Handler) Keeps(key uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.server.Keeps(key)
}

// Restart loses all that the server remembers, as a new process does; what runs is not touched.
func (h *Handler) Restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server.kept != nil {
		h.server.kept.Purge()
	}
}

// Links carry beginnings between emulated servers, each link one after the other at a rate. They serve the Copier of
// internal/fleet/reuse.
type Links struct {
	Rate    float64             // tokens a second, of each link
	Servers map[string]*Handler // by name
	Regions map[string][]string // names of servers, by region
	Cut     func(from, to string) bool

	mu   sync.Mutex
	busy map[[2]string]time.Time // until when a link carries what was sent
	Sent map[[2]string]int       // tokens; read it when nothing is under way
}

// LinkError says that a beginning could not be brought.
type LinkError struct {
	From, To string
	Says     string
}

func (e *LinkError) Error() string { return fmt.Sprintf("from %s to %s: %s", e.From, e.To, e.Says) }

// Advice says what an operator can do.
func (e *LinkError) Advice() string { return "nothing: the copy is ordered again where it still pays" }

// Region serves the Copier: the routers of where a copy goes have it brought.
func (l *Links) Region(c reuse.Copy) string { return c.To }

// Has serves the Copier: any of them can.
func (l *Links) Has(reuse.Copy) bool { return true }

// Copy brings a beginning to the server that is to hold it.
func (l *Links) Copy(ctx context.Context, c reuse.Copy) error {
	to := l.Servers[c.Server]
	if to == nil {
		return &LinkError{c.From, c.To, "no server is named " + c.Server}
	}
	if to.Keeps(uint64(c.Prefix)) {
		return nil
	}
	has := func() bool {
		for _, name := range l.Regions[c.From] {
			if l.Servers[name].Keeps(uint64(c.Prefix)) {
				return true
			}
		}
		return false
	}
	cut := func() bool { return l.Cut != nil && l.Cut(c.From, c.To) }
	if !has() {
		return &LinkError{c.From, c.To, "no server there has it"}
	}
	link := [2]string{c.From, c.To}
	l.mu.Lock()
	if l.busy == nil {
		l.busy, l.Sent = map[[2]string]time.Time{}, map[[2]string]int{}
	}
	until := l.busy[link]
	if now := time.Now(); until.Before(now) {
		until = now
	}
	until = until.Add(time.Duration(float64(c.Tokens) / l.Rate * float64(time.Second)))
	l.busy[link] = until
	l.Sent[link] += c.Tokens
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(until)):
	}
	if cut() {
		return &LinkError{c.From, c.To, "the link is cut"}
	}
	to.Keep(uint64(c.Prefix))
	return nil
}

// Drop serves the Copier: what is not held is forgotten as other beginnings are.
func (l *Links) Drop(reuse.Copy) {}
