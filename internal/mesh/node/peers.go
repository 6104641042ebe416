package node

import (
	"strings"

	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/topic"
)

// peers caches the decoded routers under a prefix. A large fleet has hundreds of them; the list is read at each change and
// each heartbeat round and seldom changes. It is guarded by the lock of Node.
type peers struct {
	known bool
	alive []topic.Peer
}

// Peers lists the live routers under a prefix (topic.Routers or topic.Controls). Callers must not change the list.
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

// invalidatePeers invalidates the cached peers under a prefix if an entry below it has changed. The caller holds the lock.
func (n *Node) invalidatePeers(changed []replica.Entry) {
	for prefix, held := range n.peers {
		for i := range changed {
			if strings.HasPrefix(changed[i].Key, prefix) {
				held.known = false
			}
		}
	}
}
