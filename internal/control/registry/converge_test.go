package registry_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/replica"
)

// node is a member with its copy of the replicated map, connected as in the control program.
type node struct {
	registry *registry.Registry
	entries  *replica.Map
	finality map[string]registry.State // the most final state seen here, by worker
}

// publish merges this member's changes into its copy of the map.
func (n *node) publish(workers ...registry.Worker) {
	for _, worker := range workers {
		n.entries.Merge([]replica.Entry{n.registry.Entry(worker)})
	}
}

func (n *node) publishWorker(id string, changed bool) {
	if worker, known := n.registry.Find(id); known && changed {
		n.publish(worker)
	}
}

func (n *node) receive(now time.Duration, received []replica.Entry) {
	n.publish(n.registry.Merge(now, n.entries.Merge(received))...)
}

// checkFinality fails if a leaving or gone worker moved back to a less final state at this node.
func (n *node) checkFinality(t *rapid.T) {
	for _, worker := range n.registry.View().All() {
		before := n.finality[worker.ID]
		switch {
		case before == registry.Gone:
			assert(t, worker.State, qt.Equals, registry.Gone)
		case before == registry.Leaving:
			assert(t, worker.State.Final(), qt.IsTrue)
		}
		if worker.State.Final() {
			n.finality[worker.ID] = worker.State
		}
	}
}

// simulation is an in-memory fleet with its messages in flight.
type simulation struct {
	now     time.Duration
	nodes   []*node // three members and a reader
	workers []*simWorker
	inFlight
}

type inFlight struct {
	beats  []registry.Beat
	gossip [][]replica.Entry
}

// simWorker is a worker that sends heartbeats.
type simWorker struct {
	id        string
	callCount uint64
	state     registry.State
}

const members = 3

func newSimulation() *simulation {
	sim := &simulation{}
	for _, self := range []string{"a", "b", "c", ""} {
		sim.nodes = append(sim.nodes, &node{
			registry: newMember(self), entries: replica.New(), finality: make(map[string]registry.State),
		})
	}
	for number := range 3 {
		sim.workers = append(sim.workers, &simWorker{id: fmt.Sprint("w", number), state: registry.Up})
	}
	return sim
}

func (s *simulation) anyMember(t *rapid.T) *node {
	return s.nodes[rapid.IntRange(0, members-1).Draw(t, "member")]
}

func (s *simulation) anyNode(t *rapid.T) *node {
	return s.nodes[rapid.IntRange(0, members).Draw(t, "node")]
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":        s.check,
		"beat":    s.beat,
		"late":    s.lateBeat,
		"turn":    s.startLeaving,
		"leave":   s.leave,
		"send":    s.send,
		"deliver": s.deliver,
		"lapse":   s.lapse,
		"adopt":   s.adopt,
	}
}

func (s *simulation) check(t *rapid.T) {
	for _, each := range s.nodes {
		each.checkFinality(t)
	}
}

// beat sends a worker's heartbeat to a member, with a random phase. It may be delivered again later.
func (s *simulation) beat(t *rapid.T) {
	worker := rapid.SampledFrom(s.workers).Draw(t, "worker")
	if worker.state == registry.Gone {
		return
	}
	worker.callCount++
	sent := beat(worker.id, worker.callCount)
	sent.State = worker.state
	sent.Phase = rapid.SampledFrom([]string{"writing", "reading"}).Draw(t, "phase")
	s.beats = append(s.beats, sent)
	if rapid.Bool().Draw(t, "arrives") {
		s.receiveBeat(s.anyMember(t), sent)
	}
}

func (s *simulation) lateBeat(t *rapid.T) {
	if len(s.beats) > 0 {
		s.receiveBeat(s.anyMember(t), rapid.SampledFrom(s.beats).Draw(t, "beat"))
	}
}

func (s *simulation) receiveBeat(member *node, sent registry.Beat) {
	member.publishWorker(sent.ID, member.registry.Beat(s.now, sent))
}

// startLeaving makes a worker report leaving from its next heartbeat on.
func (s *simulation) startLeaving(t *rapid.T) {
	worker := rapid.SampledFrom(s.workers).Draw(t, "worker")
	if worker.state == registry.Up {
		worker.state = registry.Leaving
	}
}

func (s *simulation) leave(t *rapid.T) {
	worker := rapid.SampledFrom(s.workers).Draw(t, "worker")
	worker.state = registry.Gone
	worker.callCount++
	reported := rapid.SampledFrom([]uint64{0, worker.callCount}).Draw(t, "told")
	member := s.anyMember(t)
	member.publishWorker(worker.id, member.registry.Leave(s.now, worker.id, reported))
}

// send puts a random subset of a node's entries in flight.
func (s *simulation) send(t *rapid.T) {
	var sent []replica.Entry
	for _, entry := range s.anyNode(t).entries.Prefix("") {
		if rapid.Bool().Draw(t, "sent") {
			sent = append(sent, entry)
		}
	}
	s.gossip = append(s.gossip, sent)
}

// deliver hands a node a random gossip message of any age. The message stays available to other nodes.
func (s *simulation) deliver(t *rapid.T) {
	if len(s.gossip) > 0 {
		s.anyNode(t).receive(s.now, rapid.SampledFrom(s.gossip).Draw(t, "gossip"))
	}
}

func (s *simulation) lapse(t *rapid.T) {
	s.now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
	member := s.anyMember(t)
	member.publish(member.registry.Lapse(s.now)...)
}

func (s *simulation) adopt(t *rapid.T) {
	s.now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
	member := s.anyMember(t)
	dead := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID[string]).Draw(t, "dead")
	member.publish(member.registry.AdoptLapsed(s.now, dead)...)
}

// settle runs anti-entropy between all nodes until nothing changes. It reports whether that point was reached.
func (s *simulation) settle() bool {
	const mostRounds = 20
	for range mostRounds {
		before := s.revisions()
		for _, from := range s.nodes {
			for _, to := range s.nodes {
				to.receive(s.now, from.entries.Missing(to.entries.Digest(), 1<<20))
			}
		}
		if s.revisions() == before {
			return true
		}
	}
	return false
}

func (s *simulation) revisions() uint64 {
	var sum uint64
	for _, each := range s.nodes {
		sum += each.entries.Revision()
	}
	return sum
}

// Given members that receive heartbeats, late heartbeats and leaves, lapse and adopt workers and exchange gossip in any
// order, when everything has been delivered, then all views and all copies of the map are equal, and no member has ever
// undone a leaving or gone state.
func TestMembersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		t.Repeat(sim.actions())
		assert(t, sim.settle(), qt.IsTrue)
		sim.check(t)
		first := sim.nodes[0]
		for _, other := range sim.nodes[1:] {
			assert(t, other.registry.View().All(), qt.DeepEquals, first.registry.View().All())
			assert(t, other.registry.Entries(), qt.DeepEquals, first.registry.Entries())
			assert(t, other.entries.Digest(), qt.Equals, first.entries.Digest())
			assert(t, other.entries.Digest(), qt.Equals, digestOf(other.registry.Entries()))
		}
		for _, worker := range first.registry.View().All() {
			assert(t, indexed(first.registry.View(), worker), qt.Equals, worker.State != registry.Gone)
		}
	})
}

func digestOf(entries []replica.Entry) replica.Digest {
	copied := replica.New()
	copied.Merge(entries)
	return copied.Digest()
}

// indexed reports whether a view lists a worker under its service with the same state and call count.
func indexed(view *registry.View, wanted registry.Worker) bool {
	for _, worker := range view.Workers(wanted.Service) {
		if worker.ID == wanted.ID {
			return worker.State == wanted.State && worker.CallCount == wanted.CallCount
		}
	}
	return false
}

// Given any entries of one worker, when two readers merge them in different orders and some of them twice, then both hold
// the same state, and it is the most final one among the entries.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gossip := rapid.SliceOfN(rapid.Custom(drawWorkerEntry), 1, 20).Draw(t, "told")
		shuffled := rapid.Permutation(gossip).Draw(t, "shuffled")
		one, other := newMember(""), newMember("")
		mostFinal := uint64(0)
		for index := range gossip {
			one.Merge(0, gossip[index:index+1])
			other.Merge(0, shuffled[index:index+1])
			other.Merge(0, shuffled[:index/2])
			mostFinal = max(mostFinal, gossip[index].Version.Major)
		}
		assert(t, one.Entries(), qt.DeepEquals, other.Entries())
		assert(t, one.View().All(), qt.DeepEquals, other.View().All())
		assert(t, one.Entries()[0].Version.Major, qt.Equals, mostFinal)
	})
}

func drawWorkerEntry(t *rapid.T) replica.Entry {
	states := []registry.State{registry.Up, registry.Leaving, registry.Lapsed, registry.Gone}
	return registry.EntryOf(registry.Worker{
		ID:        "w",
		Service:   "chat",
		State:     rapid.SampledFrom(states).Draw(t, "state"),
		CallCount: rapid.Uint64Range(0, 4).Draw(t, "call count"),
		Home:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "home"),
	})
}

// Given workers that have ended, when members expire them at different times while old gossip is still delivered, then
// no worker is ever up again, and finally all members have forgotten all workers.
func TestExpireConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		actions := sim.actions()
		actions["expire"] = sim.expire
		t.Repeat(actions)
		assert(t, sim.settle(), qt.IsTrue)
		for _, worker := range sim.workers {
			sim.nodes[0].publishWorker(worker.id, sim.nodes[0].registry.Leave(sim.now, worker.id, 0))
		}
		assert(t, sim.settle(), qt.IsTrue)
		for range 12 {
			sim.now += grace / 3
			sim.expireAll()
			assert(t, sim.settle(), qt.IsTrue)
			sim.check(t)
		}
		for _, each := range sim.nodes {
			assert(t, each.registry.Entries(), qt.HasLen, 0)
			assert(t, each.entries.Len(), qt.Equals, 0)
		}
	})
}

func (s *simulation) expire(t *rapid.T) {
	s.now += time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second
	member := s.anyNode(t)
	member.entries.Forget(member.registry.Expire(s.now)...)
}

func (s *simulation) expireAll() {
	for index, each := range s.nodes {
		each.entries.Forget(each.registry.Expire(s.now + time.Duration(index)*time.Second)...)
	}
}
