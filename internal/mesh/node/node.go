// Package node runs one router's copy of the fleet's replicated map: it merges what comes, passes news on to a few
// others at once, and compares digests with others now and then, which repairs what was lost.
package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sumacloft/internal/mesh/message"
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/rpc"
)

const (
	// callLimit bounds one call to a peer.
	callLimit = 700 * time.Millisecond
	// syncBytes bounds the entries of one answer.
	syncBytes = 256 << 10
)

// Node is one router's copy of the map. Safe for concurrent use.
type Node struct {
	name   string
	client *rpc.Client
	log    zerolog.Logger

	mu       sync.Mutex
	entries  *replica.Map
	changed  chan struct{} // closed at the next change
	onNews   func(news []replica.Entry, from string, known bool)
	onBeat   func(beat message.Beat)
	standing func() message.Standing
	snapshot replica.Snapshot
	peers    map[string]*peers // by prefix
	first    chan struct{}     // holds the comparison that an empty copy begins with
}

// New makes a node. onNews is told what has changed, outside of the node's lock and in the caller's goroutine, with the
// peer that it came from ("" for this router), and whether the others are known to have it: what a large repair brought.
// onBeat is told of each heartbeat. Either may be nil.
func New(name string, client *rpc.Client, log zerolog.Logger, onNews func([]replica.Entry, string, bool), onBeat func(message.Beat)) *Node {
	n := &Node{name: name, client: client, log: log, entries: replica.New(), changed: make(chan struct{}), onNews: onNews, onBeat: onBeat,
		peers: map[string]*peers{}, first: make(chan struct{}, 1)}
	n.snapshot = n.entries.Snapshot()
	return n
}

// TellStanding has the answers to heartbeats tell what stands behind this copy; call it before Handle.
func (n *Node) TellStanding(standing func() message.Standing) { n.standing = standing }

// Handle serves the node's calls on the mux.
func (n *Node) Handle(mux *http.ServeMux) {
	message.CallBeat.Handle(mux, n.beat)
	message.CallSync.Handle(mux, n.sync)
}

// Put merges this router's own entries.
func (n *Node) Put(entries ...replica.Entry) { n.merge(entries, "", false) }

// Take merges entries that a peer gave.
func (n *Node) Take(from string, entries ...replica.Entry) { n.merge(entries, from, false) }

// Snapshot is the map as it is, with a channel that is closed at its next change.
func (n *Node) Snapshot() (replica.Snapshot, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.snapshot, n.changed
}

// Forget drops entries that every router has had time to hear of.
func (n *Node) Forget(keys ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entries.Forget(keys...)
	n.snapshot = n.entries.Snapshot()
	for _, held := range n.peers {
		held.known = false
	}
}

// mostRepaired is how many entries of one repair are passed on: a copy that lacked more was new or cut off, and the others
// have them. What they lack all the same, their own repairs bring.
const mostRepaired = 64

// merge takes entries of a peer, or of this router (""). Repaired ones were found by comparing copies.
func (n *Node) merge(entries []replica.Entry, from string, repaired bool) {
	if len(entries) == 0 {
		return
	}
	news := n.accept(entries)
	if len(news) > 0 && n.onNews != nil {
		n.onNews(news, from, repaired && len(news) > mostRepaired)
	}
}

func (n *Node) accept(entries []replica.Entry) []replica.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	news := n.entries.Merge(entries)
	if len(news) > 0 {
		n.snapshot = n.entries.Snapshot()
		n.notePeers(news)
		close(n.changed)
		n.changed = make(chan struct{})
	}
	return news
}

func (n *Node) digest() replica.Digest {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entries.Digest()
}

// beat serves a heartbeat.
func (n *Node) beat(_ context.Context, beat *message.Beat) (*message.BeatAnswer, error) {
	if n.onBeat != nil {
		n.onBeat(*beat)
	}
	answer := &message.BeatAnswer{}
	if n.standing != nil {
		answer.Standing = n.standing()
	}
	if digest := n.digest(); !beat.Brief && digest.Sum() != beat.Sum {
		answer.Digest = &digest
	}
	return answer, nil
}

// sync serves entries that a peer brings, and tells what it lacks where it says what it holds.
func (n *Node) sync(_ context.Context, sync *message.Sync) (*message.SyncAnswer, error) {
	n.merge(sync.Entries, sync.From, sync.Digest != nil || sync.Repaired)
	if sync.Digest == nil {
		return &message.SyncAnswer{}, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(sync.Held) == 0 {
		return &message.SyncAnswer{Entries: n.entries.Missing(*sync.Digest, syncBytes)}, nil
	}
	entries, wanted := n.entries.Lacking(*sync.Digest, sync.Held, syncBytes)
	return &message.SyncAnswer{Entries: entries, Wanted: wanted}, nil
}

// Beat sends a heartbeat to a peer, and where the copies differ brings both to one state. It gives what stands behind the
// peer's copy.
func (n *Node) Beat(ctx context.Context, address string, incarnation uint64) (message.Standing, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	answer, err := n.call(ctx, address, message.Beat{Incarnation: incarnation})
	if err != nil {
		return message.Hearsay, err
	}
	if answer.Digest == nil {
		return answer.Standing, nil
	}
	return answer.Standing, n.exchange(ctx, address, *answer.Digest)
}

// Standing asks a peer what stands behind its copy, and leaves both copies as they are.
func (n *Node) Standing(ctx context.Context, address string) (message.Standing, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	answer, err := n.call(ctx, address, message.Beat{Brief: true})
	if err != nil {
		return message.Hearsay, err
	}
	return answer.Standing, nil
}

// call makes the call of a heartbeat.
func (n *Node) call(ctx context.Context, address string, beat message.Beat) (*message.BeatAnswer, error) {
	beat.From, beat.Sum = n.name, n.digest().Sum()
	return message.CallBeat.Call(ctx, n.client, address, &beat)
}

// firstWait is how long a comparison waits for another one while the copy is empty.
const firstWait = 100 * time.Millisecond

// enter waits, while the copy is empty, for a comparison that is under way: what it brings need not be sent twice. It gives
// what is to be called at the end.
func (n *Node) enter(ctx context.Context) (leave func()) {
	n.mu.Lock()
	empty := n.entries.Len() == 0
	n.mu.Unlock()
	if !empty {
		return func() {}
	}
	select {
	case n.first <- struct{}{}:
		return func() { <-n.first }
	case <-time.After(firstWait):
	case <-ctx.Done():
	}
	return func() {}
}

// exchange takes what the peer has and this copy lacks, and sends what the peer then asks for.
func (n *Node) exchange(ctx context.Context, address string, theirs replica.Digest) error {
	leave := n.enter(ctx)
	defer leave()
	n.mu.Lock()
	digest, held := n.entries.Digest(), n.entries.Held(theirs)
	n.mu.Unlock()
	question := &message.Sync{From: n.name, Digest: &digest, Held: held}
	answer, err := message.CallSync.Call(ctx, n.client, address, question)
	if err != nil {
		return err
	}
	n.merge(answer.Entries, address, true)
	if len(answer.Wanted) == 0 {
		return nil
	}
	n.mu.Lock()
	wanted := n.entries.Named(answer.Wanted, syncBytes)
	n.mu.Unlock()
	if len(wanted) == 0 {
		return nil // superseded meanwhile
	}
	_, err = message.CallSync.Call(ctx, n.client, address, &message.Sync{From: n.name, Entries: wanted, Repaired: true})
	return err
}

// Push brings entries to a peer.
func (n *Node) Push(ctx context.Context, address string, entries []replica.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	_, err := message.CallSync.Call(ctx, n.client, address, &message.Sync{From: n.name, Entries: entries})
	return err
}
