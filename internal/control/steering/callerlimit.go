package steering

import (
	"net"
	"net/http"
	"sync"
)

const (
	// maxCallsPerCaller and maxCalls bound the concurrent calls of one caller, identified by its IP address, and of all callers.
	// A call above either limit gets 429 before its body is read, so a client that retries in a tight loop cannot starve the
	// others.
	maxCallsPerCaller = 64
	maxCalls          = 512
)

// callLimiter limits concurrent calls. The zero value is ready to use.
type callLimiter struct {
	mu     sync.Mutex
	total  int
	active map[string]int // by the caller's IP address
}

// acquire admits a call. It returns false if a limit is reached.
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

// wrap answers calls above the limits with 429 and does not pass them to the handler.
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
