package reuse

import (
	"cmp"
	"slices"
)

// spot of a copy: what is where.
type spotOf struct {
	prefix Key
	to     string
}

// order gives orders for the copies that save most for each token on the way, within the bounds.
func (d *Decider) order(s *State, m Model, v View, u *usage) (any bool) {
	val := d.scales(m, v, u, s.Copies)
	if d.Broken != NoHysteresis && s.spare(m, val) {
		any = true
	}
	limits := &ledger{d: d, s: s, m: m, held: map[Key]int{}, taken: map[string]float64{}, has: map[spotOf]bool{}, rests: map[spotOf]bool{}}
	for _, c := range s.Copies {
		if c.Phase == Ordered {
			limits.under++
		}
		limits.held[c.Prefix]++
		limits.taken[c.To] += float64(c.Tokens)
		limits.has[spotOf{c.Prefix, c.To}] = true
	}
	gain := m.Gain
	if d.Broken == NoHysteresis {
		gain = 1
	} else {
		for _, r := range s.Rests {
			if r.LeftMs > 0 {
				limits.has[spotOf{r.Prefix, r.To}], limits.rests[spotOf{r.Prefix, r.To}] = true, true
			}
		}
	}
	if d.leave(s, v, val, limits) {
		any = true
	}
	if limits.full() {
		return any
	}
	for _, o := range val.best(gain, func(k Key, to int) bool { return limits.has[spotOf{k, m.Regions[to].Name}] }) {
		if limits.full() {
			break
		}
		if !limits.fits(o) || !d.affords(m, [2]string{o.link.From, o.link.To}, float64(o.p.tokens), *o.link) {
			continue
		}
		if server, ok := v.homes(m.Regions[o.to].Name, d.Broken == CopiesToLeaving)(o.p.key); ok {
			limits.add(o, server, "")
			any = true
		}
	}
	return any
}

// spare releases copies that a region keeps as well without a lease, because they are used so often there, and those that push
// out more than they save by now: they stay where they are for as long as other things, and make room for others in the bounds.
func (s *State) spare(m Model, val *scales) (any bool) {
	tokens := map[string]float64{}
	kept := s.Copies[:0]
	for _, c := range s.Copies {
		to := m.region(c.To)
		_, draining := s.Leaving[c.Leaves] // it is to be there until that server is back
		if i, used := val.u.at.find(c.Prefix); used && to >= 0 && c.Phase == Here && !draining && val.u.curve[to].Tokens > 0 && !val.pays(&val.u.list[i], to) {
			cooldownMs := 0.0
			if val.u.in(&val.u.list[i], to).idleMs > c.AgeMs { // it waits there for its first use
				cooldownMs = m.LeaseMs
			}
			s.release(c, cooldownMs, enough)
			any = true
			continue
		}
		tokens[c.To] += float64(c.Tokens)
		kept = append(kept, c)
	}
	s.Copies = kept
	for to, r := range m.Regions {
		if limit := m.Share * r.Memory; tokens[r.Name] > tight*limit {
			any = s.crowd(m, val, to, tokens[r.Name]-slack*limit) || any
		}
	}
	return any
}

// Where copies take more than tight of what they may, those that save least go until they take slack of it: what comes new, a
// flash crowd above all, finds room.
const tight, slack = 0.95, 0.85

// crowd releases the copies of a region that save least for each token, until so many tokens are free.
func (s *State) crowd(m Model, val *scales, to int, tokens float64) (any bool) {
	value := func(c Copy) float64 {
		if i, used := val.u.at.find(c.Prefix); used {
			return val.saves(&val.u.list[i], to)
		}
		return 0
	}
	var present []Copy
	for _, c := range s.Copies {
		if c.To == m.Regions[to].Name && c.Phase == Here {
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
		s.release(c, m.LeaseMs, crowded)
	}
	s.Copies = slices.DeleteFunc(s.Copies, func(c Copy) bool { return released[c.ID] })
	return len(released) > 0
}

// affords tells whether a link has room for a prefix now; one larger than what gathers goes when all of that is there. What a
// region holds of its own takes none.
func (d *Decider) affords(m Model, key [2]string, tokens float64, link Link) bool {
	return link.From == "" || d.purse[key] >= min(tokens, m.LinkShare*link.Rate*burst)
}

// place is the server that would hold a prefix: the highest by a hash of both, so that a change of the list moves few
// (rendezvous hashing: Thaler, Ravishankar 1998).
func place(k Key, servers []string) (best string) {
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
