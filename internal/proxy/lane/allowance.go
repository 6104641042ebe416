package lane

import (
	"cmp"
	"slices"
	"time"

	"sumacloft/internal/core"
	"sumacloft/internal/proxy/calls"
)

// extraCounts are how often further arrivals came about or were not allowed.
type extraCounts map[extraKey]uint64

// extraKey is a reason for a further arrival and what became of it.
type extraKey struct {
	reason  calls.ExtraReason
	allowed bool
}

// reasonNoSpare is why a request is not begun.
const reasonNoSpare calls.ExtraReason = "its first call might fail, and the retry budget has no room for that"

// Take serves calls.Allowance.
func (l *Lane) Take(reason calls.ExtraReason) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed := l.budget.Take(time.Since(l.started))
	l.extra[extraKey{reason, allowed}]++
	return allowed
}

// HasSpare serves calls.Allowance.
func (l *Lane) HasSpare() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	spare := l.budget.HasSpare(time.Since(l.started))
	if !spare {
		l.extra[extraKey{reasonNoSpare, false}]++
	}
	return spare
}

// Charge serves calls.Allowance.
func (l *Lane) Charge(reason calls.ExtraReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Charge(time.Since(l.started))
	l.extra[extraKey{reason, true}]++
}

// Kind is what a decision was about.
type Kind string

// The kinds of decisions.
const (
	Refused      Kind = "refused"     // the client may try again
	Failed       Kind = "failed"      // nothing was promised
	ExtraAttempt Kind = "further"     // the request arrived at a worker once more
	ExtraDenied  Kind = "not allowed" // a further arrival for which the retry budget had no room
)

// Decision counts decisions of one kind that had one reason, since the lane was made.
type Decision struct {
	Kind   Kind
	Reason string
	Count  uint64
}

// Decisions are what the lane has decided, in a fixed order.
func (l *Lane) Decisions() []Decision {
	all := coreDecisions(l.core.Decisions())
	l.mu.Lock()
	for key, count := range l.extra {
		kind := ExtraDenied
		if key.allowed {
			kind = ExtraAttempt
		}
		all = append(all, Decision{Kind: kind, Reason: string(key.reason), Count: count})
	}
	l.mu.Unlock()
	slices.SortFunc(all, func(a, b Decision) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason)) })
	return all
}

func coreDecisions(counted core.Decisions) (all []Decision) {
	for reason, count := range counted.Refused {
		all = append(all, Decision{Kind: Refused, Reason: string(reason), Count: count})
	}
	for reason, count := range counted.Failed {
		all = append(all, Decision{Kind: Failed, Reason: string(reason), Count: count})
	}
	return all
}
