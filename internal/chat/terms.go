package chat

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"sumacloft/internal/config"
)

// Terms are what a request is decided under: one version of the fleet's policy, in the form in which the front asks
// for it. They don't change.
type Terms struct {
	set     config.Chat
	version int64
	models  []string
	class   map[string]int // by model: the class's place in set
	named   map[string]int // by the class's name
	places  []int          // of the classes in the module, the one for what no class names last
}

// NewTerms makes terms. The places are those of the set-up's classes in the module; nil stands for their order.
func NewTerms(set config.Chat, places []int, version int64) *Terms {
	t := &Terms{set: set, version: version, class: map[string]int{}, named: map[string]int{}, places: places}
	for i, k := range set.Classes {
		t.named[k.Name] = i
		for _, m := range k.Models {
			t.class[m] = i
			t.models = append(t.models, m)
		}
	}
	slices.Sort(t.models)
	if places == nil {
		for i := range len(set.Classes) + 1 {
			t.places = append(t.places, i)
		}
	}
	return t
}

// handsOver gives the class at a place, if its work in hand is written down.
func (t *Terms) handsOver(class int) (config.ChatClass, bool) {
	if class >= len(t.set.Classes) || !t.set.Classes[class].Handover {
		return config.ChatClass{}, false
	}
	return t.set.Classes[class], true
}

// MaxAttempts is how many attempts a request may have.
func (t *Terms) MaxAttempts() int { return t.set.MaxAttempts }

// Gate gives each arrival the terms that it is decided under.
type Gate interface {
	// Take gives the terms that are in force, or an error after which the request has not run.
	Take(ctx context.Context) (*Terms, error)
	// Ready tells whether arrivals are taken.
	Ready() error
	// Last are the terms that were in force last; nil: none ever were.
	Last() *Terms
}

// fixed is a gate of terms that never change.
type fixed struct{ terms *Terms }

func (f fixed) Take(context.Context) (*Terms, error) { return f.terms, nil }
func (f fixed) Ready() error                         { return nil }
func (f fixed) Last() *Terms                         { return f.terms }

// policyHeader names the version that an answer was decided under.
const policyHeader = "X-Sumacloft-Policy"

// take has the gate decide under which terms a request is taken, and answers it if under none.
func (f *Front) take(w http.ResponseWriter, req *http.Request) (*Terms, bool) {
	t, err := f.gate.Take(req.Context())
	if err == nil {
		if f.showVersion {
			w.Header().Set(policyHeader, strconv.FormatInt(t.version, 10))
		}
		return t, true
	}
	var unsettled interface{ RetryAfter() time.Duration }
	if errors.As(err, &unsettled) {
		retryAfter(w, unsettled.RetryAfter())
	}
	fail(w, http.StatusServiceUnavailable, "server_error", "policy_unsettled", err.Error()+"; the request has not run")
	return nil, false
}

func retryAfter(w http.ResponseWriter, holdOff time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(holdOff.Seconds(), 'f', 3, 64))
	w.Header().Set("Retry-After-Ms", strconv.FormatInt(holdOff.Milliseconds(), 10))
}
