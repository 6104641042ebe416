// Package lab is a laboratory of processes: it starts daemons of the built program with files and directories of their
// own, leads the connections between them, and to stand-in servers, clients and operators, through links on loopback
// that fail on demand, ends and stops the processes by a schedule, and has a checker judge what clients saw.
package lab

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a direction of a link does with what comes.
type Mode struct {
	Kind  Kind
	Delay time.Duration // with Late: of each piece
	Rate  int           // with Slow: bytes a second
}

// Kind names a mode.
type Kind uint8

// The kinds.
const (
	Pass   Kind = iota
	Silent      // nothing comes through, and connections stay open; it comes once the link is healed
	Cut         // connections are closed, and new ones too
	Reset       // the same, with a reset
	Late
	Slow
)

// Link leads the connections to one address through faults.
type Link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	modes   [2]Mode // towards the target, and back
	changed chan struct{}
	pairs   map[*pair]bool
	closed  bool
}

type pair struct{ near, far net.Conn }

func (p *pair) close(reset bool) {
	for _, c := range [...]net.Conn{p.near, p.far} {
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// NewLink opens a link at an address of the host.
func NewLink(h *Host, target string) (*Link, error) {
	l, err := h.Listen()
	if err != nil {
		return nil, err
	}
	out := &Link{listener: l, target: target, changed: make(chan struct{}), pairs: map[*pair]bool{}}
	go out.accept()
	return out, nil
}

// Addr is where the link is dialled.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Close ends the link and all that goes through it.
func (l *Link) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Set(Mode{Kind: Cut}, Mode{Kind: Cut})
	return l.listener.Close()
}

// Set has both directions do something else from now on.
func (l *Link) Set(forward, back Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.modes = [2]Mode{forward, back}
	close(l.changed)
	l.changed = make(chan struct{})
	for _, m := range l.modes {
		if m.Kind == Cut || m.Kind == Reset {
			for p := range l.pairs {
				p.close(m.Kind == Reset)
			}
		}
	}
}

func (l *Link) mode(back int) (Mode, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.modes[back], l.changed, l.closed
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.lead(near)
	}
}

func (l *Link) lead(near net.Conn) {
	p := &pair{near: near, far: near}
	for _, back := range [...]int{0, 1} {
		if m, _, closed := l.mode(back); m.Kind == Cut || m.Kind == Reset || closed {
			p.close(m.Kind == Reset)
			return
		}
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		p.close(true) // as if the target had refused
		return
	}
	p.far = far
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); l.pump(p, near, far, 0) }()
	go func() { defer both.Done(); l.pump(p, far, near, 1) }()
	both.Wait()
	p.close(false)
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// pump carries one direction until an end closes, or the link is cut.
func (l *Link) pump(p *pair, from, to net.Conn, back int) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.pass(to, buf[:n], back) {
			p.close(false)
			return
		}
		if errors.Is(err, io.EOF) {
			// What was sent before is through; the other direction may go on.
			if t, ok := to.(*net.TCPConn); ok && l.through(back) {
				_ = t.CloseWrite()
				return
			}
		}
		if err != nil {
			p.close(false)
			return
		}
	}
}

// through waits while the direction is silent.
func (l *Link) through(back int) bool {
	for {
		m, changed, closed := l.mode(back)
		switch {
		case closed || m.Kind == Cut || m.Kind == Reset:
			return false
		case m.Kind != Silent:
			return true
		}
		<-changed
	}
}

func (l *Link) pass(to net.Conn, data []byte, back int) bool {
	for len(data) > 0 {
		if !l.through(back) {
			return false
		}
		piece := data
		switch m, _, _ := l.mode(back); m.Kind {
		case Late:
			time.Sleep(m.Delay)
		case Slow:
			piece = data[:min(len(data), max(m.Rate/100, 1))]
			time.Sleep(10 * time.Millisecond)
		}
		if !l.through(back) { // it may have fallen silent meanwhile
			return false
		}
		if _, err := to.Write(piece); err != nil {
			return false
		}
		data = data[len(piece):]
	}
	return true
}

// Host is a loopback address that this laboratory has for itself, so that ports on it are free for it alone: any
// other laboratory claims another, and connections come from 127.0.0.1.
type Host struct {
	ip    string
	claim net.Listener

	mu   sync.Mutex
	port int
}

const claimPort, firstPort, lastPort = 1024, 2000, 30000

// NewHost claims an address; seed only says where the search begins.
func NewHost(seed uint64) (*Host, error) {
	const hosts = 200 * 250 * 250
	for i := range uint64(1000) {
		n := (seed*7919 + i*104729) % hosts
		ip := fmt.Sprintf("127.%d.%d.%d", 50+n/62500, 1+n/250%250, 1+n%250)
		if claim, err := net.Listen("tcp", fmt.Sprint(ip, ":", claimPort)); err == nil {
			return &Host{ip: ip, claim: claim, port: firstPort}, nil
		}
	}
	return nil, errors.New("no loopback address is free")
}

// Port gives an address on the host that nobody else is given. A port that another program has on all addresses is
// passed over.
func (h *Host) Port() string {
	l, err := h.Listen()
	if err != nil {
		return "" // whoever listens there says so
	}
	defer l.Close()
	return l.Addr().String()
}

// Listen listens at a port of the host's.
func (h *Host) Listen() (net.Listener, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		h.port++
		l, err := net.Listen("tcp", fmt.Sprint(h.ip, ":", h.port))
		if err == nil || h.port > lastPort {
			return l, err
		}
	}
}

// Close gives the address up.
func (h *Host) Close() error { return h.claim.Close() }
