package reuse

// index finds the places of prefixes in a list; it is filled anew in each step, in the room of the one before. It is a table with open
// addressing (linear probing) of which at most half is full: a key is looked for and entered in one go.
type index struct {
	keys   []Key
	places []int32 // 0: free, else one more than the place
	count  int
	salt   Key // so that nobody can choose prefixes that meet in one place of every router's
}

// reset empties it.
func (x *index) reset() {
	if x.keys == nil {
		x.keys, x.places = make([]Key, 1<<10), make([]int32, 1<<10)
	}
	clear(x.places)
	x.count = 0
}

// slot is where a key is, or would be entered.
func (x *index) slot(k Key) int {
	mask := uint64(len(x.keys) - 1)
	i := mix(k^x.salt) & mask
	for x.places[i] != 0 && x.keys[i] != k {
		i = (i + 1) & mask
	}
	return int(i)
}

// find gives a key's place.
func (x *index) find(k Key) (int, bool) {
	if x.count == 0 {
		return 0, false
	}
	i := x.slot(k)
	return int(x.places[i]) - 1, x.places[i] != 0
}

// insert gives a key's place, which is the next one if it was not known.
func (x *index) insert(k Key) (place int, known bool) {
	slot := x.slot(k)
	if x.places[slot] != 0 {
		return int(x.places[slot]) - 1, true
	}
	if x.count++; 2*x.count > len(x.keys) {
		old := *x
		x.keys, x.places = make([]Key, 2*len(old.keys)), make([]int32, 2*len(old.keys))
		for i, p := range old.places {
			if p != 0 {
				target := x.slot(old.keys[i])
				x.keys[target], x.places[target] = old.keys[i], p
			}
		}
		slot = x.slot(k)
	}
	x.keys[slot], x.places[slot] = k, int32(x.count)
	return x.count - 1, false
}
