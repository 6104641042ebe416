// Package inflight accounts for what the open connections and requests of a process hold in memory. All listeners of a
// process share one Account. A connection's Holder charges bytes as they arrive: heads by the size of what is parsed from
// them, bodies until their last use. When the account is full, the largest holder whose request has not begun to run makes
// room for smaller ones; among holders of similar size, the one that has been inactive for longest.
//
// The account itself does no I/O and reads no clock: activity is ordered by a counter, and holders are told to end by a
// callback.
package inflight

import (
	"container/list"
	"errors"
	"math/bits"
	"sync"
)

// Errors of a charge that is refused. The request has not run.
var (
	// ErrFull reports that requests hold all the memory that they may.
	ErrFull = errors.New("inflight: open requests hold all the memory that they may; retry later, or raise limits.memory_mb")
	// ErrEvicted reports that the holder had to make room for others.
	ErrEvicted = errors.New("inflight: the request made room for others; retry later, or raise limits.memory_mb")
)

// NoRoom reports whether an error is ErrFull or ErrEvicted: there is no room for the request, which has not run.
func NoRoom(err error) bool { return errors.Is(err, ErrFull) || errors.Is(err, ErrEvicted) }

// Cause is why a holder is evicted.
type Cause int

// The causes of an eviction.
const (
	NeedMemory     Cause = iota // the account is out of bytes; the request may still be refused by an answer
	NeedConnection              // the account is out of connections; the connection has to be closed at once
)

// Limits bound what all holders of an account have together.
type Limits struct {
	Bytes       int64
	Connections int
}

const (
	// reservedShare of the bytes is only for holders of up to smallHolder bytes, so that ordinary requests are served while
	// large ones wait.
	reservedShare = 0.25
	smallHolder   = 128 << 10
	// largeRelease is the size from which released bytes count as garbage until they are collected.
	largeRelease = 32 << 10
	// reservedConnections is the share of the connections that only preferred listeners may use.
	reservedConnections = 1.0 / 16
	// aloneShare of what large holders may have is the most that GrowTo charges.
	aloneShare = 0.8
	// pressureShare and calmShare of the bytes: an account that held the first and falls below the second is drained.
	pressureShare, calmShare = 0.5, 0.125
	// classes is the number of size classes. Each is twice the size of the one before.
	classes = 48
)

// Hooks connect an account to the runtime. Each may be nil.
type Hooks struct {
	Collect func() // frees what was released; large holders wait for it
	Drained func() // called in a goroutine of its own when most of what was held under pressure was released
}

// Account is what all holders have together. Create it with New. It is safe for concurrent use. A nil Account limits nothing.
type Account struct {
	hooks      Hooks
	limits     Limits
	collecting sync.Mutex // held by the one that calls Collect

	mu        sync.Mutex
	held      int64
	garbage   int64 // released by large holders and not collected yet
	open      int
	activity  uint64             // number of the last activity
	evictable [classes]list.List // of *Holder by size class, the one inactive for longest first
	pressed   bool               // pressureShare was reached since the account was drained
}

// New creates an account.
func New(limits Limits, hooks Hooks) *Account { return &Account{hooks: hooks, limits: limits} }

// Limits returns the limits of the account.
func (a *Account) Limits() Limits { return a.limits }

// Held returns the bytes that are held.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// Holder is a connection with the request that it carries. A nil Holder accounts for nothing.
type Holder struct {
	account *Account
	evict   func(Cause)

	// The account's lock guards these.
	held     int64
	pins     int // above 0: the request is running and is not evicted
	gone     bool
	evicted  bool
	class    int
	element  *list.Element // in the account's list of its class; nil while pinned
	activity uint64
}

// Open admits a connection. Connections of preferred listeners may use the reserved places. evict is called, without locks,
// when the holder has to make room; the holder's bytes are then released already.
func (a *Account) Open(preferred bool, evict func(Cause)) (*Holder, error) {
	if a == nil {
		return nil, nil
	}
	h := &Holder{account: a, evict: evict}
	a.mu.Lock()
	places := a.limits.Connections
	if !preferred {
		places -= int(float64(places) * reservedConnections)
	}
	var victim *Holder
	if a.open >= places {
		if victim = a.longestInactive(); victim == nil {
			a.mu.Unlock()
			return nil, ErrFull
		}
		a.release(victim)
		victim.evicted = true
	}
	a.open++
	a.list(h)
	a.mu.Unlock()
	if victim != nil {
		victim.evict(NeedConnection)
	}
	return h, nil
}

// Grow charges n bytes. It evicts other holders if the account is full.
func (h *Holder) Grow(n int64) error {
	if h == nil {
		return nil
	}
	a := h.account
	a.mu.Lock()
	if a.needsCollection(h, n) {
		a.mu.Unlock()
		a.collect(h, n)
		a.mu.Lock()
	}
	if h.gone {
		a.mu.Unlock()
		return ErrEvicted
	}
	victims, fits := a.makeRoom(h, n)
	if fits {
		a.charge(h, n)
	}
	a.mu.Unlock()
	for _, victim := range victims {
		victim.evict(NeedMemory)
	}
	if !fits {
		return ErrFull
	}
	return nil
}

// GrowTo charges what is missing until the holder holds n bytes. It is for what the process itself makes and can't make smaller:
// it charges at most what a large holder may have alone, so that one at a time always fits.
func (h *Holder) GrowTo(n int64) error {
	if h == nil {
		return nil
	}
	alone := int64((1 - reservedShare) * aloneShare * float64(h.account.limits.Bytes))
	if missing := min(n, alone) - h.Held(); missing > 0 {
		return h.Grow(missing)
	}
	return nil
}

// needsCollection reports whether n bytes for a large holder would fit only in the place of what is not collected yet. The
// caller holds the lock.
func (a *Account) needsCollection(h *Holder, n int64) bool {
	return a.hooks.Collect != nil && a.garbage > 0 && h.held+n > smallHolder && a.held+a.garbage+n > a.limits.Bytes
}

// collect frees what was released, unless another holder's collection has done so meanwhile.
func (a *Account) collect(h *Holder, n int64) {
	a.collecting.Lock()
	defer a.collecting.Unlock()
	a.mu.Lock()
	needed, garbage := a.needsCollection(h, n), a.garbage
	a.mu.Unlock()
	if !needed {
		return
	}
	a.hooks.Collect()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.garbage -= garbage
}

// makeRoom evicts holders until n more bytes fit. It returns false if those that are left may not make room for this one.
// The caller holds the lock and calls the evict functions of the victims.
func (a *Account) makeRoom(h *Holder, n int64) (victims []*Holder, fits bool) {
	limit := a.limits.Bytes
	if h.held+n > smallHolder {
		limit -= int64(float64(limit) * reservedShare)
	}
	least := sizeClass(h.held + n)
	for a.held+n > limit {
		victim := a.largest(h, least)
		if victim == nil {
			return victims, false
		}
		a.release(victim)
		victim.evicted = true
		victims = append(victims, victim)
	}
	return victims, true
}

// largest returns the holder of the highest size class, least or above, that has been inactive for longest. It is not the
// given one.
func (a *Account) largest(but *Holder, least int) *Holder {
	for class := classes - 1; class >= least; class-- {
		for element := a.evictable[class].Front(); element != nil; element = element.Next() {
			if h := element.Value.(*Holder); h != but {
				return h
			}
		}
	}
	return nil
}

// longestInactive returns the evictable holder that has been inactive for longest.
func (a *Account) longestInactive() *Holder {
	var found *Holder
	for class := range a.evictable {
		if front := a.evictable[class].Front(); front != nil {
			if h := front.Value.(*Holder); found == nil || h.activity < found.activity {
				found = h
			}
		}
	}
	return found
}

// charge adds n bytes, which may be negative, to a holder. The caller holds the lock.
func (a *Account) charge(h *Holder, n int64) {
	a.held += n
	h.held += n
	if -n >= largeRelease {
		a.garbage -= n
	}
	if float64(a.held) > pressureShare*float64(a.limits.Bytes) {
		a.pressed = true
	}
	if a.pressed && float64(a.held) < calmShare*float64(a.limits.Bytes) {
		a.pressed = false
		if a.hooks.Drained != nil {
			go a.hooks.Drained()
		}
	}
	a.list(h)
}

// list puts a holder last into the list of its size class, unless it is pinned. The caller holds the lock.
func (a *Account) list(h *Holder) {
	a.unlist(h)
	if h.gone || h.pins > 0 {
		return
	}
	a.activity++
	h.activity = a.activity
	h.class = sizeClass(h.held)
	h.element = a.evictable[h.class].PushBack(h)
}

func (a *Account) unlist(h *Holder) {
	if h.element != nil {
		a.evictable[h.class].Remove(h.element)
		h.element = nil
	}
}

// release takes a holder out of the account. The caller holds the lock.
func (a *Account) release(h *Holder) {
	if h.gone {
		return
	}
	h.gone = true
	a.unlist(h)
	a.open--
	a.charge(h, -h.held)
}

// Shrink releases n bytes.
func (h *Holder) Shrink(n int64) {
	h.locked(func(a *Account) { a.charge(h, -min(n, h.held)) })
}

// Settle ends a request: the connection holds the given bytes, which are of the next one, and is evictable again.
func (h *Holder) Settle(held int64) {
	h.locked(func(a *Account) {
		h.pins = 0
		a.charge(h, held-h.held)
	})
}

// Touch records activity on the connection.
func (h *Holder) Touch() {
	h.locked(func(a *Account) { a.list(h) })
}

// Pin records that the request runs from now on: the holder is not evicted. It fails if the holder was evicted before.
func (h *Holder) Pin() error {
	if h == nil {
		return nil
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.evicted {
		return ErrEvicted
	}
	if !h.gone {
		h.pins++
		h.account.unlist(h)
	}
	return nil
}

// Unpin undoes one Pin.
func (h *Holder) Unpin() {
	h.locked(func(a *Account) {
		h.pins = max(h.pins-1, 0)
		a.list(h)
	})
}

// Pinned reports whether the request runs.
func (h *Holder) Pinned() bool {
	if h == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.pins > 0
}

// Held returns the bytes that the holder holds.
func (h *Holder) Held() (held int64) {
	h.locked(func(*Account) { held = h.held })
	return held
}

// Evicted reports whether the holder had to make room for others.
func (h *Holder) Evicted() bool {
	if h == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.evicted
}

// Close ends the holder when its connection is closed.
func (h *Holder) Close() {
	h.locked(func(a *Account) { a.release(h) })
}

// locked changes a holder that is still part of the account.
func (h *Holder) locked(change func(*Account)) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.gone {
		change(h.account)
	}
}

// sizeClass returns the class of a holder of so many bytes.
func sizeClass(held int64) int { return bits.Len64(uint64(max(held, 0)) >> 12) }
