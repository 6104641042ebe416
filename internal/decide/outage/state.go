package outage

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"sumacloft/internal/decide/turn"
)

// Format is that of the states that this program writes.
const Format = 1 + turn.Ahead

// Kind is what can be taken out.
type Kind string

// The kinds.
const (
	Server Kind = "server"
	Router Kind = "router"
)

// ID names a thing in the state: its kind and its name.
func ID(k Kind, name string) string { return string(k) + "/" + name }

// Split takes an ID apart.
func Split(id string) (Kind, string) {
	k, name, _ := strings.Cut(id, "/")
	return Kind(k), name
}

// State is what a fleet has agreed on about outages. It stands in the store under one key. Times are in milliseconds and
// only ever added to by what a decider saw pass.
type State struct {
	Format       int    `json:"format"`
	Seq          int64  `json:"seq"`
	Version      int64  `json:"version"` // of the policy whose model it was made by
	By           string `json:"by"`
	Why          string `json:"why,omitempty"` // what changed with this state
	LastPermitID int64  `json:"next"`          // number of the next permit

	Permits        map[string]Permit        `json:"permits,omitempty"` // by thing
	PermitRequests map[string]PermitRequest `json:"wishes,omitempty"`  // by thing
	Lost           map[string]Loss          `json:"lost,omitempty"`    // by thing: what is out without a permit
	Known          map[string]KnownRouter   `json:"known,omitempty"`   // routers by name
	EndedPermits   []EndedPermit            `json:"past,omitempty"`    // permits that ended, the newest last
	// Leaving have their turn, by thing, and wait for copies of what they hold.
	Leaving map[string]Leaving `json:"leaving,omitempty"`
	Release *Release           `json:"release,omitempty"` // the last one
	// Headroom is the budget of servers, where it follows room.
	Headroom *Headroom `json:"room,omitempty"`
	// Hindsight counts halts by what became of their versions.
	Hindsight Hindsight `json:"hindsight,omitzero"`
	// Budget is what was counted for this state, for those who check it.
	Budget Budget `json:"budget"`
	// OverBudgetMs is how long losses alone have used up the budget.
	OverBudgetMs float64 `json:"over_ms,omitempty"`
	OverBudget   bool    `json:"over,omitempty"`
	turn.Later
	Rev int64 `json:"-"`
}

// Stage is how far a permit has come.
type Stage string

// The stages of a permit.
const (
	Granted      Stage = "given"     // routers are told: nothing new goes there
	Acknowledged Stage = "clear"     // every router that is alive has said so: it may be stopped
	Returning    Stage = "returning" // it is seen back, and gets warm
)

// Permit lets one thing be out of service.
type Permit struct {
	ID    int64  `json:"id"`
	For   string `json:"for"` // "hand", or a release's name
	Stage Stage  `json:"stage"`
	Seq   int64  `json:"seq"`            // of the state that gave it
	Boot  string `json:"boot"`           // of the thing when it was given
	Label string `json:"label"`          // likewise
	To    string `json:"to,omitempty"`   // the label that it is to come back with
	Site  string `json:"site,omitempty"` // of the thing
	Role  string `json:"role,omitempty"`
	// Serve says that an operator wants it back as it is.
	Serve  bool    `json:"serve,omitempty"`
	OutMs  float64 `json:"out_ms"`  // since it was given, or since it is to come back with another label
	BackMs float64 `json:"back_ms"` // since it was seen back
}

// PermitRequest is an operator's wish to take something out by hand.
type PermitRequest struct {
	Seq        int64  `json:"seq"` // wishes are met in their order
	By         string `json:"by,omitempty"`
	WaitReason string `json:"wait,omitempty"` // why not yet
	// For and To are what its permit is to be for, where that is not an operator's hand, and the label to come back with;
	// Place its turn among those of its kind.
	For  string `json:"for,omitempty"`
	To   string `json:"to,omitempty"`
	Rank int    `json:"place,omitempty"`
}

// Loss is something that is out without a permit.
type Loss struct {
	Why  string `json:"why"` // silent, drained, ended, lost site
	Site string `json:"site,omitempty"`
	Role string `json:"role,omitempty"`
}

// KnownRouter is a router that the fleet counts with until it is declared gone.
type KnownRouter struct {
	Boot        string `json:"boot"`
	Label       string `json:"label,omitempty"`
	Site        string `json:"site,omitempty"`
	StoreMember bool   `json:"hosts,omitempty"` // a member of the store
}

// EndedPermit is a permit that has ended.
type EndedPermit struct {
	ID     int64  `json:"id"`
	Member string `json:"thing"`
	For    string `json:"for"`
	End    string `json:"end"` // back, served or gone
	Label  string `json:"label,omitempty"`
	Seq    int64  `json:"seq"` // of the state that ended it
}

// maxEndedPermits is how many ended permits a state keeps.
const maxEndedPermits = 64

// Budget is what was counted.
type Budget struct {
	Servers        int `json:"servers"`       // all that there are
	ServersLimit   int `json:"servers_most"`  // that may be out
	ServersOut     int `json:"servers_out"`   // permits and losses
	Routers        int `json:"routers"`       // all that are known
	RoutersLimit   int `json:"routers_most"`  //
	RoutersOut     int `json:"routers_out"`   //
	ServersLost    int `json:"servers_lost"`  // of ServersOut, without a permit
	RoutersLost    int `json:"routers_lost"`  //
	ServersGranted int `json:"servers_given"` // of ServersOut, permits that are not yet seen back
}

// clone is a copy that shares nothing that is changed.
func (s *State) clone() *State {
	if s == nil {
		return &State{Format: Format, Permits: map[string]Permit{}, PermitRequests: map[string]PermitRequest{}, Lost: map[string]Loss{}, Known: map[string]KnownRouter{}, Leaving: map[string]Leaving{}}
	}
	out := *s
	out.Permits, out.PermitRequests, out.Lost, out.Known = cloneOrEmpty(s.Permits), cloneOrEmpty(s.PermitRequests), cloneOrEmpty(s.Lost), cloneOrEmpty(s.Known)
	out.EndedPermits, out.Leaving = slices.Clone(s.EndedPermits), cloneOrEmpty(s.Leaving)
	if s.Release != nil {
		r := *s.Release
		r.Targets = slices.Clone(r.Targets)
		out.Release = &r
	}
	return &out
}

func cloneOrEmpty[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// endPermit notes the end of a permit.
func (s *State) endPermit(member, outcome, label string) {
	p := s.Permits[member]
	delete(s.Permits, member)
	s.EndedPermits = append(s.EndedPermits, EndedPermit{ID: p.ID, Member: member, For: p.For, End: outcome, Label: label, Seq: s.Seq})
	if len(s.EndedPermits) > maxEndedPermits {
		s.EndedPermits = slices.Clone(s.EndedPermits[len(s.EndedPermits)-maxEndedPermits:])
	}
}

// RefusedError says that something can't be taken out, or a release can't be changed as asked.
type RefusedError struct {
	Thing string // what was asked for
	Why   string
	Do    string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("%s: refused: %s", e.Thing, e.Why) }

// Advice says what an operator can do.
func (e *RefusedError) Advice() string { return e.Do }

// Drain notes an operator's wish to take a server out, or gives what is there: asked twice it is one wish. permitted tells
// that it is out, or may be taken out now; what returns just now is neither: it is asked for once its permit has ended.
func (s *State) Drain(member, by string) (next *State, permitted bool) {
	if p, ok := s.permit(member); ok && p.Stage == Acknowledged && !p.Serve {
		return nil, true
	} else if ok {
		return nil, false
	}
	if s != nil {
		if _, ok := s.PermitRequests[member]; ok {
			return nil, false
		}
	}
	next = s.clone()
	next.Seq++
	next.By, next.Why = by, member+" is wished out"
	next.PermitRequests[member] = PermitRequest{Seq: next.Seq, By: by, WaitReason: "not looked at yet"}
	return next, false
}

func (s *State) permit(member string) (Permit, bool) {
	if s == nil {
		return Permit{}, false
	}
	p, ok := s.Permits[member]
	return p, ok
}

// Serve takes back a wish, or says that what was taken out by hand is to serve again as it is; nil: nothing was asked.
func (s *State) Serve(member, by string) *State {
	if s == nil {
		return nil
	}
	_, wished := s.PermitRequests[member]
	p, out := s.Permits[member]
	if !wished && (!out || p.Serve || p.For != ByHand) {
		return nil
	}
	next := s.clone()
	next.Seq++
	next.By, next.Why = by, member+" is to serve again"
	delete(next.PermitRequests, member)
	delete(next.Leaving, member)
	if out && p.For == ByHand {
		p.Serve = true
		next.Permits[member] = p
	}
	return next
}

// ByHand is what a permit is for that no release asked for.
const ByHand = "hand"

// DeclareGone declares that a thing will not come back: its permit ends, and it is not counted any more. The caller answers
// for its being down. nil: nothing is known of it.
func (s *State) DeclareGone(member, by string) *State {
	if s == nil {
		return nil
	}
	next := s.clone()
	next.Seq++
	next.By, next.Why = by, member+" is declared gone"
	_, wished := next.PermitRequests[member]
	_, out := next.Permits[member]
	_, lost := next.Lost[member]
	kind, name := Split(member)
	known := kind == Router && next.Known[name] != KnownRouter{}
	if !wished && !out && !lost && !known {
		return nil
	}
	delete(next.PermitRequests, member)
	delete(next.Leaving, member)
	delete(next.Lost, member)
	if kind == Router {
		delete(next.Known, name)
	}
	if out {
		next.endPermit(member, "gone", "")
	}
	if r := next.Release; r != nil {
		for i := range r.Targets {
			if t := &r.Targets[i]; ID(r.Kind, t.Name) == member {
				t.State, t.Why, t.Gone = Blocked, "declared gone", true
			}
		}
	}
	return next
}

// Router gives what is known of a router.
func (s *State) Router(name string) (KnownRouter, bool) {
	if s == nil {
		return KnownRouter{}, false
	}
	k, ok := s.Known[name]
	return k, ok
}
