package node

import (
	"strings"

	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/topic"
)

// peers are the routers under a prefix, decoded. In a large fleet there are hundreds, asked for with each news and each
// round, and they seldom change. The lock of Node guards it.
type peers struct {
	known bool
	alive []topic.Peer
}

// Peers lists the routers under a prefix (topic.Routers or topic.Controls) that live. Callers must not change the list.
func (n *Node) Peers(prefix string) []topic.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	held := n.peers[prefix]
	if held == nil {
		held = &peers{}
		n.peers[prefix] = held
	}
	if !held.known {
		held.alive = topic.Peers(n.snapshot.Prefix(prefix))
		held.known = true
	}
	return held.alive
}

// notePeers has the routers under a prefix decoded anew where one of them has changed. The lock is held.
func (n *Node) notePeers(changed []replica.Entry) {
	for prefix, held := range n.peers {
		for i := range changed {
			if strings.HasPrefix(changed[i].Key, prefix) {
				held.known = false
			}
		}
	}
}
