// Package rollout decides how a change of policy takes hold at every router or at none. It holds what the store keeps
// of a change and of the routers, what a router may do at a view of that (Member), and when the change moves on
// (Driver). It does no I/O and knows no clock: the time is an argument, monotonic and of any origin.
//
// A change is checked by every registered router, then prepared: a router that has prepared takes nothing new under
// the old version, and holds arrivals. Once all have prepared, the change is committed by a compare on its record;
// until then anybody may step it back or abort it by the same compare. A router that registers while a change is
// being prepared holds from the start, so the routers that a view names after the preparing began are all that matter.
package rollout

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Phase is how far a change has come.
type Phase string

// The phases of a change.
const (
	Checking  Phase = "checking"  // each router looks whether it can carry the new version; the old one is served
	Preparing Phase = "preparing" // each router ceases to take requests under the old version
	Committed Phase = "committed" // the new version is the current one, everywhere
	Aborted   Phase = "aborted"   // it never took hold anywhere
)

// Done tells whether a change has its outcome.
func (p Phase) Done() bool { return p == Committed || p == Aborted }

// Limits bound a change in time, in milliseconds by each driver's own clock.
type Limits struct {
	// StepBackMs is how long routers hold arrivals for one that does not prepare, before they go on under the old
	// version and the change is checked anew.
	StepBackMs int64 `json:"step_back_ms"`
	// WaitMs is how long the whole change may take. It should be longer than the routers' leases, so that a change
	// can pass a router that is gone.
	WaitMs int64 `json:"wait_ms"`
}

// Change is the record of the change that runs, or ran last.
type Change struct {
	ID     string `json:"id"`
	Seq    int64  `json:"seq"` // counts the changes of a store
	Round  int    `json:"round"`
	Phase  Phase  `json:"phase"`
	Base   int64  `json:"base"` // the version that it replaces
	Text   string `json:"text"` // of version Base+1
	By     string `json:"by"`
	Note   string `json:"note,omitempty"`
	At     string `json:"at"`               // by the proposer's clock, for people only
	Reason string `json:"reason,omitempty"` // why it was aborted
	Router string `json:"router,omitempty"` // because of which router
	Limits
	Rev int64 `json:"-"` // the store's revision of this record
}

// Version is a policy that was committed.
type Version struct {
	Version int64  `json:"version"`
	Change  string `json:"change"`
	Text    string `json:"text"`
	By      string `json:"by"`
	Note    string `json:"note,omitempty"`
	At      string `json:"at"`
}

// The terms on which a router serves while it can't renew its lease.
const (
	Refuse = "refuse" // not at all: a change passes it once its lease is over
	Keep   = "keep"   // on under the version that it has: a change waits for it
)

// Router is a router's registration.
type Router struct {
	Name    string `json:"name"`
	Boot    string `json:"boot"` // drawn anew at each start
	Home    string `json:"home"` // of the directory that this router holds a lock on; "" for none
	OnLapse string `json:"on_lapse"`
	Listen  string `json:"listen"`
	Label   string `json:"label,omitempty"` // of the program's version that it runs
	LeaseMs int64  `json:"lease_ms"`
	Rev     int64  `json:"-"` // the store's revision of the registration
	Lease   int64  `json:"-"` // the store's lease by which the router shows that it lives, 0 when it is over
}

// Step is a router's word on a change.
type Step string

// The steps of a router.
const (
	Checked  Step = "checked"
	Prepared Step = "prepared" // nothing more is taken under the old version
	Refused  Step = "refused"  // it can't carry the new version, or the current one
	Applied  Step = "taken"    // no change runs: the version is the current one
)

// Ack is a router's last word.
type Ack struct {
	Boot    string `json:"boot"`
	Change  string `json:"change"`
	Round   int    `json:"round"`
	Step    Step   `json:"step"`
	Version int64  `json:"version"` // that the router served last
	Reason  string `json:"reason,omitempty"`
}

// View is what the store has at one revision.
type View struct {
	Revision int64
	Current  *Version // nil: none was ever written
	Change   *Change  // the last one; nil: there never was one
	Routers  map[string]Router
	Acks     map[string]Ack
}

// Running is the change that has no outcome yet, or nil.
func (v View) Running() *Change {
	if v.Change == nil || v.Change.Phase.Done() {
		return nil
	}
	return v.Change
}

// Ack is the last word of a router as it is registered, if it has said one since.
func (v View) Ack(name string) (Ack, bool) {
	a, acked := v.Acks[name]
	return a, acked && a.Boot == v.Routers[name].Boot
}

// Missing lists the routers, in order, that have not come to a step of the running change's round.
func (v View) Missing(c *Change, step Step) []string {
	var out []string
	for name := range v.Routers {
		a, acked := v.Ack(name)
		if !acked || a.Change != c.ID || a.Round != c.Round || (a.Step != step && a.Step != Prepared) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// refusal is the first router, in order, that can't carry the change.
func (v View) refusal(c *Change) (name, reason string, refused bool) {
	for router := range v.Routers {
		if a, acked := v.Ack(router); acked && a.Change == c.ID && a.Step == Refused && (!refused || router < name) {
			name, reason, refused = router, a.Reason, true
		}
	}
	return name, reason, refused
}

// Mode is what a router does with arrivals.
type Mode uint8

// The modes of a router.
const (
	Closed  Mode = iota // refuses them: it has no version that it may serve under
	Serving             // takes them under a version
	Holding             // has them wait for the outcome of a change
)

func (m Mode) String() string { return [...]string{"closed", "serving", "holding"}[m] }

// Directive is what a router is to do at a view: first the mode, then the word.
type Directive struct {
	Mode    Mode
	Version *Version // with Serving
	Ack     *Ack     // to be written; nil: the store has it
	Reason  string   // with Closed
}

// Member is a router as it registered.
type Member struct{ Name, Boot string }

// Directive decides by a view what the router does. carries tells whether its own file allows a policy. It must be asked
// with views that are no older than the registration, and never with one older than the last. Without a
// registration under its boot a router may not serve, and false is returned.
func (m Member) Directive(v View, supports func(text string) error) (Directive, bool) {
	if r, registered := v.Routers[m.Name]; !registered || r.Boot != m.Boot {
		return Directive{Reason: "not registered"}, false
	}
	s, ack := m.decide(v, supports)
	if last, acked := v.Acks[m.Name]; !acked || last != ack {
		s.Ack = &ack
	}
	return s, true
}

func (m Member) decide(v View, supports func(string) error) (Directive, Ack) {
	ack := Ack{Boot: m.Boot, Step: Applied}
	if v.Current == nil {
		return Directive{Reason: "there is no policy yet"}, ack
	}
	s := Directive{Mode: Serving, Version: v.Current}
	ack.Change, ack.Version = v.Current.Change, v.Current.Version
	if err := supports(v.Current.Text); err != nil {
		s = Directive{Reason: "version " + strconv.FormatInt(v.Current.Version, 10) + " can't be carried: " + err.Error()}
		ack.Step, ack.Reason, ack.Version = Refused, err.Error(), 0
	}
	c := v.Running()
	if c == nil {
		return s, ack
	}
	ack = Ack{Boot: m.Boot, Change: c.ID, Round: c.Round, Step: Checked, Version: ack.Version}
	if err := supports(c.Text); err != nil {
		// The change can't be committed with this word standing, so the old version may go on being served; one that
		// registered late may be passed by the commit, and must hold all the same.
		ack.Step, ack.Reason = Refused, err.Error()
	} else if c.Phase == Preparing {
		ack.Step = Prepared
	}
	if c.Phase == Preparing && s.Mode == Serving {
		s = Directive{Mode: Holding}
	}
	return s, ack
}

// stagger is how much later each next driver moves a change that the one before it should have moved.
const stagger = 30 * time.Millisecond

// Driver moves the running change on as far as a view allows. Any number of them may watch a store: each move is a
// compare on the change's record, so one wins. Its zero value is that of a caller who is no router.
type Driver struct {
	Router string // a router's name

	changeID    string        // of the change that is watched
	changeSeen  time.Duration // when it was first seen
	recordRev   int64         // of its record
	recordSeen  time.Duration // when that was first seen
	target      Phase         // what it was found due for
	targetSince time.Duration // since when
}

// Next gives the record that should take the place of the view's, or nil; and when to ask again, should no other
// view come before, or 0.
func (d *Driver) Next(v View, now time.Duration) (next *Change, wake time.Duration) {
	c := v.Running()
	if c == nil {
		*d = Driver{Router: d.Router}
		return nil, 0
	}
	if d.changeID != c.ID {
		*d = Driver{Router: d.Router, changeID: c.ID, changeSeen: now}
	}
	if d.recordRev != c.Rev {
		d.recordRev, d.recordSeen, d.target = c.Rev, now, ""
	}
	updated := *c
	deadline := d.changeSeen + time.Duration(c.WaitMs)*time.Millisecond
	stepBackAt := d.recordSeen + time.Duration(c.StepBackMs)*time.Millisecond
	step := Checked
	if c.Phase == Preparing {
		step = Prepared
	}
	missing := v.Missing(c, step)
	name, reason, refused := v.refusal(c)
	switch {
	case refused:
		updated.Phase, updated.Router, updated.Reason = Aborted, name, reason
	case len(missing) == 0 && c.Phase == Checking:
		updated.Phase = Preparing
	case len(missing) == 0:
		updated.Phase = Committed
	case now >= deadline:
		updated.Phase, updated.Router = Aborted, missing[0]
		updated.Reason = "did not answer within " + (time.Duration(c.WaitMs) * time.Millisecond).String()
	case c.Phase == Preparing && now >= stepBackAt:
		updated.Phase, updated.Round = Checking, c.Round+1
	case c.Phase == Preparing:
		return nil, min(deadline, stepBackAt)
	default:
		return nil, deadline
	}
	if d.target != updated.Phase {
		d.target, d.targetSince = updated.Phase, now
	}
	if turnAt := d.targetSince + time.Duration(rank(v, c.ID, d.Router))*stagger; now < turnAt {
		return nil, turnAt
	}
	d.targetSince = now + time.Duration(len(v.Routers))*stagger // a move that is lost is tried again
	return &updated, d.targetSince
}

// rank is a router's turn to move a change: by rendezvous hashing, so that it is not the same one for every change.
// Whoever is no router comes last.
func rank(v View, id, me string) int {
	if _, registered := v.Routers[me]; !registered {
		return len(v.Routers)
	}
	ahead, own := 0, weight(id, me)
	for name := range v.Routers {
		if cmp.Or(cmp.Compare(weight(id, name), own), cmp.Compare(name, me)) < 0 {
			ahead++
		}
	}
	return ahead
}

func weight(id, name string) uint64 { return xxhash.Sum64String(id + "\x00" + name) }

// Propose makes the record of a new change, or says which one runs.
func Propose(v View, id, text, by, note, at string, l Limits) (next *Change, running *Change) {
	if c := v.Running(); c != nil {
		return nil, c
	}
	c := &Change{ID: id, Seq: 1, Round: 1, Phase: Checking, Text: text, By: by, Note: note, At: at, Limits: l}
	if v.Current != nil {
		c.Base = v.Current.Version
	}
	if v.Change != nil {
		c.Seq = v.Change.Seq + 1
	}
	return c, nil
}

// Result is the version that a committed change makes.
func (c Change) Result() Version {
	return Version{Version: c.Base + 1, Change: c.ID, Text: c.Text, By: c.By, Note: c.Note, At: c.At}
}
