package status

import (
	"cmp"
	"slices"

	"github.com/tidwall/gjson"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/topic"
)

// Gather fills a report from a router's copy of the replicated map. It skips entries of other releases that it can't
// decode.
func Gather(report *Report, snapshot replica.Snapshot) {
	report.Configuration = configurationOf(snapshot)
	report.Controls = peersOf(snapshot.Prefix(topic.Controls))
	report.Routers = peersOf(snapshot.Prefix(topic.Routers))
	report.Workers = workersOf(snapshot.Prefix(topic.Workers))
}

func configurationOf(snapshot replica.Snapshot) Configuration {
	entry, found := snapshot.Get(topic.Settings)
	if !found {
		return Configuration{}
	}
	configuration := Configuration{Index: entry.Version.Major}
	if document, err := topic.Document(entry); err == nil {
		configuration.Version = gjson.GetBytes(document, "version").Uint()
	}
	return configuration
}

// peersOf lists peers by name, including those that are down.
func peersOf(entries []replica.Entry) []Peer {
	peers := make([]Peer, 0, len(entries))
	for _, entry := range entries {
		peer := Peer{Node: topic.Node(entry.Key), Incarnation: entry.Version.Major, Down: topic.Down(entry)}
		for _, alive := range topic.Peers([]replica.Entry{entry}) {
			peer.Zone, peer.Address, peer.Steering = alive.Zone, alive.Address, alive.Steering
		}
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Node, b.Node) })
	return peers
}

// workersOf counts workers by service and phase.
func workersOf(entries []replica.Entry) []Workers {
	type group struct{ service, phase string }
	counts := map[group]*Workers{}
	for _, entry := range entries {
		worker, err := registry.WorkerOf(entry)
		if err != nil {
			continue
		}
		key := group{service: worker.Service, phase: worker.Phase}
		if counts[key] == nil {
			counts[key] = &Workers{Service: worker.Service, Phase: worker.Phase}
		}
		counts[key].count(worker.State)
	}
	sorted := make([]Workers, 0, len(counts))
	for _, counted := range counts {
		sorted = append(sorted, *counted)
	}
	slices.SortFunc(sorted, func(a, b Workers) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Phase, b.Phase))
	})
	return sorted
}

func (w *Workers) count(state registry.State) {
	switch state {
	case registry.Up:
		w.Up++
	case registry.Leaving:
		w.Leaving++
	case registry.Lapsed:
		w.Lapsed++
	case registry.Gone:
		w.Gone++
	}
}
