package lane

import (
	"cmp"
	"slices"
	"time"

	"sumacloft/internal/core"
	"sumacloft/internal/proxy/calls"
)

// extraCounts counts the extra attempts that were made or denied.
type extraCounts map[extraKey]uint64

// extraKey is the reason for an extra attempt and whether it was allowed.
type extraKey struct {
	reason  calls.ExtraReason
	allowed bool
}

// reasonNoSpare is why a request is refused before its first attempt.
const reasonNoSpare calls.ExtraReason = "its first call might fail, and the retry budget has no room for that"

// Take implements calls.RetryBudget.
func (l *Lane) Take(reason calls.ExtraReason) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed := l.budget.Take(time.Since(l.started))
	l.extra[extraKey{reason, allowed}]++
	return allowed
}

// HasSpare implements calls.RetryBudget.
func (l *Lane) HasSpare() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	spare := l.budget.HasSpare(time.Since(l.started))
	if !spare {
		l.extra[extraKey{reasonNoSpare, false}]++
	}
	return spare
}

// Charge implements calls.RetryBudget.
func (l *Lane) Charge(reason calls.ExtraReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Charge(time.Since(l.started))
	l.extra[extraKey{reason, true}]++
}

// Kind is the kind of a decision.
type Kind string

// The kinds of decisions.
const (
	Refused      Kind = "refused"     // the client may retry
	Failed       Kind = "failed"      // the answer does not promise that a retry is safe
	Abandoned    Kind = "abandoned"   // the client left before its answer began
	ExtraAttempt Kind = "further"     // the request was sent to a worker again
	ExtraDenied  Kind = "not allowed" // the retry budget denied an extra attempt
)

// Decision counts the decisions of one kind with one reason since the lane was created.
type Decision struct {
	Kind   Kind
	Reason string
	Count  uint64
}

// Decisions returns the lane's decision counts, sorted by kind and reason.
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
	if counted.Abandoned > 0 {
		all = append(all, Decision{Kind: Abandoned, Reason: "the client left", Count: counted.Abandoned})
	}
	for reason, count := range counted.Refused {
		all = append(all, Decision{Kind: Refused, Reason: string(reason), Count: count})
	}
	for reason, count := range counted.Failed {
		all = append(all, Decision{Kind: Failed, Reason: string(reason), Count: count})
	}
	return all
}
