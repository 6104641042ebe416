package reuse

import (
	"cmp"
	"slices"
)

// copyTarget is a prefix and the region that it is copied to.
type copyTarget struct {
	prefix Key
	to     string
}

// orderCopies orders the copies that save most per token sent, within the bounds.
func (d *Decider) orderCopies(s *State, m Model, v View, u *usage) (any bool) {
	val := d.newValuer(m, v, u, s.Copies)
	if d.Fault != NoHysteresis && s.releaseUnneeded(m, val) {
		any = true
	}
	limits := &ledger{decider: d, state: s, model: m, copies: map[Key]int{}, tokens: map[string]float64{}, occupied: map[copyTarget]bool{},
		cooldowns: map[copyTarget]bool{}}
	for _, c := range s.Copies {
		if c.Phase == Ordered {
			limits.ordered++
		}
		limits.copies[c.Prefix]++
		limits.tokens[c.To] += float64(c.Tokens)
		limits.occupied[copyTarget{c.Prefix, c.To}] = true
	}
	gain := m.Gain
	if d.Fault == NoHysteresis {
		gain = 1
	} else {
		for _, r := range s.Cooldowns {
			if r.LeftMs > 0 {
				limits.occupied[copyTarget{r.Prefix, r.To}], limits.cooldowns[copyTarget{r.Prefix, r.To}] = true, true
			}
		}
	}
	if d.orderDrainCopies(s, v, val, limits) {
		any = true
	}
	if limits.full() {
		return any
	}
	for _, o := range val.bestOptions(gain, func(k Key, to int) bool { return limits.occupied[copyTarget{k, m.Regions[to].Name}] }) {
		if limits.full() {
			break
		}
		if !limits.fits(o) || !d.withinBudget(m, [2]string{o.link.From, o.link.To}, float64(o.p.tokens), *o.link) {
			continue
		}
		if server, ok := v.placement(m.Regions[o.to].Name, d.Fault == CopiesToDraining)(o.p.key); ok {
			limits.add(o, server, "")
			any = true
		}
	}
	return any
}

// releaseUnneeded releases copies that their region keeps without a lease, because they are used so often there, and copies that
// by now displace more than they save. They stay cached as long as other prefixes do and free the bounds for others.
func (s *State) releaseUnneeded(m Model, val *valuer) (any bool) {
	tokens := map[string]float64{}
	kept := s.Copies[:0]
	for _, c := range s.Copies {
		to := m.regionIndex(c.To)
		_, draining := s.Drains[c.DrainServer] // the copy is kept until that server is back
		if i, used := val.usage.index.find(c.Prefix); used && to >= 0 && c.Phase == Present && !draining &&
			val.usage.curve[to].Tokens > 0 && !val.worthHolding(&val.usage.prefixes[i], to) {
			cooldownMs := 0.0
			if val.usage.inRegion(&val.usage.prefixes[i], to).idleMs > c.AgeMs { // not used there yet
				cooldownMs = m.LeaseMs
			}
			s.release(c, cooldownMs, reasonNoBenefit)
			any = true
			continue
		}
		tokens[c.To] += float64(c.Tokens)
		kept = append(kept, c)
	}
	s.Copies = kept
	for to, r := range m.Regions {
		if limit := m.Share * r.Memory; tokens[r.Name] > highWatermark*limit {
			any = s.releaseExcess(m, val, to, tokens[r.Name]-lowWatermark*limit) || any
		}
	}
	return any
}

// Above highWatermark of the allowed tokens, the copies of a region that save least are released down to lowWatermark, so that new
// prefixes fit in, especially those of a flash crowd.
const highWatermark, lowWatermark = 0.95, 0.85

// releaseExcess releases the copies of a region that save least per token until the given number of tokens is free.
func (s *State) releaseExcess(m Model, val *valuer, to int, tokens float64) (any bool) {
	value := func(c Copy) float64 {
		if i, used := val.usage.index.find(c.Prefix); used {
			return val.savedReads(&val.usage.prefixes[i], to)
		}
		return 0
	}
	var present []Copy
	for _, c := range s.Copies {
		if c.To == m.Regions[to].Name && c.Phase == Present {
			present = append(present, c)
		}
	}
	slices.SortStableFunc(present, func(a, b Copy) int { return cmp.Compare(value(a), value(b)) })
	released := map[int64]bool{}
	for _, c := range present {
		if tokens <= 0 {
			break
		}
		tokens -= float64(c.Tokens)
		released[c.ID] = true
		s.release(c, m.LeaseMs, reasonCrowded)
	}
	s.Copies = slices.DeleteFunc(s.Copies, func(c Copy) bool { return released[c.ID] })
	return len(released) > 0
}

// withinBudget reports whether a link's budget allows a prefix now. A prefix larger than the maximum budget may be sent when the
// budget is full. Holding a region's own prefix needs no budget.
func (d *Decider) withinBudget(m Model, key [2]string, tokens float64, link Link) bool {
	return link.From == "" || d.budgets[key] >= min(tokens, m.LinkShare*link.Rate*burstSeconds)
}

// rendezvousServer returns the server that holds a prefix by default: the one with the highest hash of both, so that a change of
// the list moves few prefixes (rendezvous hashing: Thaler, Ravishankar 1998).
func rendezvousServer(k Key, servers []string) (best string) {
	var highest uint64
	for i, s := range servers {
		weight := uint64(k)
		for _, b := range []byte(s) {
			weight = mix(Key(weight ^ uint64(b)))
		}
		if i == 0 || weight > highest {
			best, highest = s, weight
		}
	}
	return best
}
