package outage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report is what one router has to say: what it sees of each server, and what it counted for the release that runs.
type Report struct {
	Router   string                 `json:"router"`
	Boot     string                 `json:"boot"`
	StateSeq int64                  `json:"seen"` // Seq of the state that it follows
	Observed map[string]Observation `json:"sees"` // by server
	// DrainedPermit is the permit for which this router itself has ended what it had, as a target.
	DrainedPermit int64 `json:"empty,omitempty"`
	// Applied is the revision of the store that its own member has, 0 where it hosts none.
	Applied     int64 `json:"applied,omitempty"`
	StoreMember bool  `json:"hosts,omitempty"`
	// Release is the run of a release that Counts is about.
	Release string `json:"release,omitempty"`
	Counts  Counts `json:"counts,omitzero"`
	// Copies says that this router takes part in copies of openings.
	Copies  bool `json:"copies,omitempty"`
	Stopped bool `json:"stopped,omitempty"` // it was halted since the last report: its silences are its own
	// Open is how many requests this router has, also those that wait for a server, where the budget follows room.
	Open int   `json:"open,omitempty"`
	Rev  int64 `json:"-"`
	// AgeMs is how much older it is than its revision, where it was gathered with others before it was written. Table has what it
	// sees besides Sees, shared with the reports that it was gathered with; Lacks are servers of it that it does not have.
	AgeMs  float64                `json:"-"`
	Table  map[string]Observation `json:"-"`
	Absent []string               `json:"-"`
}

// Observation gives what a router sees of a server.
func (r Report) Observation(id string) (Observation, bool) {
	s, ok := r.Observed[id]
	if !ok && len(r.Table) > 0 && !slices.Contains(r.Absent, id) {
		s, ok = r.Table[id]
	}
	return s, ok
}

// All gives all servers that a router sees.
func (r Report) All(yield func(string, Observation) bool) {
	for id, o := range r.Observed {
		if !yield(id, o) {
			return
		}
	}
	for id, o := range r.Table {
		if _, own := r.Observed[id]; !own && !slices.Contains(r.Absent, id) && !yield(id, o) {
			return
		}
	}
}

// Observation is what a router sees of a server.
type Observation struct {
	Site     string  `json:"site,omitempty"`
	Role     string  `json:"role,omitempty"`
	Weight   float64 `json:"weight,omitempty"`
	Draining bool    `json:"drains,omitempty"` // the list says so, by somebody's hand
	Boot     string  `json:"boot,omitempty"`   // its last start, as the list has it
	Label    string  `json:"label,omitempty"`
	// SilentMs is since when it has not answered, 0 while it does; Asked tells whether it was ever asked.
	SilentMs float64 `json:"silent_ms,omitempty"`
	Probed   bool    `json:"asked,omitempty"`
	Busy     int     `json:"busy,omitempty"` // requests that this router has there, where the budget follows room
}

// Registration is a router's registration in the fleet's policy.
type Registration struct {
	Boot, Label        string
	Live               bool // its lease stands
	ServesWithoutLease bool // it goes on serving without its lease, so it must be heard before anything is clear
}

// View is what is known at one revision of the store.
type View struct {
	Model   Model
	Version int64
	// VersionRev is the store's revision of that version: a decision is written only while it is the current one.
	VersionRev int64
	Last       *State
	Reports    []Report
	Routers    map[string]Registration
	// Sites are those that the plan of sites says are lost.
	LostSites map[string]bool
	// CachedTokens is what servers hold for their regions besides, in prompt tokens; those that are not named hold nothing.
	CachedTokens map[string]float64
	// CopiesDone is the last turn of a server for which nothing that pays is to be copied from it any more, by server.
	CopiesDone map[string]int64
}

// serverStatus is what most routers see of a server.
type serverStatus struct {
	Observation
	answering bool // to most routers that asked
	silent    bool // to most, for as long as the model says
	draining  bool
	agreed    bool // most that know it say the same start and label
}

// fleetStatus are what is agreed on at one look.
type fleetStatus struct {
	servers  map[string]serverStatus
	fresh    []Report // believed now, of routers whose registration stands
	routers  []string // of their routers
	storeLag string   // why a router that hosts a member of the store may not be let out, if one may not
	reported map[string]Report
	copies   bool // some router takes part in copies
}

// freshPeriods is for how many periods a report is believed.
const freshPeriods = 4

// aggregate puts together what the routers see: of each thing what most of those say that are alive and report.
func aggregate(v View, m Model, age func(router string, rev int64) time.Duration) fleetStatus {
	f := fleetStatus{reported: make(map[string]Report, len(v.Reports))}
	for _, r := range v.Reports {
		f.reported[r.Router] = r
		reg := v.Routers[r.Router]
		if !reg.Live || reg.Boot != r.Boot || milliseconds(age(r.Router, r.Rev))+r.AgeMs > freshPeriods*m.ReportMs {
			continue
		}
		f.fresh = append(f.fresh, r)
		f.routers = append(f.routers, r.Router)
		f.copies = f.copies || r.Copies
	}
	n, tallies := countVotes(f.fresh, m)
	f.servers = make(map[string]serverStatus, n)
	for id, t := range tallies {
		if 2*t.listed <= len(f.fresh) && len(f.fresh) > 1 { // most do not have it in their lists: it was taken off
			continue
		}
		process := t.majority()
		o, _ := f.fresh[process.last].Observation(id)
		status := serverStatus{Observation: o, agreed: 2*process.reports > t.listed, draining: 2*t.draining > t.listed, answering: t.probed > 0 && 2*t.answering > t.probed, silent: t.probed > 0 && 2*t.silent > t.probed}
		status.Weight = cmp.Or(status.Weight, 1)
		f.servers[id] = status
	}
	f.storeLag = v.storeLag(m, f)
	return f
}

// storeLag tells why no router that hosts a member of the store may be let out; "": one may.
func (v View) storeLag(m Model, f fleetStatus) string {
	newest := int64(0)
	for _, r := range f.fresh {
		newest = max(newest, r.Applied)
	}
	var known map[string]KnownRouter
	if v.Last != nil {
		known = v.Last.Known
	}
	for _, name := range slices.Sorted(maps.Keys(known)) {
		if !known[name].StoreMember {
			continue
		}
		i := slices.IndexFunc(f.fresh, func(r Report) bool { return r.Router == name })
		switch {
		case i < 0:
			return "the store's member at " + name + " is not up"
		case f.fresh[i].Applied < newest-m.Lag:
			return "the store's member at " + name + " is behind"
		}
	}
	return ""
}
