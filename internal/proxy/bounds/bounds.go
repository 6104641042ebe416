// Package bounds holds clients' connections to the limits of the configuration in force: how long the head of a request
// may be and how long it may take, and how long a connection may be idle. net/http fixes these when a server is made;
// here they change while connections are open. The rest of a request is bounded by the front, which reads it.
package bounds

import (
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"sumacloft/internal/opconf"
)

const (
	// The limits while the configuration gives none.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes is net/http's own bound for a head, which can't change; no configured one counts beyond it.
	maxHeaderBytes = 1 << 20
)

// Limiter holds connections to limits. Use New.
type Limiter struct {
	mu     sync.Mutex
	limits opconf.Limits
	conns  map[*Conn]struct{}
}

// New makes a keeper with the limits that count while no configuration is known.
func New() *Limiter {
	return &Limiter{limits: withDefaults(opconf.Limits{}), conns: map[*Conn]struct{}{}}
}

// withDefaults puts the defaults in the place of limits that were not given.
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

// SetLimits holds all connections to these limits from now on, open ones included.
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

// Server is net/http's, for connections of this keeper's listeners.
func (l *Limiter) Server(handler http.Handler, errorLog *log.Logger) *http.Server {
	return &http.Server{
		Handler:        handler,
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

// Listen wraps a listener.
func (l *Limiter) Listen(ln net.Listener) net.Listener { return &listener{Listener: ln, limiter: l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept serves net.Listener.
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
