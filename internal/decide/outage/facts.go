package outage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report is one router's report: what it observes of each server, and what it counted for the current release.
type Report struct {
	Router   string                 `json:"router"`
	Boot     string                 `json:"boot"`
	StateSeq int64                  `json:"seen"` // Seq of the state that the router follows
	Observed map[string]Observation `json:"sees"` // by server
	// DrainedPermit is the permit under which this router, as the member to go out, has finished its requests.
	DrainedPermit int64 `json:"empty,omitempty"`
	// Applied is the revision that the router's own store member has applied; 0 if it hosts none.
	Applied     int64 `json:"applied,omitempty"`
	StoreMember bool  `json:"hosts,omitempty"`
	// Release is the run of the release that Counts belongs to.
	Release string `json:"release,omitempty"`
	Counts  Counts `json:"counts,omitzero"`
	// Copies is set if this router takes part in copying KV cache prefixes.
	Copies  bool `json:"copies,omitempty"`
	Stopped bool `json:"stopped,omitempty"` // suspended since the last report: what it measured as silence may be its own
	// Open is the number of requests this router holds, including those waiting for a server. It is set where the limit
	// follows headroom.
	Open int   `json:"open,omitempty"`
	Rev  int64 `json:"-"`
	// AgeMs is added to the age of the report's revision if the report was gathered with others before it was written.
	// Table holds observations besides Observed, shared with the reports it was gathered with. Absent lists servers of
	// Table that the router does not have.
	AgeMs  float64                `json:"-"`
	Table  map[string]Observation `json:"-"`
	Absent []string               `json:"-"`
}

// Observation returns what the router observes of a server.
func (r Report) Observation(id string) (Observation, bool) {
	s, ok := r.Observed[id]
	if !ok && len(r.Table) > 0 && !slices.Contains(r.Absent, id) {
		s, ok = r.Table[id]
	}
	return s, ok
}

// All iterates over the servers that the router observes.
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

// Observation is what a router observes of a server.
type Observation struct {
	Site     string  `json:"site,omitempty"`
	Role     string  `json:"role,omitempty"`
	Weight   float64 `json:"weight,omitempty"`
	Draining bool    `json:"drains,omitempty"` // marked as draining in the member list
	Boot     string  `json:"boot,omitempty"`   // its last start, according to the member list
	Label    string  `json:"label,omitempty"`
	// SilentMs is how long the server has not answered, 0 while it does. Probed reports whether it was ever contacted.
	SilentMs float64 `json:"silent_ms,omitempty"`
	Probed   bool    `json:"asked,omitempty"`
	Busy     int     `json:"busy,omitempty"` // requests this router has there, where the limit follows headroom
}

// Registration is a router's registration in the fleet's policy.
type Registration struct {
	Boot, Label        string
	Live               bool // its lease is valid
	ServesWithoutLease bool // it keeps serving without its lease, so its acknowledgement is still required
}

// View is the input of a decision: what is known at one revision of the store.
type View struct {
	Model   Model
	Version int64
	// VersionRev is the store revision of that version. A decision is written only while the version is current.
	VersionRev int64
	Last       *State
	Reports    []Report
	Routers    map[string]Registration
	// LostSites are the sites that the site plan declares lost.
	LostSites map[string]bool
	// CachedTokens is the prompt tokens that servers hold in cache for their regions; a missing server holds none.
	CachedTokens map[string]float64
	// CopiesDone is, by server, the latest turn for which no copy worth making remains.
	CopiesDone map[string]int64
}

// serverStatus is what most routers agree on about a server.
type serverStatus struct {
	Observation
	answering bool // to most routers that contacted it
	silent    bool // to most of those, for at least lost_ms
	draining  bool
	agreed    bool // most routers that list it report the same boot and label
}

// fleetStatus is the aggregate of all reports at one revision.
type fleetStatus struct {
	servers     map[string]serverStatus
	fresh       []Report // recent enough, from routers with a live registration
	routers     []string // names of the fresh reports' routers
	storeLag    string   // why no router that hosts a store member may be out; "" if one may
	lastReports map[string]Report
	copies      bool // some router takes part in copies
}

// freshPeriods is the number of report periods for which a report is used.
const freshPeriods = 4

// aggregate takes, for each server, the majority of the fresh reports from live routers.
func aggregate(v View, m Model, age func(router string, rev int64) time.Duration) fleetStatus {
	f := fleetStatus{lastReports: make(map[string]Report, len(v.Reports))}
	for _, r := range v.Reports {
		f.lastReports[r.Router] = r
		reg := v.Routers[r.Router]
		if !reg.Live || reg.Boot != r.Boot || milliseconds(age(r.Router, r.Rev))+r.AgeMs > freshPeriods*m.ReportMs {
			continue
		}
		f.fresh = append(f.fresh, r)
		f.routers = append(f.routers, r.Router)
		f.copies = f.copies || r.Copies
	}
	n, byServer := countVotes(f.fresh, m)
	f.servers = make(map[string]serverStatus, n)
	for id, t := range byServer {
		if 2*t.listed <= len(f.fresh) && len(f.fresh) > 1 { // most routers do not list it: it was removed
			continue
		}
		process := t.majority()
		o, _ := f.fresh[process.last].Observation(id)
		status := serverStatus{Observation: o, agreed: 2*process.reports > t.listed, draining: 2*t.draining > t.listed,
			answering: t.probed > 0 && 2*t.answering > t.probed, silent: t.probed > 0 && 2*t.silent > t.probed}
		status.Weight = cmp.Or(status.Weight, 1)
		f.servers[id] = status
	}
	f.storeLag = v.storeLag(m, f)
	return f
}

// storeLag returns why no router that hosts a store member may be taken out; "" if one may.
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
