// Package rollout decides how a policy change takes effect at all routers or at none. It defines the stored records of
// a change and of the routers, what a router does at a view of them (Member), and when the change moves on (Driver).
// The package does no I/O and reads no clock. The time is an argument, monotonic with any origin.
//
// First every registered router checks the change, then every router prepares. A router that has prepared takes no new
// requests under the old version and holds arrivals. Once all have prepared, a compare-and-swap on the change's record
// commits it. Until then any driver may step it back or abort it by the same compare-and-swap. A router that registers
// while a change is being prepared holds from the start. So the commit depends only on the routers in a view that was
// read after preparing began.
package rollout

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Phase is the phase of a change.
type Phase string

// The phases of a change.
const (
	Checking  Phase = "checking"  // each router checks whether it supports the new version; the old one is served
	Preparing Phase = "preparing" // each router stops taking requests under the old version
	Committed Phase = "committed" // the new version is current at all routers
	Aborted   Phase = "aborted"   // the new version was never served anywhere
)

// Done reports whether a change is committed or aborted.
func (p Phase) Done() bool { return p == Committed || p == Aborted }

// Limits bound the duration of a change, in milliseconds of each driver's own clock.
type Limits struct {
	// StepBackMs is how long routers hold arrivals for a router that does not prepare. Then they continue under the old
	// version, and the change is checked again.
	StepBackMs int64 `json:"step_back_ms"`
	// WaitMs bounds the duration of the whole change. It should exceed the routers' leases, so that a change can
	// proceed without a router that has failed.
	WaitMs int64 `json:"wait_ms"`
}

// Change is the record of the running change, or of the last one.
type Change struct {
	ID     string `json:"id"`
	Seq    int64  `json:"seq"` // number of the change in this store
	Round  int    `json:"round"`
	Phase  Phase  `json:"phase"`
	Base   int64  `json:"base"` // version that it replaces
	Text   string `json:"text"` // text of version Base+1
	By     string `json:"by"`
	Note   string `json:"note,omitempty"`
	At     string `json:"at"`               // by the proposer's clock, for display only
	Reason string `json:"reason,omitempty"` // why it was aborted
	Router string `json:"router,omitempty"` // the router that caused the abort
	Limits
	Rev int64 `json:"-"` // the store's revision of this record
}

// Version is a committed policy.
type Version struct {
	Version int64  `json:"version"`
	Change  string `json:"change"`
	Text    string `json:"text"`
	By      string `json:"by"`
	Note    string `json:"note,omitempty"`
	At      string `json:"at"`
}

// The values of Router.OnLapse: whether a router serves while it can't renew its lease.
const (
	Refuse = "refuse" // it stops serving; a change proceeds without it once its lease has expired
	Keep   = "keep"   // it serves under its current version; a change waits for it
)

// Router is the registration of a router.
type Router struct {
	Name    string `json:"name"`
	Boot    string `json:"boot"` // random, different at each start
	Home    string `json:"home"` // ID of the directory that this router holds a lock on; empty: none
	OnLapse string `json:"on_lapse"`
	Listen  string `json:"listen"`
	Label   string `json:"label,omitempty"` // label of the program version that it runs
	LeaseMs int64  `json:"lease_ms"`
	Rev     int64  `json:"-"` // the store's revision of the registration
	Lease   int64  `json:"-"` // the store's lease that the router renews; 0: expired
}

// Step is a router's answer to a change.
type Step string

// The answers of a router.
const (
	Checked  Step = "checked"
	Prepared Step = "prepared" // it takes no more requests under the old version
	Refused  Step = "refused"  // it does not support the new version, or the current one
	Applied  Step = "taken"    // no change runs, and it uses the current version
)

// Ack is the last acknowledgement of a router.
type Ack struct {
	Boot    string `json:"boot"`
	Change  string `json:"change"`
	Round   int    `json:"round"`
	Step    Step   `json:"step"`
	Version int64  `json:"version"` // version that the router served last
	Reason  string `json:"reason,omitempty"`
}

// View is the content of the store at one revision.
type View struct {
	Revision int64
	Current  *Version // nil: none was ever written
	Change   *Change  // the last one; nil: none yet
	Routers  map[string]Router
	Acks     map[string]Ack
}

// Running returns the change that is neither committed nor aborted, or nil.
func (v View) Running() *Change {
	if v.Change == nil || v.Change.Phase.Done() {
		return nil
	}
	return v.Change
}

// Ack returns the last acknowledgement of a router under its current registration, if there is one.
func (v View) Ack(name string) (Ack, bool) {
	a, acked := v.Acks[name]
	return a, acked && a.Boot == v.Routers[name].Boot
}

// Missing returns the routers, sorted by name, that have not reached a step in the round of the running change.
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

// refusal returns the first router by name that refused the change, and its reason.
func (v View) refusal(c *Change) (name, reason string, refused bool) {
	for router := range v.Routers {
		if a, acked := v.Ack(router); acked && a.Change == c.ID && a.Step == Refused && (!refused || router < name) {
			name, reason, refused = router, a.Reason, true
		}
	}
	return name, reason, refused
}

// Mode is how a router handles arriving requests.
type Mode uint8

// The modes of a router.
const (
	Closed  Mode = iota // refuses them: it has no version that it may serve
	Serving             // serves them under a version
	Holding             // holds them until the outcome of a change
)

func (m Mode) String() string { return [...]string{"closed", "serving", "holding"}[m] }

// Directive is what a router must do at a view: first switch to the mode, then write the acknowledgement.
type Directive struct {
	Mode    Mode
	Version *Version // set with Serving
	Ack     *Ack     // acknowledgement to write; nil: the store has it already
	Reason  string   // set with Closed
}

// Member identifies a router by its registration.
type Member struct{ Name, Boot string }

// Directive decides what the router must do at a view. supports reports whether the router's own configuration allows a
// policy. Views must be no older than the registration, and must not go back in revision. Without a registration under
// its boot the router must not serve, and the result is false.
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
		// The change can't be committed while this refusal is recorded, so the old version may still be served. A
		// router that registered late may be missing from the committer's view, so it must hold nevertheless.
		ack.Step, ack.Reason = Refused, err.Error()
	} else if c.Phase == Preparing {
		ack.Step = Prepared
	}
	if c.Phase == Preparing && s.Mode == Serving {
		s = Directive{Mode: Holding}
	}
	return s, ack
}

// stagger is the delay between drivers: each waits this much longer than the one ranked before it.
const stagger = 30 * time.Millisecond

// Driver moves the running change on as far as a view allows. Any number of drivers may watch a store: each move is a
// compare-and-swap on the change's record, so only one succeeds. The zero value is a driver that is not a router.
type Driver struct {
	Router string // name of this driver's router; empty: none

	changeID    string        // ID of the watched change
	changeSeen  time.Duration // when the change was first seen
	recordRev   int64         // revision of its record
	recordSeen  time.Duration // when that revision was first seen
	target      Phase         // phase that the change is due for
	targetSince time.Duration // when it became due
}

// Next returns the record that should replace the view's, or nil. wake is when to call again if no other view arrives,
// or 0.
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
	d.targetSince = now + time.Duration(len(v.Routers))*stagger // retry if the move gets lost
	return &updated, d.targetSince
}

// rank returns a router's position in the order in which drivers move a change. Rendezvous hashing makes the order
// differ between changes. A driver that is not a router comes last.
func rank(v View, id, router string) int {
	if _, registered := v.Routers[router]; !registered {
		return len(v.Routers)
	}
	ahead, own := 0, weight(id, router)
	for name := range v.Routers {
		if cmp.Or(cmp.Compare(weight(id, name), own), cmp.Compare(name, router)) < 0 {
			ahead++
		}
	}
	return ahead
}

func weight(id, name string) uint64 { return xxhash.Sum64String(id + "\x00" + name) }

// Propose returns the record of a new change, or the change that is running.
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

// Result returns the version that results from a committed change.
func (c Change) Result() Version {
	return Version{Version: c.Base + 1, Change: c.ID, Text: c.Text, By: c.By, Note: c.Note, At: c.At}
}
