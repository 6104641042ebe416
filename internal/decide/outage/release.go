package outage

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
)

// Spec describes a release, as an operator writes it.
type Spec struct {
	Name  string   `toml:"name" json:"name"`
	Kind  Kind     `toml:"kind" json:"kind"`
	To    string   `toml:"to" json:"to"` // the label that its targets should return with
	Names []string `toml:"names,omitempty" json:"names,omitempty"`
	Sites []string `toml:"sites,omitempty" json:"sites,omitempty"`
	Roles []string `toml:"roles,omitempty" json:"roles,omitempty"`
	// Order is the order of targets: spread, site or name. Spread, the default, takes the servers with the least cached
	// for others first and alternates between sites; site finishes one site after the other.
	Order string `toml:"order,omitempty" json:"order,omitempty"`
	// Waves are the wave sizes, each a number or a share of the targets. The last one repeats. Without any, one canary
	// is followed by waves of two.
	Waves []float64 `toml:"waves,omitempty" json:"waves,omitempty"`
	// All includes members that have the label already.
	All bool `toml:"all,omitempty" json:"all,omitempty"`
}

// Phase is the phase of a release.
type Phase string

const (
	Running     Phase = "running"
	Halted      Phase = "halted"
	RollingBack Phase = "back"     // its targets are returned to their previous labels
	Done        Phase = "done"     // every target has the new label, or is recorded with what blocks it
	RolledBack  Phase = "returned" // every target has its previous label, or is recorded with what blocks it
)

// Finished reports whether nothing remains to be done.
func (p Phase) Finished() bool { return p == Done || p == RolledBack }

// Progress is the progress of one target.
type Progress string

const (
	Waiting Progress = "waiting"
	Out     Progress = "out" // with a permit
	Reached Progress = "reached"
	Blocked Progress = "held" // something prevents it from reaching its label
)

func (p Progress) finished() bool { return p == Reached || p == Blocked }

// Target is one member of a release.
type Target struct {
	Name  string   `json:"name"`
	Site  string   `json:"site,omitempty"`
	From  string   `json:"from,omitempty"` // its label before the release
	State Progress `json:"state"`
	Why   string   `json:"why,omitempty"`
	Order int64    `json:"nth,omitempty"`  // order in which targets reached the label
	Gone  bool     `json:"gone,omitempty"` // declared gone by an operator; not tried again
}

// Release is the current release, or the last one.
type Release struct {
	Spec
	Run        string         `json:"run"` // identifies this run of it
	Phase      Phase          `json:"phase"`
	Targets    []Target       `json:"targets"`
	Wave       int            `json:"wave"`       // counted from 0
	WaveLeft   int            `json:"left"`       // targets that may still go out in this wave
	PauseMs    float64        `json:"pause_ms"`   // since the last wave ended
	Paused     bool           `json:"paused"`     // between two waves
	Reached    int64          `json:"reached"`    // how often a target reached the label
	Looks      int            `json:"looks"`      // looks made by the sequential test
	Halts      int            `json:"halts"`      // how often it was halted
	Why        string         `json:"why"`        // the reason for its phase
	HaltSeq    int64          `json:"halt_seq"`   // of the state that halted it last
	HaltedFrom Phase          `json:"before"`     // the phase that a halt interrupted
	LostSites  int            `json:"lost_sites"` // sites that were lost when it began or was resumed
	ByHand     bool           `json:"by_hand,omitempty"`
	Evidence   Counts         `json:"evidence,omitzero"` // the counts of the last look
	Unsettled  *UnsettledHalt `json:"doubt,omitempty"`   // a halt by the version's own counts, not yet settled
}

// ReleaseError reports an invalid key of a release file.
type ReleaseError struct{ Key, Why string }

func (e *ReleaseError) Error() string { return "release: " + e.Key + ": " + e.Why }

// Advice tells the operator how to correct the key.
func (e *ReleaseError) Advice() string {
	return "correct the key in the release's file and start it again"
}

// Check reports the first invalid key.
func (s Spec) Check() error {
	switch {
	case s.Name == "" || s.Name == ByHand:
		return &ReleaseError{"name", "must be set, and not be \"" + ByHand + "\""}
	case s.Kind != Server && s.Kind != Router:
		return &ReleaseError{"kind", fmt.Sprintf("%q is neither %s nor %s", s.Kind, Server, Router)}
	case s.To == "":
		return &ReleaseError{"to", "the label to reach is missing"}
	case !slices.Contains([]string{"", "spread", "site", "name"}, s.Order):
		return &ReleaseError{"order", fmt.Sprintf("%q is not one of spread, site and name", s.Order)}
	case s.Kind == Router && len(s.Roles) > 0:
		return &ReleaseError{"roles", "routers have no roles"}
	}
	for i, w := range s.Waves {
		if !(w > 0) || w > 1 && w != float64(int(w)) {
			return &ReleaseError{"waves[" + strconv.Itoa(i) + "]", "must be a whole number from 1, or a share below 1"}
		}
	}
	return nil
}

// waveSize returns the size of the current wave.
func (r *Release) waveSize() int {
	if len(r.Waves) == 0 {
		return min(r.Wave+1, 2)
	}
	return max(limit(r.Waves[min(r.Wave, len(r.Waves)-1)], len(r.Targets)), 1)
}

// Start begins a release over what the routers observe. It is refused while another release is not finished.
func (v View) Start(spec Spec, by string) (*State, error) {
	if err := spec.Check(); err != nil {
		return nil, err
	}
	if !v.Model.On() {
		return nil, &RefusedError{spec.Name, "the policy has no [outage]", "add a budget to the policy and apply it"}
	}
	if r := v.Last.clone().Release; r != nil && !r.Phase.Finished() {
		return nil, &RefusedError{spec.Name, fmt.Sprintf("release %s (to %s) is %s and not finished", r.Name, r.To, r.Phase),
			"wait until it finishes, or roll it back: sumactl release back"}
	}
	var targets []Target
	selected := func(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
	add := func(name, site, role, label string) {
		if selected(spec.Names, name) && selected(spec.Sites, site) && selected(spec.Roles, role) && (label != spec.To || spec.All) {
			targets = append(targets, Target{Name: name, Site: site, From: label, State: Waiting})
		}
	}
	known := map[string]bool{}
	switch spec.Kind {
	case Server:
		observed, votes := map[string]Observation{}, map[[2]string]int{}
		for _, r := range v.Reports {
			for id, s := range r.All {
				if !v.Routers[r.Router].Live {
					continue
				}
				votes[[2]string{id, s.Label}]++ // use the majority's label: some lists may be outdated
				if best, ok := observed[id]; !ok || votes[[2]string{id, s.Label}] > votes[[2]string{id, best.Label}] {
					observed[id] = s
				}
			}
		}
		for id, s := range observed {
			known[id] = true
			add(id, s.Site, s.Role, s.Label)
		}
	case Router:
		for name, k := range v.Last.clone().Known {
			known[name] = true
			add(name, k.Site, "", k.Label)
		}
	}
	for _, name := range spec.Names {
		if !known[name] {
			return nil, &ReleaseError{"names", fmt.Sprintf("no %s is named %q", spec.Kind, name)}
		}
	}
	if len(targets) == 0 {
		return nil, &RefusedError{spec.Name, "no " + string(spec.Kind) + " that it names lacks the label " + spec.To,
			"see 'sumactl release status', or set all = true"}
	}
	next := v.Last.clone()
	next.Seq++
	next.By, next.Why = by, "release "+spec.Name+" begins"
	next.Release = &Release{Spec: spec, Run: spec.Name + "-" + strconv.FormatInt(next.Seq, 10), Phase: Running,
		Targets: sortTargets(targets, spec.Order, v.CachedTokens), Paused: false,
		LostSites: len(v.LostSites)}
	next.Release.WaveLeft = next.Release.waveSize()
	return next, nil
}

// sortTargets orders targets. The spread order takes those with the fewest cached tokens first and alternates between
// sites among equals, so that a wave takes little capacity from each site.
func sortTargets(list []Target, order string, cachedTokens map[string]float64) []Target {
	slices.SortFunc(list, func(a, b Target) int { return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Name, b.Name)) })
	switch order {
	case "site":
		return list
	case "name":
		slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
		return list
	}
	nth := map[string]int{}
	rank := map[string]int{}
	for _, t := range list {
		rank[t.Name] = nth[t.Site]
		nth[t.Site]++
	}
	slices.SortStableFunc(list, func(a, b Target) int {
		return cmp.Or(cmp.Compare(cachedTokens[a.Name], cachedTokens[b.Name]), cmp.Compare(rank[a.Name], rank[b.Name]))
	})
	return list
}

// change returns a copy of the state with its release changed. It is refused if there is no release.
func (s *State) change(action, by string, apply func(r *Release) error) (*State, error) {
	next := s.clone()
	r := next.Release
	if r == nil {
		return nil, &RefusedError{action, "there is no release", "start one: sumactl release start FILE"}
	}
	if err := apply(r); err != nil {
		return nil, err
	}
	next.Seq++
	next.By, next.Why = by, "release "+r.Name+": "+action
	return next, nil
}

// Halt halts the release by hand. The call is idempotent: it returns nil, nil if the release is halted already.
func (s *State) Halt(by, why string) (*State, error) {
	if s != nil && s.Release != nil && s.Release.Phase == Halted {
		return nil, nil
	}
	next, err := s.change("halt", by, func(r *Release) error {
		if r.Phase.Finished() {
			return &RefusedError{"halt", "release " + r.Name + " is finished", "nothing needs to be done"}
		}
		r.halt(cmp.Or(why, "by hand"))
		r.ByHand = true
		return nil
	})
	if next != nil {
		next.Release.HaltSeq = next.Seq
	}
	return next, err
}

func (r *Release) halt(why string) {
	r.HaltedFrom, r.Phase, r.Why = r.Phase, Halted, why
	r.Halts++
}

// Resume continues a halted release where it stopped. Blocked targets are tried again, and counts from before the resume
// no longer count against the version.
func (v View) Resume(by string) (*State, error) {
	if v.Last != nil && v.Last.Release != nil && (v.Last.Release.Phase == Running || v.Last.Release.Phase == RollingBack) {
		return nil, nil
	}
	return v.Last.change("resume", by, func(r *Release) error {
		if r.Phase != Halted {
			return &RefusedError{"resume", "release " + r.Name + " is " + string(r.Phase) + ", not halted", "see 'sumactl release status'"}
		}
		r.Phase, r.Why, r.ByHand, r.Looks, r.LostSites = r.HaltedFrom, "", false, 0, len(v.LostSites)
		r.Run = r.Name + "-" + strconv.FormatInt(v.Last.Seq+1, 10)
		for i := range r.Targets {
			if r.Targets[i].State == Blocked && !r.Targets[i].Gone {
				r.Targets[i].State, r.Targets[i].Why = Waiting, ""
			}
		}
		return nil
	})
}

// RollBack returns the release's targets to their previous labels, the last released first. Targets that are out return
// first, with whatever label they have by then. The call is idempotent: it returns nil, nil if a rollback was requested
// already.
func (s *State) RollBack(by string) (*State, error) {
	if s != nil && s.Release != nil && (s.Release.Phase == RollingBack || s.Release.Phase == RolledBack ||
		s.Release.Phase == Halted && s.Release.HaltedFrom == RollingBack) {
		return nil, nil
	}
	next, err := s.change("back", by, func(r *Release) error {
		r.Phase, r.Why, r.Paused, r.Wave = RollingBack, "taken back by "+by, false, 0
		var reached, rest []Target
		for _, t := range r.Targets {
			switch {
			case t.Gone:
				rest = append(rest, t)
			case t.State == Reached || t.State == Blocked:
				t.State, t.Why = Waiting, ""
				reached = append(reached, t)
			case t.State == Out:
				reached = append(reached, t) // it returns first and is rolled back then
			default:
				t.State = Reached // it never left its label
				rest = append(rest, t)
			}
		}
		slices.SortStableFunc(reached, func(a, b Target) int { return cmp.Compare(cmp.Or(b.Order, 1<<62), cmp.Or(a.Order, 1<<62)) })
		r.Targets = append(reached, rest...)
		r.WaveLeft = r.waveSize()
		return nil
	})
	if err != nil {
		return nil, err
	}
	for _, t := range next.Release.Targets { // targets that are out should return with their previous label
		member := ID(next.Release.Kind, t.Name)
		if p, out := next.Permits[member]; out && t.State == Out {
			p.To, p.OutMs = t.From, 0
			next.Permits[member] = p
		}
	}
	return next, nil
}

// retryStrayed puts targets of a rollback back in the queue if they are seen with another label than their previous one.
func (d *draft) retryStrayed(r *Release) {
	for i := range r.Targets {
		t := &r.Targets[i]
		member := ID(r.Kind, t.Name)
		if _, out := d.Permits[member]; out || t.State != Reached || r.Phase != RollingBack || d.broken == SkipsRollback {
			continue
		}
		s := d.fleet.servers[t.Name]
		label, certain := s.Label, s.agreed
		if r.Kind == Router {
			label, certain = d.Known[t.Name].Label, d.view.Routers[t.Name].Live
		}
		if certain && label != t.From {
			t.State = Waiting
			d.note("%s has label %q: it is to go back all the same", member, label)
		}
	}
}

// wantedLabel returns the label that a target should have in the current phase.
func (r *Release) wantedLabel(t Target) string {
	if r.Phase == RollingBack || r.Phase == RolledBack || r.Phase == Halted && r.HaltedFrom == RollingBack {
		return t.From
	}
	return r.To
}
