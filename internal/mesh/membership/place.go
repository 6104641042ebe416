package membership

import (
	"sumacloft/internal/mesh/ring"
	"sumacloft/internal/mesh/topic"
)

// ringPosition caches a router's neighbours on its ring. It is recomputed only when the ring has changed, because that hashes the
// names of hundreds of routers.
type ringPosition struct {
	peers    []topic.Peer // the routers for which it was computed
	watched  []string     // names of the routers that this one watches
	watchers []string     // addresses of the routers that watch this one
}

// update recomputes the position of a router among peers if they have changed, and returns it.
func (p *ringPosition) update(self string, peers []topic.Peer) ringPosition {
	if p.isFor(peers) {
		return *p
	}
	names := make([]string, 0, len(peers))
	addresses := make(map[string]string, len(peers))
	for _, peer := range peers {
		names = append(names, peer.Node)
		addresses[peer.Node] = peer.Address
	}
	*p = ringPosition{peers: peers, watched: ring.Watched(self, names, watcherCount)}
	for _, watcher := range ring.Watchers(self, names, watcherCount) {
		p.watchers = append(p.watchers, addresses[watcher])
	}
	return *p
}

// isFor reports whether the position was computed for this very slice. Lists of peers are rebuilt when one of them changes.
func (p *ringPosition) isFor(peers []topic.Peer) bool {
	return len(peers) > 0 && len(p.peers) == len(peers) && &p.peers[0] == &peers[0]
}
