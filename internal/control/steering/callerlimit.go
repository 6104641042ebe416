package steering

import (
	"net"
	"net/http"
	"sync"
)

const (
	// mostCallsOfOne bounds the calls of one caller, by its address, that are worked on at a time, and mostCalls those of all.
	// A caller that repeats at once and often gets 429 beyond it, before anything is read of its call, and starves no other.
	mostCallsOfOne = 64
	mostCalls      = 512
)

// callerLimit counts the calls that are worked on. Its zero value is ready.
type callerLimit struct {
	mu   sync.Mutex
	all  int
	open map[string]int // by the caller's address without its port
}

// begin takes a call in; false says that there is no room for it.
func (l *callerLimit) begin(caller string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all >= mostCalls || l.open[caller] >= mostCallsOfOne {
		return false
	}
	if l.open == nil {
		l.open = map[string]int{}
	}
	l.all++
	l.open[caller]++
	return true
}

func (l *callerLimit) end(caller string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all--
	l.open[caller]--
	if l.open[caller] == 0 {
		delete(l.open, caller)
	}
}

// wrap answers calls beyond the bounds with 429: nothing is done.
func (l *callerLimit) wrap(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		caller, _, err := net.SplitHostPort(request.RemoteAddr)
		if err != nil {
			caller = request.RemoteAddr
		}
		if !l.begin(caller) {
			w.Header().Set("Retry-After", "1")
			fail(w, http.StatusTooManyRequests, "too many calls at once: nothing was done, ask again later")
			return
		}
		defer l.end(caller)
		handle(w, request)
	}
}
