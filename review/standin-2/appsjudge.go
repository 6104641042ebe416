package main

import (
	"fmt"
	"sort"
	"strings"
)

// judge lists the rules that were broken.
func (a *apps) judge() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	broken := a.bad
	say := func(format string, arguments ...any) { broken = append(broken, fmt.Sprintf(format, arguments...)) }
	byLock := map[string][]hold{}
	for _, h := range a.holds {
		byLock[h.lock] = append(byLock[h.lock], h)
	}
	for lock, holds := range byLock {
		for i, one := range holds {
			for j, other := range holds {
				if i == j || one.owner == other.owner {
					continue
				}
				if i < j && one.got.Before(one.until) && other.got.Before(other.until) && one.got.Before(other.until) && other.got.Before(one.until) {
					say("ONE: %s: %s (%d) and %s (%d) at once", lock, one.owner, one.fence, other.owner, other.fence)
				}
				if one.got.Before(other.asked) && other.fence <= one.fence {
					say("ONE: %s: fence %d after %d", lock, other.fence, one.fence)
				}
			}
		}
	}
	for i, one := range a.draws {
		for j, other := range a.draws {
			if i != j && one.name == other.name && (one.value == other.value || one.done.Before(other.sent) && other.value < one.value) {
				say("ORDER: number %s: %d then %d", one.name, one.value, other.value)
			}
		}
	}
	a.judgePuts(say)
	return broken
}

func (a *apps) judgePuts(say func(format string, arguments ...any)) {
	values := map[string]put{}
	revisions := map[string]string{}
	for _, p := range a.puts {
		values[p.key+"="+p.value] = p
		if p.revision > 0 {
			at := fmt.Sprint(group(p.key), p.revision)
			if other, taken := revisions[at]; taken {
				say("ORDER: revision %s given to %s and %s", at, other, p.value)
			}
			revisions[at] = p.value
		}
	}
	seen := func(key, value string, revision uint64, where string) {
		p, known := values[key+"="+value]
		switch {
		case !known:
			say("MIXED: %s shows %s of %s that no one put", where, value, key)
		case p.rejected:
			say("REFUSED: %s shows %s of %s that was rejected", where, value, key)
		case p.revision > 0 && p.revision != revision:
			say("MIXED: %s shows %s of %s under %d, not %d", where, value, key, revision, p.revision)
		}
	}
	sort.Slice(a.puts, func(i, j int) bool { return a.puts[i].done.Before(a.puts[j].done) })
	for _, l := range a.looks {
		if l.revision > 0 {
			seen(l.key, l.value, l.revision, "a read")
		}
		for _, p := range a.puts {
			if p.key == l.key && p.revision > l.revision && p.done.Before(l.sent) {
				say("STALE: read of %s shows %d after %d", l.key, l.revision, p.revision)
			}
		}
	}
	for _, t := range a.told {
		last := t.after
		shown := map[uint64]bool{}
		for _, e := range t.events {
			seen(e.Name, e.Amount, e.Revision, "a watch")
			if e.Revision <= last {
				say("ORDER: watch of %s after %d: %d after %d", t.group, t.after, e.Revision, last)
			}
			last = e.Revision
			shown[e.Revision] = true
		}
		for _, p := range a.puts {
			if t.after > 0 && group(p.key) == t.group && p.revision > t.after && p.revision <= t.upTo && !shown[p.revision] {
				say("ORDER: watch of %s after %d up to %d leaves out %d", t.group, t.after, t.upTo, p.revision)
			}
		}
	}
}

func group(key string) string { return key[:strings.IndexByte(key, '.')+1] }
