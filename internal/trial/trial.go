// Package trial names the mechanisms of the fleet that a trial may switch off one by one, to measure what each is worth. A
// process takes such a list only where it is told that it takes part in a trial.
package trial

import (
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of lists that can't be used.
var Error = errs.Class("trial")

// Mechanism is something that decides better than nothing would, as is claimed.
type Mechanism string

// The mechanisms.
const (
	ShortPrompts Mechanism = "short-prompts" // a short prompt is read by its writer
	RereadWeight Mechanism = "reread-weight" // reading a beginning at one more worker counts more than its time
	OneHome      Mechanism = "one-home"      // a beginning has one reader for all zones, not one in each
	Hints        Mechanism = "hints"         // proxies tell each other what waits at readers
	Probing      Mechanism = "probing"       // silent workers are asked for their reports
	CallOff      Mechanism = "call-off"      // attempts that take too long are given up for others
	LateShare    Mechanism = "late-share"    // what would be late is taken all the same
	HoldOff      Mechanism = "hold-off"      // refusals advise when to return
	PickUp       Mechanism = "pick-up"       // streams that break go on at another worker
	Balance      Mechanism = "balance"       // workers change their phases with the load
	ColdShare    Mechanism = "cold-share"    // before traffic the phases are shared by places
	LinkWork     Mechanism = "link-work"     // the balance counts moves that wait for links
)

// All are the mechanisms that can be switched off.
var All = []Mechanism{
	ShortPrompts, RereadWeight, OneHome, Hints, Probing, CallOff, LateShare, HoldOff, PickUp, Balance, ColdShare, LinkWork,
}

// Off is a set of mechanisms that are switched off. The zero value is the fleet as it is meant.
type Off []Mechanism

// Parse reads the names of mechanisms to switch off. It is refused outside of a trial.
func Parse(names []string, inTrial bool) (Off, error) {
	if len(names) > 0 && !inTrial {
		return nil, Error.New("mechanisms can be switched off in a trial only: add --trial, or leave --without away")
	}
	var off Off
	for _, name := range names {
		mechanism := Mechanism(name)
		if !slices.Contains(All, mechanism) {
			return nil, Error.New("there is no mechanism %q; there are: %s", name, Off(All))
		}
		off = append(off, mechanism)
	}
	return off, nil
}

// Has tells whether a mechanism is switched off.
func (o Off) Has(mechanism Mechanism) bool { return slices.Contains(o, mechanism) }

// Any tells whether any is.
func (o Off) Any() bool { return len(o) > 0 }

// String lists the mechanisms that are switched off.
func (o Off) String() string {
	names := make([]string, 0, len(o))
	for _, one := range o {
		names = append(names, string(one))
	}
	return strings.Join(names, ",")
}
