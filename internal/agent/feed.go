package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"sumacloft/internal/mesh/message"
	"sumacloft/internal/mesh/node"
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/rpc"
	"sumacloft/internal/mesh/topic"
)

const (
	// watchTimeout is how long a proxy's watch waits for a change.
	watchTimeout = 5 * time.Second
	// coalesceDelay is how long a change waits for related changes, so that the proxy receives them in one answer.
	coalesceDelay = 5 * time.Millisecond
	// minAnswerInterval is the shortest time between two answers. intervalPerWorker is added for each worker in the
	// previous answer: a proxy's work on an answer grows with its workers and must not saturate the machine during
	// frequent changes.
	minAnswerInterval = 20 * time.Millisecond
	intervalPerWorker = 50 * time.Microsecond
)

// feed answers the proxy's watches for the state of the fleet.
type feed struct {
	node        *node.Node
	zone        string          // of this machine
	incarnation uint64          // distinguishes this agent's revisions from those of an earlier run
	released    <-chan struct{} // closed once the configuration is released
	link        func() message.Link

	decompressing sync.Mutex // held while a configuration is decompressed
	documentBytes int        // size of the latest one; decompressing guards it

	mu           sync.Mutex
	openWatches  int
	lastWatchAt  time.Time        // last start or end of a watch
	nextAnswerAt time.Time        // earliest time of the next answer
	lastSnapshot replica.Snapshot // of the latest answer
}

func newFeed(source *node.Node, zone string, released <-chan struct{}, link func() message.Link) *feed {
	snapshot, _ := source.Snapshot()
	return &feed{node: source, zone: zone, incarnation: rand.Uint64() | 1, released: released,
		link: link, lastWatchAt: time.Now(), lastSnapshot: snapshot}
}

// watch answers once the state differs from what the proxy knows, or after watchTimeout.
func (f *feed) watch(ctx context.Context, request *message.Watch) (*message.Snapshot, error) {
	f.countWatch(1)
	defer f.countWatch(-1)
	limit := time.NewTimer(watchTimeout)
	defer limit.Stop()
	for {
		snapshot, changed := f.node.Snapshot()
		settings, releasing := f.releasedSettings(snapshot)
		differs := request.Revision != snapshot.Revision() || request.Settings != settings.Version.Major
		if request.AgentRun != f.incarnation || differs && f.untilNextAnswer() <= 0 {
			answer, err := f.answer(ctx, snapshot, request)
			if err == nil {
				f.scheduleNextAnswer(len(answer.Workers))
			}
			return answer, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-limit.C:
			return &message.Snapshot{Unchanged: true, Link: f.link()}, nil
		case <-changed:
			time.Sleep(max(coalesceDelay, f.untilNextAnswer()))
		case <-releasing:
		case <-f.nextAnswerTimer(differs):
		}
	}
}

// releasedSettings returns the configuration's entry. Before the release it returns an empty entry and a channel that
// is closed at the release.
func (f *feed) releasedSettings(snapshot replica.Snapshot) (entry replica.Entry, releasing <-chan struct{}) {
	select {
	case <-f.released:
		entry, _ = snapshot.Get(topic.Settings)
		return entry, nil
	default:
		return replica.Entry{}, f.released
	}
}

// nextAnswerTimer fires when the next answer is allowed. It returns nil if no answer is due.
func (f *feed) nextAnswerTimer(due bool) <-chan time.Time {
	if !due {
		return nil
	}
	return time.After(f.untilNextAnswer())
}

// untilNextAnswer returns how long the next answer has to wait.
func (f *feed) untilNextAnswer() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.nextAnswerAt)
}

// scheduleNextAnswer sets the earliest time of the next answer after one with the given number of workers.
func (f *feed) scheduleNextAnswer(workers int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextAnswerAt = time.Now().Add(minAnswerInterval + time.Duration(workers)*intervalPerWorker)
}

// answer builds the proxy's view of the state.
func (f *feed) answer(ctx context.Context, snapshot replica.Snapshot, request *message.Watch) (*message.Snapshot, error) {
	answer := &message.Snapshot{
		Revision: snapshot.Revision(),
		AgentRun: f.incarnation,
		Orders:   snapshot.Prefix(topic.Orders),
		Link:     f.link(),
	}
	f.fillPeers(answer, snapshot, request)
	entry, _ := f.releasedSettings(snapshot)
	answer.Settings = entry.Version.Major
	if len(entry.Value) == 0 {
		return answer, nil
	}
	if request.AgentRun == f.incarnation && request.Settings == answer.Settings {
		return answer, nil
	}
	document, err := f.decompress(ctx, entry)
	if err != nil {
		return nil, err
	}
	answer.Document = document
	return answer, nil
}

// decompress returns the text of a configuration for a call. It works on one at a time, as that takes several times the
// text's size, and on none for which there is no room.
func (f *feed) decompress(ctx context.Context, entry replica.Entry) ([]byte, error) {
	f.decompressing.Lock()
	defer f.decompressing.Unlock()
	if err := rpc.Charge(ctx, f.documentBytes); err != nil {
		return nil, err
	}
	document, err := topic.Document(entry)
	f.documentBytes = len(document)
	return document, err
}

// fillPeers adds workers and routers: only the changes since the previous answer if the proxy has that answer,
// otherwise all.
func (f *feed) fillPeers(answer *message.Snapshot, snapshot replica.Snapshot, request *message.Watch) {
	f.mu.Lock()
	previous := f.lastSnapshot
	f.lastSnapshot = snapshot
	f.mu.Unlock()
	answer.Delta = request.AgentRun == f.incarnation && request.Revision == previous.Revision()
	if answer.Delta {
		answer.Workers, answer.Removed = snapshot.Changes(previous, topic.Workers)
		changed, gone := snapshot.Changes(previous, topic.Routers)
		answer.RoutersUnchanged = len(changed)+len(gone) == 0
	} else {
		answer.Workers = snapshot.Prefix(topic.Workers)
	}
	if answer.RoutersUnchanged {
		return
	}
	peers := topic.Peers(snapshot.Prefix(topic.Routers))
	answer.Routers = hosts(peers)
	answer.SameZone = hosts(slices.DeleteFunc(peers, func(peer topic.Peer) bool { return peer.Zone != f.zone }))
}

// hosts returns the IP addresses of peers.
func hosts(peers []topic.Peer) []string {
	addresses := make([]string, 0, len(peers))
	for _, peer := range peers {
		if host, _, err := net.SplitHostPort(peer.Address); err == nil {
			addresses = append(addresses, host)
		}
	}
	return addresses
}

func (f *feed) countWatch(delta int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openWatches += delta
	f.lastWatchAt = time.Now()
}

func (f *feed) idle(timeout time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openWatches == 0 && time.Since(f.lastWatchAt) > timeout
}
