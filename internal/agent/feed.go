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
	"sumacloft/internal/mesh/topic"
)

const (
	// watchLimit is how long a question of the proxy waits for a change.
	watchLimit = 5 * time.Second
	// gatherTime is how long a change waits for others that come with it, so that they reach the proxy as one.
	gatherTime = 5 * time.Millisecond
	// answerRest is the shortest time between two answers, and timeByWorker what is added to it for each worker that the one
	// before told of: a proxy's work for one grows with them, and while much changes it must not take the machine.
	answerRest   = 20 * time.Millisecond
	timeByWorker = 50 * time.Microsecond
)

// feed answers the proxy's questions for the state of the fleet.
type feed struct {
	node *node.Node
	zone string          // of this machine
	life uint64          // tells this agent's revisions from those of an earlier life
	open <-chan struct{} // closed once the configuration is told
	link func() message.Link

	mu      sync.Mutex
	waiting int
	last    time.Time        // a question was last open
	next    time.Time        // the next answer is given then at the earliest
	given   replica.Snapshot // of the newest answer
}

func newFeed(of *node.Node, zone string, open <-chan struct{}, link func() message.Link) *feed {
	given, _ := of.Snapshot()
	return &feed{node: of, zone: zone, life: rand.Uint64() | 1, open: open, link: link, last: time.Now(), given: given}
}

// watch answers once the state differs from what the proxy knows, or after watchLimit.
func (f *feed) watch(ctx context.Context, question *message.Watch) (*message.Snapshot, error) {
	f.asked(1)
	defer f.asked(-1)
	limit := time.NewTimer(watchLimit)
	defer limit.Stop()
	for {
		snapshot, changed := f.node.Snapshot()
		settings, opening := f.settings(snapshot)
		differs := question.Revision != snapshot.Revision() || question.Settings != settings.Version.Major
		if question.AgentRun != f.life || differs && f.untilNext() <= 0 {
			answer, err := f.answer(snapshot, question)
			if err == nil {
				f.answered(len(answer.Workers))
			}
			return answer, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-limit.C:
			return &message.Snapshot{Unchanged: true, Link: f.link()}, nil
		case <-changed:
			time.Sleep(max(gatherTime, f.untilNext()))
		case <-opening:
		case <-f.later(differs):
		}
	}
}

// settings is the configuration's entry; a zero one while it is not told, with a channel that is closed once it is.
func (f *feed) settings(snapshot replica.Snapshot) (entry replica.Entry, opening <-chan struct{}) {
	select {
	case <-f.open:
		entry, _ = snapshot.Get(topic.Settings)
		return entry, nil
	default:
		return replica.Entry{}, f.open
	}
}

// later fires when the next answer may be given, if one is due.
func (f *feed) later(due bool) <-chan time.Time {
	if !due {
		return nil
	}
	return time.After(f.untilNext())
}

// untilNext is how long the next answer has to wait.
func (f *feed) untilNext() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.next)
}

// answered notes that an answer told of so many workers.
func (f *feed) answered(workers int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = time.Now().Add(answerRest + time.Duration(workers)*timeByWorker)
}

// answer is the state as the proxy needs it.
func (f *feed) answer(snapshot replica.Snapshot, question *message.Watch) (*message.Snapshot, error) {
	answer := &message.Snapshot{
		Revision: snapshot.Revision(),
		AgentRun: f.life,
		Orders:   snapshot.Prefix(topic.Orders),
		Link:     f.link(),
	}
	f.fill(answer, snapshot, question)
	entry, _ := f.settings(snapshot)
	answer.Settings = entry.Version.Major
	if len(entry.Value) == 0 {
		return answer, nil
	}
	if question.AgentRun == f.life && question.Settings == answer.Settings {
		return answer, nil
	}
	document, err := topic.Document(entry)
	if err != nil {
		return nil, err
	}
	answer.Document = document
	return answer, nil
}

// fill tells of workers and routers: all of them, or what has changed since the answer before if that is what the proxy
// knows.
func (f *feed) fill(answer *message.Snapshot, snapshot replica.Snapshot, question *message.Watch) {
	f.mu.Lock()
	given := f.given
	f.given = snapshot
	f.mu.Unlock()
	answer.Delta = question.AgentRun == f.life && question.Revision == given.Revision()
	if answer.Delta {
		answer.Workers, answer.Removed = snapshot.Changes(given, topic.Workers)
		changed, gone := snapshot.Changes(given, topic.Routers)
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

// hosts are the IP addresses of peers.
func hosts(peers []topic.Peer) []string {
	addresses := make([]string, 0, len(peers))
	for _, peer := range peers {
		if host, _, err := net.SplitHostPort(peer.Address); err == nil {
			addresses = append(addresses, host)
		}
	}
	return addresses
}

func (f *feed) asked(change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting += change
	f.last = time.Now()
}

func (f *feed) idle(limit time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting == 0 && time.Since(f.last) > limit
}
