// Package ops decides what the operators' calls mean: the words of the console, and the workers taken out by
// hand. It does no I/O; cmd/sumacloft carries its answers to sockets, files and the core.
package ops

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"sumacloft/internal/discovery"
)

// MaxLine is the longest line that the console reads, its end included.
const MaxLine = 256

// Verb is what a call asks.
type Verb string

// The calls of the console.
const (
	Ping     Verb = "PING"
	Detach   Verb = "DETACH"
	Attach   Verb = "ATTACH"
	Lameduck Verb = "LAMEDUCK"
	Rejoin   Verb = "REJOIN"
)

// Call is one line of the console, read.
type Call struct {
	Verb Verb
	ID   string // of a worker, for DETACH and ATTACH
}

// Parse reads one line, without its end. Verbs are taken in any case; ids as they are.
func Parse(line string) (Call, error) {
	words := strings.Fields(line)
	if len(words) == 0 {
		return Call{}, errors.New("empty line")
	}
	c := Call{Verb: Verb(strings.ToUpper(words[0]))}
	want := 0
	switch c.Verb {
	case Ping, Lameduck, Rejoin:
	case Detach, Attach:
		want = 1
	default:
		return Call{}, fmt.Errorf("unknown call %q", truncate(words[0]))
	}
	if len(words)-1 != want {
		return Call{}, fmt.Errorf("%s takes %d argument(s), not %d", c.Verb, want, len(words)-1)
	}
	if want == 1 {
		c.ID = words[1]
	}
	return c, nil
}

func truncate(s string) string {
	if len(s) > 32 {
		return s[:32] + "..."
	}
	return s
}

// Hand keeps the workers that operators took out, and the last word of the list on each worker, so that a ban
// can be told at once and outlives every list. Its zero value is not ready: see NewHand.
type Hand struct {
	banned map[string]bool
	known  map[string]discovery.Member // as the list has it now, before any ban
	listed map[string]bool             // ever, in this process; a worker restarted by hand leaves the list a while
}

// NewHand starts with these bans, as a file of an earlier process had them.
func NewHand(banned []string) *Hand {
	h := &Hand{banned: map[string]bool{}, known: map[string]discovery.Member{}, listed: map[string]bool{}}
	for _, id := range banned {
		h.banned[id] = true
	}
	return h
}

// Banned is the sorted list of bans, as it is kept in a file.
func (h *Hand) Banned() []string {
	out := make([]string, 0, len(h.banned))
	for id := range h.banned {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Take notes a list from discovery and gives it as the core is to see it: banned members drain. A whole list
// forgets the members it lacks, but no ban.
func (h *Hand) Take(l discovery.List) discovery.List {
	if l.Complete {
		clear(h.known)
	}
	out := l
	out.Members = make([]discovery.Member, len(l.Members))
	for i, m := range l.Members {
		if h.listed[m.ID] = true; m.Phase == "DELETED" {
			delete(h.known, m.ID)
		} else {
			h.known[m.ID] = m
		}
		out.Members[i] = h.word(m)
	}
	return out
}

// word is a member as the core is to see it.
func (h *Hand) word(m discovery.Member) discovery.Member {
	if h.banned[m.ID] && m.Phase != "DELETED" {
		m.Phase = "DRAINING"
	}
	return m
}

// ErrUnknown says that no list has named the worker.
var ErrUnknown = errors.New("no such worker in the list")

// Set bans a worker or lifts its ban. Repeating either changes nothing. The change, if the worker is listed now, is
// given as a partial list for the core. An id that no list named, and that is not banned, is refused and changes
// nothing; a banned one may be out of the list while it restarts, or known to this process by the file alone.
func (h *Hand) Set(id string, ban bool) (discovery.List, error) {
	if !h.listed[id] && !h.banned[id] {
		return discovery.List{}, fmt.Errorf("%w: %q", ErrUnknown, truncate(id))
	}
	if ban {
		h.banned[id] = true
	} else {
		delete(h.banned, id)
	}
	m, listed := h.known[id]
	if !listed {
		return discovery.List{}, nil
	}
	return discovery.List{Members: []discovery.Member{h.word(m)}}, nil
}

// Load takes the bans of the shared file, and gives the changes for the core of those listed.
func (h *Hand) Load(banned []string) discovery.List {
	next := map[string]bool{}
	for _, id := range banned {
		next[id] = true
	}
	var changed []discovery.Member
	for id, m := range h.known {
		if next[id] != h.banned[id] {
			changed = append(changed, m)
		}
	}
	h.banned = next
	for i, m := range changed {
		changed[i] = h.word(m)
	}
	slices.SortFunc(changed, func(a, b discovery.Member) int { return strings.Compare(a.ID, b.ID) })
	return discovery.List{Members: changed}
}

const (
	// killCap is the longest deadline that the platform waits for after SIGTERM, killGrace what it adds.
	killCap, killGrace = 3 * time.Second, 700 * time.Millisecond
	// lastCallLead before the kill, what is open is ended: time for its releases to be taken.
	lastCallLead = 300 * time.Millisecond
)

// LastCall is how long after SIGTERM a process ends what it still has open, given the longest deadline of its
// classes: the platform kills it at that deadline (at most killCap) and killGrace, and what it holds at workers
// then would stay held.
func LastCall(longest time.Duration) time.Duration {
	return min(longest, killCap) + killGrace - lastCallLead
}
