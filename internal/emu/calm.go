package emu

import "time"

// calm remembers the least load of the last seconds: who looks at a server's load does so a little late.
type calm struct {
	slots [8]int // least load, of half a second each
	last  int64  // the slot of the last look
}

// saw notes a load, just before a request that is offered, and gives the least of the last four seconds.
func (c *calm) saw(now time.Duration, load int) int {
	slot := int64(now / (500 * time.Millisecond))
	for s := max(c.last+1, slot-int64(len(c.slots))+1); s <= slot; s++ {
		c.slots[s%int64(len(c.slots))] = load // it can only have fallen since the last look
	}
	c.last = slot
	at := &c.slots[slot%int64(len(c.slots))]
	*at = min(*at, load)
	least := load
	for _, l := range c.slots {
		least = min(least, l)
	}
	return least
}
