// Package node maintains one router's copy of the fleet's replicated map. It merges entries from peers, reports changes so
// that they can be forwarded, and compares digests with peers to repair lost updates.
package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"sumacloft/internal/mesh/message"
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/rpc"
)

const (
	// callTimeout is the timeout of one call to a peer.
	callTimeout = 700 * time.Millisecond
	// syncBytes bounds the size of the entries in one response.
	syncBytes = 256 << 10
)

// Node is one router's copy of the map. Safe for concurrent use.
type Node struct {
	name   string
	client *rpc.Client
	log    zerolog.Logger

	mu            sync.Mutex
	entries       *replica.Map
	changed       chan struct{} // closed at the next change
	onChange      func(changed []replica.Entry, from string, widelyKnown bool)
	onHeartbeat   func(beat message.Beat)
	authority     func() message.Authority
	persist       Persist
	snapshot      replica.Snapshot
	peers         map[string]*peers // by prefix
	firstExchange chan struct{}     // a semaphore of size 1, held by the first exchange of an empty copy
}

// New makes a node. onChange is called with the changed entries, without the node's lock and in the caller's goroutine. Its
// other arguments are the peer that sent them ("" for this router) and whether the other routers are known to have them,
// which holds for a large repair. onHeartbeat is called for each heartbeat. Either may be nil.
func New(name string, client *rpc.Client, log zerolog.Logger, onChange func([]replica.Entry, string, bool), onHeartbeat func(message.Beat)) *Node {
	n := &Node{name: name, client: client, log: log, entries: replica.New(), changed: make(chan struct{}), onChange: onChange, onHeartbeat: onHeartbeat,
		peers: map[string]*peers{}, firstExchange: make(chan struct{}, 1)}
	n.snapshot = n.entries.Snapshot()
	return n
}

// SetAuthority sets the function that provides the authority in heartbeat responses. Call it before Handle.
func (n *Node) SetAuthority(authority func() message.Authority) { n.authority = authority }

// Persist stores entries on disk. It returns once they are there, and fails if the context ends first.
type Persist func(ctx context.Context, entries []replica.Entry) error

// SetPersist sets the function that stores entries for peers that ask for it. Call it before Handle. Without it nothing is
// stored.
func (n *Node) SetPersist(persist Persist) { n.persist = persist }

// Handle serves the node's calls on the mux.
func (n *Node) Handle(mux *http.ServeMux) {
	message.CallBeat.Handle(mux, n.beat)
	message.CallSync.Handle(mux, n.sync)
}

// Put merges this router's own entries.
func (n *Node) Put(entries ...replica.Entry) { n.merge(entries, "", false) }

// Accept merges this router's own entries without reporting them as a change: the caller forwards them.
func (n *Node) Accept(entries ...replica.Entry) { n.accept(entries) }

// Receive merges entries received from a peer.
func (n *Node) Receive(from string, entries ...replica.Entry) { n.merge(entries, from, false) }

// Snapshot returns the current map and a channel that is closed at its next change.
func (n *Node) Snapshot() (replica.Snapshot, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.snapshot, n.changed
}

// Forget drops entries that every router has had time to receive.
func (n *Node) Forget(keys ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entries.Forget(keys...)
	n.snapshot = n.entries.Snapshot()
	for _, held := range n.peers {
		held.known = false
	}
}

// maxForwardedRepair is the largest repair whose entries are forwarded. A copy that lacked more was new or partitioned, so the
// other routers have the entries. Any router that still lacks some receives them in its own repairs.
const maxForwardedRepair = 64

// merge merges entries from a peer or from this router (""). Repaired entries were found by comparing copies.
func (n *Node) merge(entries []replica.Entry, from string, repaired bool) {
	if len(entries) == 0 {
		return
	}
	changed := n.accept(entries)
	if len(changed) > 0 && n.onChange != nil {
		n.onChange(changed, from, repaired && len(changed) > maxForwardedRepair)
	}
}

func (n *Node) accept(entries []replica.Entry) []replica.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := n.entries.Merge(entries)
	if len(changed) > 0 {
		n.snapshot = n.entries.Snapshot()
		n.invalidatePeers(changed)
		close(n.changed)
		n.changed = make(chan struct{})
	}
	return changed
}

func (n *Node) digest() replica.Digest {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entries.Digest()
}

// beat handles a heartbeat.
func (n *Node) beat(_ context.Context, beat *message.Beat) (*message.BeatAnswer, error) {
	if n.onHeartbeat != nil {
		n.onHeartbeat(*beat)
	}
	answer := &message.BeatAnswer{}
	if n.authority != nil {
		answer.Authority = n.authority()
	}
	if digest := n.digest(); !beat.Brief && digest.Sum() != beat.Sum {
		answer.Digest = &digest
	}
	return answer, nil
}

// sync merges the entries that a peer sends and, if the peer sent a digest, returns the entries that it lacks.
func (n *Node) sync(ctx context.Context, sync *message.Sync) (*message.SyncAnswer, error) {
	n.merge(sync.Entries, sync.From, sync.Digest != nil || sync.Repaired)
	if sync.Durable && n.persist != nil {
		err := n.persist(ctx, sync.Entries)
		return &message.SyncAnswer{Durable: err == nil}, err
	}
	if sync.Digest == nil {
		return &message.SyncAnswer{}, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(sync.Held) == 0 {
		return &message.SyncAnswer{Entries: n.entries.Missing(*sync.Digest, syncBytes)}, nil
	}
	entries, wanted := n.entries.Compare(*sync.Digest, sync.Held, syncBytes)
	return &message.SyncAnswer{Entries: entries, Wanted: wanted}, nil
}

// Beat sends a heartbeat to a peer and exchanges entries if the copies differ, so that both become equal. It returns the
// authority of the peer's copy.
func (n *Node) Beat(ctx context.Context, address string, incarnation uint64) (message.Authority, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := n.call(ctx, address, message.Beat{Incarnation: incarnation})
	if err != nil {
		return message.Gossiped, err
	}
	if answer.Digest == nil {
		return answer.Authority, nil
	}
	return answer.Authority, n.exchange(ctx, address, *answer.Digest)
}

// Authority returns the authority of a peer's copy without exchanging entries.
func (n *Node) Authority(ctx context.Context, address string) (message.Authority, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := n.call(ctx, address, message.Beat{Brief: true})
	if err != nil {
		return message.Gossiped, err
	}
	return answer.Authority, nil
}

// call sends a heartbeat.
func (n *Node) call(ctx context.Context, address string, beat message.Beat) (*message.BeatAnswer, error) {
	beat.From, beat.Sum = n.name, n.digest().Sum()
	return message.CallBeat.Call(ctx, n.client, address, &beat)
}

// firstExchangeWait is how long an exchange waits for another one to end while the copy is empty.
const firstExchangeWait = 100 * time.Millisecond

// awaitFirstExchange waits, while the copy is empty, for an exchange in progress, so that the same entries are not transferred
// twice. The caller must call leave when its own exchange ends.
func (n *Node) awaitFirstExchange(ctx context.Context) (leave func()) {
	n.mu.Lock()
	empty := n.entries.Len() == 0
	n.mu.Unlock()
	if !empty {
		return func() {}
	}
	select {
	case n.firstExchange <- struct{}{}:
		return func() { <-n.firstExchange }
	case <-time.After(firstExchangeWait):
	case <-ctx.Done():
	}
	return func() {}
}

// exchange requests the entries that this copy lacks, then sends those that the peer requests in return.
func (n *Node) exchange(ctx context.Context, address string, theirs replica.Digest) error {
	leave := n.awaitFirstExchange(ctx)
	defer leave()
	n.mu.Lock()
	digest, held := n.entries.Digest(), n.entries.DifferingFingerprints(theirs)
	n.mu.Unlock()
	request := &message.Sync{From: n.name, Digest: &digest, Held: held}
	answer, err := message.CallSync.Call(ctx, n.client, address, request)
	if err != nil {
		return err
	}
	n.merge(answer.Entries, address, true)
	if len(answer.Wanted) == 0 {
		return nil
	}
	n.mu.Lock()
	wanted := n.entries.ByFingerprint(answer.Wanted, syncBytes)
	n.mu.Unlock()
	if len(wanted) == 0 {
		return nil // superseded meanwhile
	}
	_, err = message.CallSync.Call(ctx, n.client, address, &message.Sync{From: n.name, Entries: wanted, Repaired: true})
	return err
}

// Push sends entries to a peer.
func (n *Node) Push(ctx context.Context, address string, entries []replica.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := message.CallSync.Call(ctx, n.client, address, &message.Sync{From: n.name, Entries: entries})
	return err
}

// errNotDurable reports a peer that did not store the entries on disk, such as one of an earlier release.
var errNotDurable = errs.New("node: the peer has not stored the entries on disk; it may run an earlier release")

// PushDurably sends entries to a peer and waits until they are on its disk.
func (n *Node) PushDurably(ctx context.Context, address string, entries []replica.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := message.CallSync.Call(ctx, n.client, address, &message.Sync{From: n.name, Entries: entries, Durable: true})
	if err == nil && !answer.Durable {
		return errNotDurable
	}
	return err
}
