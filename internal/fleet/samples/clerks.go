package samples

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"sumacloft/internal/decide/samples"
)

// makers are the classes that make samples; nil: there is no table of samples, and no request costs more here than this look.
type makers struct {
	classes atomic.Pointer[map[string]bool]
	n       atomic.Uint64
}

func (m *makers) take(t Terms) {
	if !t.On {
		m.classes.Store(nil)
		return
	}
	m.classes.Store(&t.Classes)
}

// Makes tells whether answers of a class are samples.
func (a *Agent) Makes(class string) bool {
	c := a.made.classes.Load()
	return c != nil && (*c)[class]
}

// Arrived gives the rank of a request for a sample in the order in which they are taken: the golden ratio's multiples spread
// evenly, so that of any few that follow each other the part is taken that should be. For others it is 0.
func (a *Agent) Arrived(class string) float64 {
	if !a.Makes(class) {
		return 0
	}
	_, rank := math.Modf(float64(a.made.n.Add(1)%1e6) / math.Phi)
	return rank
}

// Answered counts a clerk's request that was answered, in its class's time or late.
func (a *Agent) Answered(class string, inTime bool) { a.clerk(class, !inTime) }

// Refused counts a clerk's request that was turned away.
func (a *Agent) Refused(class string) { a.clerk(class, true) }

func (a *Agent) clerk(class string, bad bool) {
	if c := a.made.classes.Load(); c != nil && !(*c)[class] {
		a.met.add(bad)
	}
}

// metHalf is by when half of what clerks met is forgotten.
const metHalf = 3 * time.Second

// met counts what clerks' requests meet, fading.
type met struct {
	now func() time.Duration

	mu     sync.Mutex
	n, bad float64
	at     time.Duration
}

func (m *met) add(bad bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fade()
	m.n++
	if bad {
		m.bad++
	}
}

// fade lets the counts fade until now; the lock is held.
func (m *met) fade() {
	now := m.now()
	factor := math.Exp2(-float64(now-m.at) / float64(metHalf))
	m.n, m.bad, m.at = m.n*factor, m.bad*factor, now
}

func (m *met) seen() samples.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fade()
	return samples.Load{Total: m.n, Failed: m.bad}
}
