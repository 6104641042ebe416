// Package bounds applies the configured limits to clients' connections: the size and duration of a request's head, and
// the idle time of a connection. net/http fixes these limits when a server is created; here they can change while
// connections are open. Package front bounds the rest of a request, as it reads it.
package bounds

import (
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"sumacloft/internal/opconf"
	"sumacloft/internal/responseguard"
)

const (
	// Limits that apply if the configuration sets none.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes is net/http's own limit for a head. It can't change, so a larger configured limit has no effect
	// beyond it.
	maxHeaderBytes = 1 << 20
)

// Limiter applies limits to connections. Create it with New.
type Limiter struct {
	mu     sync.Mutex
	limits opconf.Limits
	conns  map[*Conn]struct{}
}

// New creates a limiter with the default limits, which apply until a configuration is known.
func New() *Limiter {
	return &Limiter{limits: withDefaults(opconf.Limits{}), conns: map[*Conn]struct{}{}}
}

// withDefaults replaces unset limits by their defaults.
func withDefaults(limits opconf.Limits) opconf.Limits {
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	if limits.HeaderWait <= 0 {
		limits.HeaderWait = defaultHeaderTimeout
	}
	if limits.Quiet <= 0 {
		limits.Quiet = defaultIdleTimeout
	}
	return limits
}

// SetLimits applies the limits to all connections, including open ones.
func (l *Limiter) SetLimits(limits opconf.Limits) {
	limits = withDefaults(limits)
	l.mu.Lock()
	defer l.mu.Unlock()
	if limits == l.limits {
		return
	}
	l.limits = limits
	for conn := range l.conns {
		conn.setLimits(limits)
	}
}

// Server returns an HTTP server for connections of this limiter's listeners.
func (l *Limiter) Server(handler http.Handler, errorLog *log.Logger) *http.Server {
	return &http.Server{
		Handler:        responseguard.Handler(handler),
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       errorLog,
		ConnState: func(conn net.Conn, state http.ConnState) {
			c, tracked := conn.(*Conn)
			switch {
			case tracked && state == http.StateActive:
				c.requestStarted()
			case tracked && state == http.StateIdle:
				c.requestFinished()
			}
		},
	}
}

// Listen wraps a listener so that the limits apply to its connections.
func (l *Limiter) Listen(ln net.Listener) net.Listener { return &listener{Listener: ln, limiter: l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.limiter.track(raw), nil
}

func (l *Limiter) track(raw net.Conn) *Conn {
	conn := &Conn{Conn: raw, limiter: l, phaseStart: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	conn.setLimits(l.limits)
	return conn
}

func (l *Limiter) untrack(conn *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}
