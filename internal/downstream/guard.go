// Package downstream limits clients' connections for both fronts: their number, and which is closed when there are too many; the
// framing, the size and the duration of a request's head; and, through the account of package inflight, the memory that
// requests hold. net/http reads and answers what passes.
package downstream

import (
	"container/list"
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"sumacloft/internal/inflight"
	"sumacloft/internal/responseguard"
)

const (
	// headTimeout bounds the time for a request's head, requestTimeout the time from a request's first byte to its last.
	// A client that can't be served must get an error or a close within 3 s.
	headTimeout, requestTimeout = 2200 * time.Millisecond, 2600 * time.Millisecond
	// headGrace extends headTimeout for a head of which bytes are unread when it ends.
	headGrace = 400 * time.Millisecond
	// idleTimeout bounds the time that a connection may have no request. While more than half of the places are taken, those
	// that have been idle for minIdleTime are closed.
	idleTimeout, minIdleTime = 2 * time.Minute, 2100 * time.Millisecond
	maxHead                  = 16 << 10
	sweepInterval            = 250 * time.Millisecond
	// spareShare of the connections is kept for refusals: a client that waited in the backlog instead would wait past its
	// deadline, which the router does not know before it reads the request.
	spareShare = 1.0 / 16
)

// Guard limits clients' connections. Create it with New.
type Guard struct {
	account *inflight.Account // of what requests hold
	most    int               // connections
	open    int               // requests that may still be taken

	mu    sync.Mutex
	shed  bool // idle connections are closed at once, because the router shuts down
	swept time.Time
	freed *sync.Cond
	conns map[*Conn]struct{}
	idle  *list.List // of *Conn without an open request, the one idle for longest first
}

// New creates a guard that admits a number of connections and charges their requests to the account.
func New(connections int, account *inflight.Account) *Guard {
	g := &Guard{account: account, most: max(connections, 1), open: connections - int(spareShare*float64(connections)), conns: map[*Conn]struct{}{}, idle: list.New()}
	g.freed = sync.NewCond(&g.mu)
	return g
}

// Server returns an HTTP server for connections of this guard's listeners.
func (g *Guard) Server(front http.Handler, complaints *log.Logger) *http.Server {
	return &http.Server{Handler: responseguard.Handler(check(front)), ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHead, ErrorLog: complaints,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*Conn); ok && state == http.StateIdle {
				c.answered()
			}
		}}
}

type connKey struct{}

// of returns the connection of a request, or nil if its server is not one of this package.
func of(req *http.Request) *Conn {
	c, _ := req.Context().Value(connKey{}).(*Conn)
	return c
}

// check rejects requests whose framing is wrong, which net/http does not report to handlers, and limits the time in which a
// request must be complete.
func check(front http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if c := of(req); c != nil {
			fault, last, began := c.request()
			// Without a deadline the server would wait for the body of a refused request.
			if err := http.NewResponseController(w).SetReadDeadline(began.Add(requestTimeout)); err != nil {
				panic(http.ErrAbortHandler) // the connection is gone
			}
			if last {
				w.Header().Set("Connection", "close")
			}
			if fault != "" {
				http.Error(w, fault, http.StatusBadRequest)
				return
			}
		}
		front.ServeHTTP(w, req)
	})
}

// Listen wraps a listener. If all places are taken, the connection that has been idle for longest is closed; while none is idle,
// clients wait in the backlog.
func (g *Guard) Listen(l net.Listener) net.Listener { return &listener{l, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g := l.guard
	c := &Conn{Conn: raw, guard: g}
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.conns) >= g.most && !g.closeLongestIdle() {
		g.freed.Wait()
	}
	if c.holder, err = g.account.Open(true, c.evict); err != nil {
		_ = raw.Close() // no request was read from it
		return nil, err
	}
	g.conns[c] = struct{}{}
	c.rest()
	return c, nil
}

// closeLongestIdle closes the connection that has been idle for longest, and reports whether there was one. A connection with
// unread bytes has a request and is skipped. The caller holds the lock.
func (g *Guard) closeLongestIdle() bool {
	for at := g.idle.Front(); at != nil; at = at.Next() {
		if c := at.Value.(*Conn); quiet(c.Conn) {
			g.drop(c)
			return true
		}
	}
	return false
}

// Sweep closes, until the context ends, connections whose head takes too long, and idle ones while more than half of the places
// are taken.
func (g *Guard) Sweep(ctx context.Context) {
	every := time.NewTicker(sweepInterval)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			g.sweep(time.Now())
		}
	}
}

func (g *Guard) sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// After a pause of this process, bytes that arrived in time may still be unread.
	extendDeadline := !g.swept.IsZero() && now.Sub(g.swept) > 4*sweepInterval
	g.swept = now
	for c := range g.conns {
		if !extendDeadline && c.heading && !c.serving && now.Sub(c.since) > headTimeout {
			g.drop(c)
		}
	}
	for at := g.idle.Front(); at != nil && (g.shed || 2*len(g.conns) > g.most); {
		c := at.Value.(*Conn)
		at = at.Next()
		if rested := now.Sub(c.since) >= minIdleTime; !rested && !g.shed {
			return
		} else if !rested && !c.served { // its first request may be in flight
			continue
		}
		if quiet(c.Conn) {
			g.drop(c)
		}
	}
}

// Shed sets whether every sweep closes idle connections. A router that shuts down must keep none, because clients would send
// their next requests there. A connection with unread bytes, or one that was just opened, has a request in flight and is closed
// with its answer instead.
func (g *Guard) Shed(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shed = on
}

// Idle returns how many connections have no request.
func (g *Guard) Idle() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle.Len()
}

// Emptied waits until no connection is left. Call it with Shed on and the listener closed. net/http's own Shutdown would close
// connections on which a part of the next request has arrived.
func (g *Guard) Emptied() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.conns) > 0 {
		g.freed.Wait()
	}
}

// drop closes a connection. The lock is held.
func (g *Guard) drop(c *Conn) {
	c.leave()
	_ = c.Conn.Close() // no answer is pending on it
}

// enter admits a request. It returns false if too many are open.
func (g *Guard) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open <= 0 {
		return false
	}
	g.open--
	return true
}

// done ends a request that was admitted.
func (g *Guard) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open++
}
