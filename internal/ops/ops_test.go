package ops

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"sumacloft/internal/discovery"
)

func TestParse(t *testing.T) {
	for line, want := range map[string]Call{
		"PING": {Verb: Ping}, "lameduck": {Verb: Lameduck}, " REJOIN ": {Verb: Rejoin},
		"DETACH s-1": {Verb: Detach, ID: "s-1"}, "attach S-2": {Verb: Attach, ID: "S-2"},
	} {
		if got, err := Parse(line); err != nil || got != want {
			t.Errorf("%q: %+v, %v; want %+v", line, got, err, want)
		}
	}
	for _, line := range []string{"", "  ", "HELLO", "DETACH", "DETACH a b", "PING now", strings.Repeat("x", 300)} {
		if got, err := Parse(line); err == nil {
			t.Errorf("%q is taken as %+v", line, got)
		}
	}
}

func members(l discovery.List) map[string]string {
	out := map[string]string{}
	for _, m := range l.Members {
		out[m.ID] = m.Phase
	}
	return out
}

// A ban outlives every list until it is lifted, a repeated call changes nothing, and an id that no list named is
// refused. Without the bans in Take a whole list that says SERVING would bring the worker back.
func TestHandBans(t *testing.T) {
	h := NewHand(nil)
	whole := discovery.List{Complete: true, Members: []discovery.Member{{ID: "a", Phase: "SERVING"}, {ID: "b", Phase: "SERVING"}}}
	h.Take(whole)
	if _, err := h.Set("nobody", true); !errors.Is(err, ErrUnknown) {
		t.Errorf("a ban of an unknown id: %v", err)
	}
	for range 2 {
		change, err := h.Set("a", true)
		if err != nil || members(change)["a"] != "DRAINING" || len(change.Members) != 1 {
			t.Fatalf("the ban is told as %+v, %v", change, err)
		}
	}
	if got := members(h.Take(whole)); got["a"] != "DRAINING" || got["b"] != "SERVING" {
		t.Errorf("a whole list after the ban: %v", got)
	}
	if got := members(h.Take(discovery.List{Members: []discovery.Member{{ID: "a", Phase: "SERVING", HostPort: "new"}}})); got["a"] != "DRAINING" {
		t.Errorf("a change to the banned worker: %v", got)
	}
	if got := members(h.Take(discovery.List{Members: []discovery.Member{{ID: "a", Phase: "DELETED"}}})); got["a"] != "DELETED" {
		t.Errorf("a banned worker's removal: %v", got)
	}
	if change, err := h.Set("a", true); err != nil || len(change.Members) != 0 {
		t.Errorf("a call out repeated while the worker restarts: %+v, %v", change, err)
	}
	if !slices.Equal(h.Banned(), []string{"a"}) {
		t.Errorf("the ban went with the list: %v", h.Banned())
	}
	h.Take(whole) // the worker returns, restarted
	if got := members(h.Take(whole)); got["a"] != "DRAINING" {
		t.Errorf("a returned worker is not banned: %v", got)
	}
	change, err := h.Set("a", false)
	if err != nil || members(change)["a"] != "SERVING" {
		t.Errorf("the call back is told as %+v, %v", change, err)
	}
	if got := members(h.Take(whole)); got["a"] != "SERVING" || len(h.Banned()) != 0 {
		t.Errorf("after the call back: %v, bans %v", got, h.Banned())
	}
}

// The bans of another process (an upgrade's) are taken as the file has them, and told as changes of the workers
// that the list names.
func TestHandLoad(t *testing.T) {
	h := NewHand([]string{"b"})
	h.Take(discovery.List{Complete: true, Members: []discovery.Member{{ID: "a", Phase: "SERVING"}, {ID: "b", Phase: "SERVING"}}})
	if _, err := NewHand([]string{"z"}).Set("z", false); err != nil {
		t.Errorf("a ban of the file, of a worker this process has not seen listed, is not lifted: %v", err)
	}
	change := h.Load([]string{"a", "ghost"})
	if got := members(change); len(got) != 2 || got["a"] != "DRAINING" || got["b"] != "SERVING" {
		t.Errorf("changes told: %v", got)
	}
	if len(h.Load([]string{"a", "ghost"}).Members) != 0 {
		t.Error("the same bans again are told as changes")
	}
}

// The last call comes before the kill, with time for releases, however long the deadlines are.
func TestLastCall(t *testing.T) {
	for longest, want := range map[time.Duration]time.Duration{
		10 * time.Second: 3400 * time.Millisecond, 3 * time.Second: 3400 * time.Millisecond, time.Second: 1400 * time.Millisecond,
	} {
		if got := LastCall(longest); got != want {
			t.Errorf("deadline %v: last call at %v, want %v", longest, got, want)
		}
	}
}
