package steering

import (
	"net"
	"net/http"
	"sync"
)

const (
	// maxCallsPerCaller bounds the calls of one caller, by its address, that are worked on at a time, and mostCalls those of all.
	// A caller that repeats at once and often gets 429 beyond it, before anything is read of its call, and starves no other.
	maxCallsPerCaller = 64
	maxCalls          = 512
)

// callLimiter counts the calls that are worked on. Its zero value is ready.
type callLimiter struct {
	mu     sync.Mutex
	total  int
	active map[string]int // by the caller's address without its port
}

// acquire takes a call in; false says that there is no room for it.
func (l *callLimiter) acquire(caller string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total >= maxCalls || l.active[caller] >= maxCallsPerCaller {
		return false
	}
	if l.active == nil {
		l.active = map[string]int{}
	}
	l.total++
	l.active[caller]++
	return true
}

func (l *callLimiter) release(caller string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	l.active[caller]--
	if l.active[caller] == 0 {
		delete(l.active, caller)
	}
}

// wrap answers calls beyond the bounds with 429: nothing is done.
func (l *callLimiter) wrap(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		caller, _, err := net.SplitHostPort(request.RemoteAddr)
		if err != nil {
			caller = request.RemoteAddr
		}
		if !l.acquire(caller) {
			w.Header().Set("Retry-After", "1")
			fail(w, http.StatusTooManyRequests, "too many calls at once: nothing was done, ask again later")
			return
		}
		defer l.release(caller)
		handle(w, request)
	}
}
