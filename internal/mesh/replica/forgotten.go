package replica

import "slices"

// ForgottenLimit is the capacity of a Forgotten; the oldest entries are evicted first.
const ForgottenLimit = 4096

// Forgotten remembers the entries dropped by Map.Forget. Without it, slow gossip could bring back a tombstone for another
// grace period or, worse, the entry that the tombstone had removed. It is consulted only for keys that are not present; a
// key that is present again may stay in it. Use NewForgotten.
type Forgotten struct {
	byKey map[string]Entry
	order []string // keys of byKey, oldest first
}

// NewForgotten makes an empty Forgotten.
func NewForgotten() *Forgotten {
	return &Forgotten{byKey: make(map[string]Entry)}
}

// Add remembers an entry and replaces an earlier one with the same key.
func (f *Forgotten) Add(entry Entry) {
	f.remove(entry.Key)
	f.byKey[entry.Key] = entry
	f.order = append(f.order, entry.Key)
	if len(f.order) > ForgottenLimit {
		delete(f.byKey, f.order[0])
		f.order = f.order[1:]
	}
}

// Get returns the remembered entry of a key.
func (f *Forgotten) Get(key string) (Entry, bool) {
	entry, known := f.byKey[key]
	return entry, known
}

// remove drops the remembered entry of a key, if any.
func (f *Forgotten) remove(key string) {
	if _, known := f.byKey[key]; !known {
		return
	}
	delete(f.byKey, key)
	index := slices.Index(f.order, key)
	f.order = slices.Delete(f.order, index, index+1)
}
