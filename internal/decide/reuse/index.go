package reuse

// index maps prefixes to positions in a list. It is refilled in each step and reuses the memory of the step before. It is a hash
// table with open addressing and linear probing that is at most half full, so that a lookup and an insert need one probe sequence.
type index struct {
	keys      []Key
	positions []int32 // 0 if free, else the position plus one
	count     int
	salt      Key // differs between routers, so that a client cannot choose prefixes that collide at all of them
}

// reset empties the index.
func (x *index) reset() {
	if x.keys == nil {
		x.keys, x.positions = make([]Key, 1<<10), make([]int32, 1<<10)
	}
	clear(x.positions)
	x.count = 0
}

// slot returns the slot that holds a key, or where it would be inserted.
func (x *index) slot(k Key) int {
	mask := uint64(len(x.keys) - 1)
	i := mix(k^x.salt) & mask
	for x.positions[i] != 0 && x.keys[i] != k {
		i = (i + 1) & mask
	}
	return int(i)
}

// find returns the position of a key.
func (x *index) find(k Key) (int, bool) {
	if x.count == 0 {
		return 0, false
	}
	i := x.slot(k)
	return int(x.positions[i]) - 1, x.positions[i] != 0
}

// insert returns the position of a key and adds the key at the next position if it is not known.
func (x *index) insert(k Key) (position int, known bool) {
	slot := x.slot(k)
	if x.positions[slot] != 0 {
		return int(x.positions[slot]) - 1, true
	}
	if x.count++; 2*x.count > len(x.keys) {
		old := *x
		x.keys, x.positions = make([]Key, 2*len(old.keys)), make([]int32, 2*len(old.keys))
		for i, p := range old.positions {
			if p != 0 {
				target := x.slot(old.keys[i])
				x.keys[target], x.positions[target] = old.keys[i], p
			}
		}
		slot = x.slot(k)
	}
	x.keys[slot], x.positions[slot] = k, int32(x.count)
	return x.count - 1, false
}
