package membership

import (
	"sumacloft/internal/mesh/ring"
	"sumacloft/internal/mesh/topic"
)

// place caches a router's position on its ring. It is recomputed only when the ring has changed, because that takes a hash of
// each of hundreds of routers.
type place struct {
	peers    []topic.Peer // the routers for which it was computed
	watched  []string     // names of the routers that this one watches
	watchers []string     // addresses of the routers that watch this one
}

// in returns the place of a router among peers.
func (p *place) in(self string, peers []topic.Peer) place {
	if p.isOf(peers) {
		return *p
	}
	names := make([]string, 0, len(peers))
	addresses := make(map[string]string, len(peers))
	for _, peer := range peers {
		names = append(names, peer.Node)
		addresses[peer.Node] = peer.Address
	}
	*p = place{peers: peers, watched: ring.Watched(self, names, watcherCount)}
	for _, watcher := range ring.Watchers(self, names, watcherCount) {
		p.watchers = append(p.watchers, addresses[watcher])
	}
	return *p
}

// isOf reports whether the place was computed for this very slice. Lists of peers are rebuilt when one of them changes.
func (p *place) isOf(peers []topic.Peer) bool {
	return len(peers) > 0 && len(p.peers) == len(peers) && &p.peers[0] == &peers[0]
}
