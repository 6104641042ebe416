// Package downstream guards the router against its clients, for both fronts: how many connections there are and
// which of them make room for others, what may pass for the head of a request, how long one may take to come and
// how much of it is held. What gets past it is read and answered by net/http.
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
	// headTime is how long a connection may take for its first head, comeTime how long a request may take from
	// its first byte to its last. A client that can't be served is owed an error or a close 3 s after it connected.
	headTime, comeTime = 2200 * time.Millisecond, 2600 * time.Millisecond
	// lateTime is what a head gets on top whose bytes lay unread at the end of its time.
	lateTime = 400 * time.Millisecond
	// idleTime is how long a client may keep a connection without a request; one that is short of room lets those
	// go that have been idle for restTime.
	idleTime, restTime = 2 * time.Minute, 2100 * time.Millisecond
	maxHead            = 16 << 10
	sweeps             = 250 * time.Millisecond
	// spareShare of the connections is for telling clients at once that no more requests are taken: one that waited in
	// the backlog would wait past its time, of which the router knows nothing before it reads the request.
	spareShare = 1.0 / 16
)

// Guard keeps the clients' connections. Use New.
type Guard struct {
	account *inflight.Account // of what requests hold
	most    int               // connections
	open    int               // requests that may still be taken

	mu    sync.Mutex
	shed  bool // idle connections are closed at once: the router is being emptied
	swept time.Time
	freed *sync.Cond
	conns map[*Conn]struct{}
	idle  *list.List // of *Conn without an open request, the one idle for longest first
}

// New makes a guard of so many connections, whose requests are charged to the account.
func New(connections int, account *inflight.Account) *Guard {
	g := &Guard{account: account, most: max(connections, 1), open: connections - int(spareShare*float64(connections)), conns: map[*Conn]struct{}{}, idle: list.New()}
	g.freed = sync.NewCond(&g.mu)
	return g
}

// Server is net/http's, on connections of this guard.
func (g *Guard) Server(front http.Handler, complaints *log.Logger) *http.Server {
	return &http.Server{Handler: responseguard.Handler(check(front)), ReadHeaderTimeout: headTime, IdleTimeout: idleTime,
		MaxHeaderBytes: maxHead, ErrorLog: complaints,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*Conn); ok && state == http.StateIdle {
				c.answered()
			}
		}}
}

type connKey struct{}

// of finds the guarded connection of a request; nil where the server is not this package's.
func of(req *http.Request) *Conn {
	c, _ := req.Context().Value(connKey{}).(*Conn)
	return c
}

// check answers what was found wrong with a request's framing, which net/http does not show its handlers, and
// gives every request the time in which it must have come.
func check(front http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if c := of(req); c != nil {
			fault, last, began := c.request()
			// Without a limit a refused request whose body never comes would be waited for.
			if err := http.NewResponseController(w).SetReadDeadline(began.Add(comeTime)); err != nil {
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

// Listen wraps a listener. With no place left the connection that has been without a request for longest makes
// room; while all have one, clients wait in the backlog.
func (g *Guard) Listen(l net.Listener) net.Listener { return &listener{l, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept serves net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g := l.guard
	c := &Conn{Conn: raw, guard: g}
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.conns) >= g.most && !g.makeRoom() {
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

// makeRoom closes the connection that has been idle for longest. One with bytes that were not read yet has a
// request: it is passed over. The lock is held.
func (g *Guard) makeRoom() bool {
	for at := g.idle.Front(); at != nil; at = at.Next() {
		if c := at.Value.(*Conn); quiet(c.Conn) {
			g.drop(c)
			return true
		}
	}
	return false
}

// Sweep closes, until ctx ends, what takes too long: heads that do not end, and connections without a request
// once more than half of the places are taken.
func (g *Guard) Sweep(ctx context.Context) {
	every := time.NewTicker(sweeps)
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
	// After a pause of this process readers come first: what they would read has waited for them.
	stood := !g.swept.IsZero() && now.Sub(g.swept) > 4*sweeps
	g.swept = now
	for c := range g.conns {
		if !stood && c.heading && !c.serving && now.Sub(c.since) > headTime {
			g.drop(c)
		}
	}
	for at := g.idle.Front(); at != nil && (g.shed || 2*len(g.conns) > g.most); {
		c := at.Value.(*Conn)
		at = at.Next()
		if rested := now.Sub(c.since) >= restTime; !rested && !g.shed {
			return
		} else if !rested && !c.served { // its first request is on its way
			continue
		}
		if quiet(c.Conn) {
			g.drop(c)
		}
	}
}

// Shed has idle connections closed at every sweep while on: a router being emptied must keep no client's
// connection that carries nothing, since a client would send its next request there. One with bytes unread has
// a request on its way and is left to be answered, with the close; so has one that has just come.
func (g *Guard) Shed(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shed = on
}

// Idle is how many connections wait for a request.
func (g *Guard) Idle() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle.Len()
}

// Emptied waits until there is no connection. It is for a router that sheds, once nobody can come any more: net/http's own
// Shutdown takes a connection for idle whose next request has come in part, and closes it in the middle of that.
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
	_ = c.Conn.Close() // nobody waits for anything on it
}

// enter takes a request, if more may be open.
func (g *Guard) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open <= 0 {
		return false
	}
	g.open--
	return true
}

// done gives back a request that was entered.
func (g *Guard) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open++
}
