package lane

import (
	"cmp"
	"slices"
	"time"

	"sumacloft/internal/core"
	"sumacloft/internal/proxy/calls"
)

// furtherCounts are how often further arrivals came about or were not allowed.
type furtherCounts map[furtherKey]uint64

// furtherKey is a reason for a further arrival and what became of it.
type furtherKey struct {
	why   calls.Further
	taken bool
}

// whyNoSpare is why a request is not begun.
const whyNoSpare calls.Further = "its first call might fail, and the retry budget has no room for that"

// Take serves calls.Allowance.
func (l *Lane) Take(why calls.Further) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.budget.Take(time.Since(l.began))
	l.further[furtherKey{why, taken}]++
	return taken
}

// Spare serves calls.Allowance.
func (l *Lane) Spare() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	spare := l.budget.Spare(time.Since(l.began))
	if !spare {
		l.further[furtherKey{whyNoSpare, false}]++
	}
	return spare
}

// Charge serves calls.Allowance.
func (l *Lane) Charge(why calls.Further) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Charge(time.Since(l.began))
	l.further[furtherKey{why, true}]++
}

// Kind is what a decision was about.
type Kind string

// The kinds of decisions.
const (
	Refused    Kind = "refused"     // the client may try again
	Failed     Kind = "failed"      // nothing was promised
	Further    Kind = "further"     // the request arrived at a worker once more
	NotAllowed Kind = "not allowed" // a further arrival for which the retry budget had no room
)

// Decision counts decisions of one kind that had one reason, since the lane was made.
type Decision struct {
	Kind  Kind
	Why   string
	Count uint64
}

// Decisions are what the lane has decided, in a fixed order.
func (l *Lane) Decisions() []Decision {
	all := coreDecisions(l.core.Decisions())
	l.mu.Lock()
	for key, count := range l.further {
		kind := NotAllowed
		if key.taken {
			kind = Further
		}
		all = append(all, Decision{Kind: kind, Why: string(key.why), Count: count})
	}
	l.mu.Unlock()
	slices.SortFunc(all, func(a, b Decision) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Why, b.Why)) })
	return all
}

func coreDecisions(counted core.Decisions) (all []Decision) {
	for why, count := range counted.Refused {
		all = append(all, Decision{Kind: Refused, Why: string(why), Count: count})
	}
	for why, count := range counted.Failed {
		all = append(all, Decision{Kind: Failed, Why: string(why), Count: count})
	}
	return all
}
