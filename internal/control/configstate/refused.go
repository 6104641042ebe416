package configstate

// refusedOrders remembers the last orders that were refused before the version that they build on came.
type refusedOrders struct {
	order []digest // oldest first
	known map[digest]struct{}
}

// has reports whether an order is remembered.
func (r *refusedOrders) has(order digest) bool {
	_, found := r.known[order]
	return found
}

// add remembers an order, and forgets the oldest one where there are too many.
func (r *refusedOrders) add(order digest) {
	if r.has(order) {
		return
	}
	if r.known == nil {
		r.known = make(map[digest]struct{})
	}
	if len(r.order) == MaxRefused {
		delete(r.known, r.order[0])
		r.order = append([]digest(nil), r.order[1:]...)
	}
	r.known[order] = struct{}{}
	r.order = append(r.order, order)
}
