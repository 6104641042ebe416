package membership

import (
	"sumacloft/internal/mesh/ring"
	"sumacloft/internal/mesh/topic"
)

// place is where a router stands on its ring. It is worked out anew where the ring has changed: that takes a hash of each of
// hundreds of routers.
type place struct {
	peers    []topic.Peer // those it was worked out for
	watched  []string     // names of the routers that this one watches
	watchers []string     // addresses of those that watch it
}

// in is the place of a router among peers.
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

// isOf tells whether the place was worked out for this very list. Lists of peers are made anew when one of them changes.
func (p *place) isOf(peers []topic.Peer) bool {
	return len(peers) > 0 && len(p.peers) == len(peers) && &p.peers[0] == &peers[0]
}
