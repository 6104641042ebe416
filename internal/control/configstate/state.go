package configstate

import (
	"fmt"

	"sumacloft/internal/opconf"
)

// OutcomeStatus says what became of an order.
type OutcomeStatus uint8

// The outcomes of an order.
const (
	Taken        OutcomeStatus = iota + 1 // the order is the current configuration now
	AlreadyTaken                          // the very same order was taken before
	OtherVersion                          // the order builds on a version that is not the current one
	Invalid                               // the order builds on the current version but may not be taken
	Unknown                               // nothing is promised: the order may have been taken before, or may be taken later
)

// String returns the name of the status.
func (s OutcomeStatus) String() string {
	switch s {
	case Taken:
		return "taken"
	case AlreadyTaken:
		return "already taken"
	case OtherVersion:
		return "other version"
	case Invalid:
		return "invalid"
	case Unknown:
		return "not known"
	}
	return "unknown"
}

// Acknowledged reports whether the operator may be told that the order holds.
func (s OutcomeStatus) Acknowledged() bool {
	return s == Taken || s == AlreadyTaken
}

// Outcome is what became of an order.
type Outcome struct {
	Status  OutcomeStatus
	Version uint64 // the version that the order made where it was taken, or else the current one
	// Err says why it was not taken: *OtherVersionError, *RefusedError, *ForgottenError, *CrowdedError, *VersionError, *KindError, or an
	// error of package opconf.
	Err error
}

// OtherVersionError tells that an order builds on a version that is not current.
type OtherVersionError struct {
	BuiltOn uint64
	Current uint64
}

// Error says which version to build on.
func (e *OtherVersionError) Error() string {
	return fmt.Sprintf("the order builds on version %d but %d is current; read the configuration and build on that",
		e.BuiltOn, e.Current)
}

// RefusedError tells that the very same order was refused before, when the version that it builds on was not there yet.
// A refusal is final: the operator may have gone on without the order.
type RefusedError struct {
	BuiltOn uint64
}

// Error says what to send instead.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("this very order was refused before version %d came, which is final; send it under another version", e.BuiltOn)
}

// ForgottenError tells that an order is older than the taken orders that are remembered.
type ForgottenError struct {
	Version uint64
	Current uint64
}

// Error says what to do about the order.
func (e *ForgottenError) Error() string {
	return fmt.Sprintf("it is not remembered whether this order of version %d was taken; read the configuration, version %d is current",
		e.Version, e.Current)
}

// CrowdedError tells that an order builds on a version that has not come, and that so many such orders were refused that
// this one could not be remembered. It is not refused: it may be taken if it comes again once its version is there.
type CrowdedError struct {
	BuiltOn uint64
	Current uint64
}

// Error says which version to build on.
func (e *CrowdedError) Error() string {
	return fmt.Sprintf("version %d has not come and %d orders on such versions were refused already: read the configuration and build on version %d",
		e.BuiltOn, MaxRefused, e.Current)
}

// VersionError tells that the version of an order is not above the current one.
type VersionError struct {
	Version uint64
	Current uint64
}

// Error says which versions are free.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version: %d is not above the current version %d; give a higher one", e.Version, e.Current)
}

// KindError tells that an order is of no kind that this program knows.
type KindError struct {
	Kind OrderKind
}

// Error says what to do about the order.
func (e *KindError) Error() string {
	return fmt.Sprintf("orders of kind %d are unknown here; run the same release on all replicas", e.Kind)
}

// State is the replicated configuration. Its zero value holds none.
type State struct {
	current *opconf.Configuration
	index   uint64
	taken   takenOrders
	refused refusedOrders
	faults  Faults
}

// Faults are deliberate violations, for the tests of the tests. All are off outside tests.
type Faults struct {
	ForgetTaken   bool // orders that were taken are not recognised
	ForgetRefused bool // orders that were refused may be taken later
	// RefuseUnremembered refuses orders on versions to come for good though there is no room to remember them.
	RefuseUnremembered bool
}

// NewBroken returns an empty state that is broken on purpose.
func NewBroken(faults Faults) State { return State{faults: faults} }

// Current returns the configuration in force, nil while there is none.
func (s *State) Current() *opconf.Configuration {
	return s.current
}

// Index returns the index of the log entry that set the current configuration, 0 while there is none.
func (s *State) Index() uint64 {
	return s.index
}

// Rebase has the current configuration stand as if the entry at the index had set it, where there is one. A partition that
// was restored from one disk stands above all that its members and routers knew.
func (s *State) Rebase(index uint64) {
	if s.current != nil {
		s.index = index
	}
}

// Version returns the version of the current configuration, 0 while there is none.
func (s *State) Version() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Version
}

// Check returns what Apply would answer in this state, and changes nothing.
func (s *State) Check(order Order) Outcome {
	outcome, _ := s.decide(order, order.digest())
	return outcome
}

// Apply applies the order that the log holds at index. Replicas must apply the same orders in the order of the log.
func (s *State) Apply(index uint64, order Order) Outcome {
	sum := order.digest()
	outcome, next := s.decide(order, sum)
	switch {
	case outcome.Status == Taken:
		s.current = next
		s.index = index
		s.taken.add(takenOrder{Digest: sum, Version: next.Version})
		s.refused.pass(next.Version)
	case outcome.Status == OtherVersion && order.BuiltOn > s.Version():
		s.refused.add(refusedOrder{Digest: sum, BuiltOn: order.BuiltOn})
	}
	return outcome
}

// decide returns what becomes of an order, and the next configuration where it is taken. Whether the order was taken
// before comes first, so such an order is refused by nothing that changed since. Whether it was refused before comes next:
// versions only rise, so an order that was refused on an old or on the current version can never be taken later, but one
// that was refused before its version came could.
func (s *State) decide(order Order, sum digest) (Outcome, *opconf.Configuration) {
	version, known := s.taken.version(sum)
	if known && !s.faults.ForgetTaken {
		return Outcome{Status: AlreadyTaken, Version: version}, nil
	}
	current := s.Version()
	if s.refused.has(sum) && !s.faults.ForgetRefused {
		return Outcome{Status: OtherVersion, Version: current, Err: Error.Wrap(&RefusedError{BuiltOn: order.BuiltOn})}, nil
	}
	if version := order.version(); order.BuiltOn < current && version > 0 && version <= s.taken.forgotten {
		err := &ForgottenError{Version: version, Current: current}
		return Outcome{Status: Unknown, Version: current, Err: Error.Wrap(err)}, nil
	}
	if order.BuiltOn > current && s.refused.full() && !s.faults.RefuseUnremembered {
		err := &CrowdedError{BuiltOn: order.BuiltOn, Current: current}
		return Outcome{Status: Unknown, Version: current, Err: Error.Wrap(err)}, nil
	}
	if order.BuiltOn != current {
		err := &OtherVersionError{BuiltOn: order.BuiltOn, Current: current}
		return Outcome{Status: OtherVersion, Version: current, Err: Error.Wrap(err)}, nil
	}
	next, err := s.build(order)
	if err != nil {
		return Outcome{Status: Invalid, Version: current, Err: Error.Wrap(err)}, nil
	}
	return Outcome{Status: Taken, Version: next.Version}, next
}

// build returns the configuration that an order makes of the current one.
func (s *State) build(order Order) (*opconf.Configuration, error) {
	next, err := s.read(order)
	if err != nil {
		return nil, err
	}
	if next.Version <= s.Version() {
		return nil, &VersionError{Version: next.Version, Current: s.Version()}
	}
	return next, nil
}

// read reads the body of an order by its kind.
func (s *State) read(order Order) (*opconf.Configuration, error) {
	switch order.Kind {
	case Replace:
		return opconf.ParseAfter(s.current, order.Body)
	case Change:
		change, err := opconf.ParseChange(order.Body)
		if err != nil {
			return nil, err
		}
		return opconf.Apply(s.current, change)
	}
	return nil, &KindError{Kind: order.Kind}
}
