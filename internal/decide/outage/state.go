package outage

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"sumacloft/internal/decide/turn"
)

// Format is the format version of states written by this program.
const Format = 1 + turn.FormatsAhead

// Kind is the kind of a member: server or router.
type Kind string

const (
	Server Kind = "server"
	Router Kind = "router"
)

// ID returns the identifier of a member: its kind and its name.
func ID(k Kind, name string) string { return string(k) + "/" + name }

// Split splits an ID into kind and name.
func Split(id string) (Kind, string) {
	k, name, _ := strings.Cut(id, "/")
	return Kind(k), name
}

// State is the fleet's agreed record of outages, stored under one key. Durations are in milliseconds. They only grow, by
// the time that a decider observed to pass.
type State struct {
	Format       int    `json:"format"`
	Seq          int64  `json:"seq"`
	Version      int64  `json:"version"` // of the policy whose model the state was made with
	By           string `json:"by"`
	Why          string `json:"why,omitempty"` // what changed with this state
	LastPermitID int64  `json:"next"`          // number of the last permit

	Permits        map[string]Permit        `json:"permits,omitempty"` // by member ID
	PermitRequests map[string]PermitRequest `json:"wishes,omitempty"`  // by member ID
	Lost           map[string]Loss          `json:"lost,omitempty"`    // by member ID: members out without a permit
	Known          map[string]KnownRouter   `json:"known,omitempty"`   // routers by name
	EndedPermits   []EndedPermit            `json:"past,omitempty"`    // permits that ended, newest last
	// Leaving lists the servers, by member ID, that would get a permit next and wait until their KV cache has been
	// copied.
	Leaving map[string]Leaving `json:"leaving,omitempty"`
	Release *Release           `json:"release,omitempty"` // the current or last release
	// Headroom is the current limit on servers out where the policy derives it from headroom.
	Headroom *Headroom `json:"room,omitempty"`
	// Hindsight counts halts by whether later evidence showed the version to be worse.
	Hindsight Hindsight `json:"hindsight,omitzero"`
	// Budget is the count made for this state, for use by checkers.
	Budget Budget `json:"budget"`
	// OverBudgetMs is how long losses alone have exhausted the budget.
	OverBudgetMs float64 `json:"over_ms,omitempty"`
	OverBudget   bool    `json:"over,omitempty"`
	turn.NextFormat
	Rev int64 `json:"-"`
}

// Stage is the stage of a permit.
type Stage string

const (
	Granted      Stage = "given"     // routers are informed and send no new requests to the member
	Acknowledged Stage = "clear"     // every live router has acknowledged the permit: the member may be stopped
	Returning    Stage = "returning" // the member is back and must answer for warm_ms
)

// Permit allows one member to be out of service.
type Permit struct {
	ID    int64  `json:"id"`
	For   string `json:"for"` // ByHand, ForReload or the name of a release
	Stage Stage  `json:"stage"`
	Seq   int64  `json:"seq"`            // of the state that granted it
	Boot  string `json:"boot"`           // of the member when it was granted
	Label string `json:"label"`          // of the member when it was granted
	To    string `json:"to,omitempty"`   // the label that the member should return with
	Site  string `json:"site,omitempty"` // of the member
	Role  string `json:"role,omitempty"`
	// Serve is set when an operator wants the member back in service with the label it has.
	Serve  bool    `json:"serve,omitempty"`
	OutMs  float64 `json:"out_ms"`  // since it was granted, or since another return label was set
	BackMs float64 `json:"back_ms"` // since the member returned
}

// PermitRequest is a request for a permit that has not been granted yet.
type PermitRequest struct {
	Seq        int64  `json:"seq"` // requests by hand are granted in this order
	By         string `json:"by,omitempty"`
	WaitReason string `json:"wait,omitempty"` // why it has not been granted yet
	// For and To become the permit's; For is empty in an operator's request. Rank orders requests that are not an
	// operator's.
	For  string `json:"for,omitempty"`
	To   string `json:"to,omitempty"`
	Rank int    `json:"place,omitempty"`
}

// Loss is a member that is out without a permit.
type Loss struct {
	Why  string `json:"why"` // silent, drained, ended, lost site
	Site string `json:"site,omitempty"`
	Role string `json:"role,omitempty"`
}

// KnownRouter is a router that counts toward the fleet until it is declared gone.
type KnownRouter struct {
	Boot        string `json:"boot"`
	Label       string `json:"label,omitempty"`
	Site        string `json:"site,omitempty"`
	StoreMember bool   `json:"hosts,omitempty"` // it hosts a store member
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

// maxEndedPermits limits the ended permits kept in a state.
const maxEndedPermits = 64

// Budget counts the members that exist, that may be out and that are out.
type Budget struct {
	Servers        int `json:"servers"`       // all servers
	ServersLimit   int `json:"servers_most"`  // servers that may be out
	ServersOut     int `json:"servers_out"`   // with a permit, or lost
	Routers        int `json:"routers"`       // all known routers
	RoutersLimit   int `json:"routers_most"`  // routers that may be out
	RoutersOut     int `json:"routers_out"`   // with a permit, or lost
	ServersLost    int `json:"servers_lost"`  // part of ServersOut without a permit
	RoutersLost    int `json:"routers_lost"`  // part of RoutersOut without a permit
	ServersGranted int `json:"servers_given"` // part of ServersOut with a permit and not returning
}

// clone copies the state deeply enough that changes to the copy do not affect the original.
func (s *State) clone() *State {
	if s == nil {
		return &State{Format: Format, Permits: map[string]Permit{}, PermitRequests: map[string]PermitRequest{},
			Lost: map[string]Loss{}, Known: map[string]KnownRouter{}, Leaving: map[string]Leaving{}}
	}
	out := *s
	out.Permits, out.PermitRequests, out.Lost, out.Known = cloneOrEmpty(s.Permits), cloneOrEmpty(s.PermitRequests),
		cloneOrEmpty(s.Lost), cloneOrEmpty(s.Known)
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

// endPermit removes a permit and records how it ended.
func (s *State) endPermit(member, outcome, label string) {
	p := s.Permits[member]
	delete(s.Permits, member)
	s.EndedPermits = append(s.EndedPermits, EndedPermit{ID: p.ID, Member: member, For: p.For, End: outcome, Label: label, Seq: s.Seq})
	if len(s.EndedPermits) > maxEndedPermits {
		s.EndedPermits = slices.Clone(s.EndedPermits[len(s.EndedPermits)-maxEndedPermits:])
	}
}

// RefusedError reports that a member can't be taken out, or that a release can't be changed as requested.
type RefusedError struct {
	Thing string // what was requested
	Why   string
	Do    string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("%s: refused: %s", e.Thing, e.Why) }

// Advice tells the operator what to do.
func (e *RefusedError) Advice() string { return e.Do }

// Drain records an operator's request to take a member out. The call is idempotent: next is nil if a permit or request
// exists already. permitted reports whether the member may be stopped now. A member that is returning may not be; it can
// be requested again once its permit has ended.
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

// Serve withdraws a request, or marks a member drained by hand to return to service with the label it has. It returns
// nil if there is neither.
func (s *State) Serve(member, by string) *State {
	if s == nil {
		return nil
	}
	_, requested := s.PermitRequests[member]
	p, out := s.Permits[member]
	if !requested && (!out || p.Serve || p.For != ByHand) {
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

// ByHand is the purpose of a permit that an operator requested.
const ByHand = "hand"

// DeclareGone records that a member will not return. Its permit ends and it no longer counts. The caller must make sure
// that the member is down. It returns nil if the state knows nothing of the member.
func (s *State) DeclareGone(member, by string) *State {
	if s == nil {
		return nil
	}
	next := s.clone()
	next.Seq++
	next.By, next.Why = by, member+" is declared gone"
	_, requested := next.PermitRequests[member]
	_, out := next.Permits[member]
	_, lost := next.Lost[member]
	kind, name := Split(member)
	known := kind == Router && next.Known[name] != KnownRouter{}
	if !requested && !out && !lost && !known {
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

// Router returns what is known of a router.
func (s *State) Router(name string) (KnownRouter, bool) {
	if s == nil {
		return KnownRouter{}, false
	}
	k, ok := s.Known[name]
	return k, ok
}
