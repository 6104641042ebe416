// Package upstream speaks HTTP/1.1 to workers on net.Conn: a pool of connections, and single exchanges on them
// that tell how far they came when they fail. Nothing is ever sent twice.
package upstream

import "sync"

// Budget is how many sockets to workers the process may hold: clients can't take the descriptors that are needed
// to end what was begun for them.
type Budget struct {
	mu    sync.Mutex
	left  int
	spare int // of them that no attempt takes: what is held for a request must be let go in time, whatever else is on
}

// spareShare of the sockets is spare.
const spareShare = 1.0 / 16

// NewBudget makes a budget of so many sockets.
func NewBudget(sockets int) *Budget {
	return &Budget{left: sockets, spare: int(spareShare * float64(sockets))}
}

// take takes a socket for a worker, if one is left for an attempt or, so said, for any call.
func (b *Budget) take(attempt bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 || attempt && b.left <= b.spare {
		return false
	}
	b.left--
	return true
}

func (b *Budget) give() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left++
}
