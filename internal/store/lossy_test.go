package store

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

var errLostAnswer = errors.New("the answer was lost")

// lossyTransport loses some answers to appends and snapshots after they took effect.
type lossyTransport struct {
	*raft.InmemTransport
	mu     sync.Mutex
	random *rand.Rand
}

// lose tells for one answer of five that it is lost.
func (l *lossyTransport) lose(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && l.random.IntN(5) == 0 {
		return errLostAnswer
	}
	return err
}

// AppendEntries serves raft.Transport.
func (l *lossyTransport) AppendEntries(id raft.ServerID, to raft.ServerAddress, request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse) error {
	return l.lose(l.InmemTransport.AppendEntries(id, to, request, response))
}

// InstallSnapshot serves raft.Transport.
func (l *lossyTransport) InstallSnapshot(id raft.ServerID, to raft.ServerAddress, request *raft.InstallSnapshotRequest, response *raft.InstallSnapshotResponse, data io.Reader) error {
	return l.lose(l.InmemTransport.InstallSnapshot(id, to, request, response, data))
}

// AppendEntriesPipeline serves raft.Transport: there are none, so that each answer may be lost.
func (l *lossyTransport) AppendEntriesPipeline(raft.ServerID, raft.ServerAddress) (raft.AppendPipeline, error) {
	return nil, raft.ErrPipelineReplicationNotSupported
}

// lossyCluster opens three nodes that lose answers and take snapshots often.
func lossyCluster(t *testing.T, seed uint64) ([]*Node, []*raft.InmemTransport) {
	t.Helper()
	const callTimeout = 100 * time.Millisecond
	return openCluster(t, callTimeout, func(i int, o *Options) {
		link := o.Transport.(*raft.InmemTransport)
		o.Transport = &lossyTransport{InmemTransport: link, random: rand.New(rand.NewPCG(seed, uint64(i)))}
		o.Heartbeat = 100 * time.Millisecond
		o.SnapshotEntries, o.SnapshotEvery = 6, 10*time.Millisecond
	})
}

// putAtLeader has whichever node leads put a value; it may be lost.
func putAtLeader(nodes []*Node, value string) {
	for _, node := range nodes {
		if node.IsLeader() {
			_ = set(node, "key", value) // lost with the leader, perhaps
			return
		}
	}
	time.Sleep(time.Millisecond)
}

// No node's state goes back, none ends and all catch up when answers are lost while nodes are cut off and come back to
// a log that was compacted meanwhile.
func TestLostAnswersAroundSnapshots(t *testing.T) {
	const seed, rounds = 1, 24
	nodes, links := lossyCluster(t, seed)
	random := rand.New(rand.NewPCG(seed, 99))
	quit := make(chan struct{})
	var all sync.WaitGroup
	all.Add(2)
	go func() {
		defer all.Done()
		for n := 0; ; n++ {
			select {
			case <-quit:
				return
			default:
				putAtLeader(nodes, fmt.Sprint(n))
			}
		}
	}()
	go func() {
		defer all.Done()
		seen := make([]int64, len(nodes))
		for {
			for i, node := range nodes {
				revision := node.Revision()
				if revision < seen[i] {
					t.Errorf("node %d went back from revision %d to %d", i, seen[i], revision)
				}
				seen[i] = revision
			}
			select {
			case <-quit:
				return
			case <-time.After(200 * time.Microsecond):
			}
		}
	}()
	for range rounds {
		away := random.IntN(len(nodes))
		cut(links, away)
		time.Sleep(time.Duration(50+random.IntN(150)) * time.Millisecond)
		join(links, 0, 1, 2)
		time.Sleep(time.Duration(50+random.IntN(150)) * time.Millisecond)
	}
	close(quit)
	all.Wait()
	end := time.Now().Add(20 * time.Second)
	for time.Now().Before(end) && (nodes[0].Revision() != nodes[1].Revision() || nodes[1].Revision() != nodes[2].Revision()) {
		time.Sleep(10 * time.Millisecond)
	}
	a, b, c := nodes[0].Revision(), nodes[1].Revision(), nodes[2].Revision()
	if a != b || b != c {
		t.Errorf("the nodes stay at revisions %d, %d and %d", a, b, c)
	}
	t.Logf("revision %d", a)
}
