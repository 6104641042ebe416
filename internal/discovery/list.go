// Package discovery keeps the list of workers: the form in which it comes, the first fetch and the watch.
package discovery

import (
	"hash/fnv"
	"slices"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/core"
)

// List is a list of workers, or the changes to one, as discovery words it.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is one worker of a List.
type Member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMs float64 `json:"up_since_ms"`
	Label     string  `json:"label,omitempty"` // of the program's version that it runs
}

// Names has the zones and kinds of the settings; the module knows them by their indices only.
type Names struct{ Zones, Kinds []string }

// phases of members. A word that is not known keeps new work away without declaring the worker gone.
var phases = map[string]brain.Availability{
	"SERVING": brain.Ready, "DRAINING": brain.Draining, "DELETED": brain.Removed,
}

// Workers translates the members. A zone or kind that the settings do not name gets an index past their end:
// the module then keeps clear of the kind, and sees the zone as far away.
func (n Names) Workers(members []Member) []core.Worker {
	out := make([]core.Worker, 0, len(members))
	for _, m := range members {
		phase, known := phases[m.Phase]
		if !known {
			phase = brain.Draining
		}
		out = append(out, core.Worker{Name: m.ID, Addr: m.HostPort, Role: m.Flavor, Label: m.Label, Engine: brain.Engine{
			ID: EngineID(m.ID), Zone: indexOf(n.Zones, m.Locality), Cell: m.Cell, Kind: indexOf(n.Kinds, m.Flavor),
			Availability: phase, Weight: m.Size,
			StartedAt: time.Duration(m.UpSinceMs * float64(time.Millisecond))}})
	}
	return out
}

// Zone is the index of a zone; past the end for one that the settings do not name.
func (n Names) Zone(name string) int { return indexOf(n.Zones, name) }

func indexOf(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

// EngineID is the module's number for a worker: the same at every router, since the hash that places prompts
// is taken over it.
func EngineID(id string) brain.EngineID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return brain.EngineID(h.Sum64())
}
