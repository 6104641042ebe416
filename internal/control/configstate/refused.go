package configstate

// refusedOrder is what is remembered of an order that was refused before the version that it builds on came.
type refusedOrder struct {
	_       struct{} `cbor:",toarray"`
	Digest  digest
	BuiltOn uint64 // 0: not known, of a snapshot of an earlier release
}

// refusedOrders remembers the orders that were refused before the version that they build on came, for as long as that
// version may still come: once a later one is in force, they are refused by their base alone.
type refusedOrders struct {
	orders []refusedOrder // oldest first
	known  map[digest]struct{}
}

// has reports whether an order is remembered.
func (r *refusedOrders) has(order digest) bool {
	_, found := r.known[order]
	return found
}

// full reports whether no further order can be remembered. Those whose base is not known give way, as the release that
// refused them would have had them do.
func (r *refusedOrders) full() bool {
	return len(r.orders) >= MaxRefused && r.orders[0].BuiltOn != 0
}

// add remembers an order; call it only while there is room.
func (r *refusedOrders) add(order refusedOrder) {
	if r.has(order.Digest) {
		return
	}
	if r.known == nil {
		r.known = make(map[digest]struct{})
	}
	if len(r.orders) >= MaxRefused {
		delete(r.known, r.orders[0].Digest)
		r.orders = append([]refusedOrder(nil), r.orders[1:]...)
	}
	r.known[order.Digest] = struct{}{}
	r.orders = append(r.orders, order)
}

// pass forgets the orders that build on a version below the current one: versions only rise.
func (r *refusedOrders) pass(current uint64) {
	var kept []refusedOrder
	for _, order := range r.orders {
		if order.BuiltOn != 0 && order.BuiltOn < current {
			delete(r.known, order.Digest)
			continue
		}
		kept = append(kept, order)
	}
	r.orders = kept
}
