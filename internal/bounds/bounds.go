// Package bounds limits what clients' connections may send and hold: the size and duration of a request's head, the time
// without a byte, the time to accept an answer, and, through an account of the process, the memory and the number of
// connections. net/http fixes its limits when a server is created; here they can change while connections are open. The
// proxy's front bounds the body of a request as it reads it; the bodies of other servers are bounded by MeterBodies.
package bounds

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"sumacloft/internal/inflight"
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

// fixed are the limits of servers that no configuration concerns: those for workers, operators, applications, the platform,
// and the other processes of the system.
var fixed = opconf.Limits{HeaderBytes: 16 << 10, HeaderWait: 5 * time.Second, Quiet: 60 * time.Second}

// Limiter applies limits to connections. Create it with New, NewFixed or NewPreferred.
type Limiter struct {
	account      *inflight.Account
	preferred    bool
	chargeWrites bool // large parts of answers are charged while they are written

	mu     sync.Mutex
	limits opconf.Limits
	conns  map[*Conn]struct{}
}

// New creates a limiter with the default limits, which apply until a configuration is known. Its connections share the
// account with all others of the process.
func New(account *inflight.Account) *Limiter {
	return &Limiter{account: account, limits: withDefaults(opconf.Limits{}), conns: map[*Conn]struct{}{}}
}

// NewFixed creates a limiter with the fixed limits of all servers but the front's.
func NewFixed(account *inflight.Account) *Limiter {
	limiter := New(account)
	limiter.limits, limiter.chargeWrites = fixed, true
	return limiter
}

// NewPreferred creates a limiter with the fixed limits, whose connections may take the account's reserved places.
func NewPreferred(account *inflight.Account) *Limiter {
	limiter := NewFixed(account)
	limiter.preferred = true
	return limiter
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
		Handler:        responseguard.Handler(endBodies(handler)),
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       errorLog,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
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

// connKey is the context key of a request's *Conn.
type connKey struct{}

// Holder returns what accounts for a request, or nil if its server is not one of this package.
func Holder(request *http.Request) *inflight.Holder { return HolderOf(request.Context()) }

// HolderOf is Holder for the context of a request.
func HolderOf(ctx context.Context) *inflight.Holder {
	if conn, ok := ctx.Value(connKey{}).(*Conn); ok {
		return conn.holder
	}
	return nil
}

// Listen wraps a listener so that the limits apply to its connections.
func (l *Limiter) Listen(ln net.Listener) net.Listener { return &listener{Listener: ln, limiter: l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener. A connection that the account does not admit is closed: no request was read from it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn, err := l.limiter.track(raw)
		if err == nil {
			return conn, nil
		}
		_ = raw.Close() // nothing was written
	}
}

func (l *Limiter) track(raw net.Conn) (*Conn, error) {
	conn := &Conn{Conn: raw, limiter: l, phaseStart: time.Now()}
	holder, err := l.account.Open(l.preferred, conn.evict)
	if err != nil {
		return nil, err
	}
	conn.holder = holder
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	conn.setLimits(l.limits)
	return conn, nil
}

func (l *Limiter) untrack(conn *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}
