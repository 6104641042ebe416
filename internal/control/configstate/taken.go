package configstate

// MaxRemembered is how many taken orders a State recognises. Of one that is sent again after as many others were taken
// nothing is known.
const MaxRemembered = 4096

// MaxRefused is how many orders are refused for good at a time because the version that they build on has not come. Of
// further ones nothing is said: see CrowdedError.
const MaxRefused = 1024

// Memory is how much a State remembers of orders, for operators.
type Memory struct {
	Taken     int    // orders that are acknowledged again if they are sent again, MaxRemembered at most
	Forgotten uint64 // highest version of taken orders that are not remembered; 0: all are
	Refused   int    // orders refused before the version that they build on came, MaxRefused at most
}

// Memory tells how much the state remembers of orders.
func (s *State) Memory() Memory {
	return Memory{Taken: len(s.taken.ring), Forgotten: s.taken.forgotten, Refused: len(s.refused.orders)}
}

// takenOrder is what is remembered of an order that was taken.
type takenOrder struct {
	_       struct{} `cbor:",toarray"`
	Digest  digest
	Version uint64 // the version that the order made
}

// takenOrders remembers the last orders that were taken.
type takenOrders struct {
	ring     []takenOrder // a ring once it holds MaxRemembered orders
	oldest   int          // place of the oldest order in a full ring
	versions map[digest]uint64
	// forgotten is the highest version of orders that are not remembered any more.
	forgotten uint64
}

// version returns the version that an order made, if it is remembered.
func (t *takenOrders) version(order digest) (uint64, bool) {
	version, found := t.versions[order]
	return version, found
}

// add remembers an order, and forgets the oldest one where there are too many.
func (t *takenOrders) add(order takenOrder) {
	if t.versions == nil {
		t.versions = make(map[digest]uint64)
	}
	t.versions[order.Digest] = order.Version
	if len(t.ring) < MaxRemembered {
		t.ring = append(t.ring, order)
		return
	}
	t.forgotten = max(t.forgotten, t.ring[t.oldest].Version)
	delete(t.versions, t.ring[t.oldest].Digest)
	t.ring[t.oldest] = order
	t.oldest = (t.oldest + 1) % MaxRemembered
}

// list returns all remembered orders, the oldest first.
func (t *takenOrders) list() []takenOrder {
	orders := make([]takenOrder, 0, len(t.ring))
	orders = append(orders, t.ring[t.oldest:]...)
	return append(orders, t.ring[:t.oldest]...)
}
