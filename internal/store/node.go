package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/protobuf/proto"
)

// ErrNotLeader says that another node must be asked.
var ErrNotLeader = errors.New("this node does not lead")

// Peer is one node of the store.
type Peer struct {
	ID     string
	Raft   string // where its raft listens
	Client string // where its clients are served
}

// Options set up a node.
type Options struct {
	Self  Peer
	Peers []Peer // all, Self among them
	Dir   string // "" keeps nothing over a restart
	Log   io.Writer

	Transport peerTransport // nil: TCP at Self.Raft
	// Heartbeat is how long a follower waits for its leader; 0 stands for raft's own default.
	Heartbeat time.Duration
	// SnapshotEntries is how many entries of the log have a snapshot taken, and about how many are kept beside it;
	// SnapshotEvery is how often that is looked at. 0 stands for a default each.
	SnapshotEntries int
	SnapshotEvery   time.Duration
	// KeepRevisions is how many revisions of history the leader keeps; 0: all.
	KeepRevisions int64
}

// Node is this daemon's part of the store.
type Node struct {
	raft         *raft.Raft
	incoming     *incoming
	kv           *kv
	peers        []Peer
	self         Peer
	started      time.Time
	quit         chan struct{}
	historyLimit int64 // revisions of history; 0: all
	closers      []func() error
}

const (
	applyTimeout             = 5 * time.Second
	retainedSnapshots        = 2
	connectionsPerPeer       = 4
	raftIOTimeout            = 2 * time.Second
	defaultSnapshotThreshold = 4096
)

// Open starts a node. Nodes that have nothing on disk begin as a cluster of the named peers.
func Open(o Options) (*Node, error) {
	n := &Node{kv: newKV(), peers: o.Peers, self: o.Self, started: time.Now(), quit: make(chan struct{}), historyLimit: o.KeepRevisions}
	cfg := raft.DefaultConfig()
	log := hclog.New(&hclog.LoggerOptions{Output: o.Log, Level: hclog.Warn})
	cfg.LocalID, cfg.Logger, cfg.SnapshotThreshold = raft.ServerID(o.Self.ID), log, defaultSnapshotThreshold
	if o.Heartbeat > 0 {
		cfg.HeartbeatTimeout, cfg.ElectionTimeout, cfg.LeaderLeaseTimeout = o.Heartbeat, o.Heartbeat, o.Heartbeat/2
		cfg.CommitTimeout = o.Heartbeat / 10
	}
	if o.SnapshotEntries > 0 {
		cfg.SnapshotThreshold, cfg.TrailingLogs = uint64(o.SnapshotEntries), uint64(o.SnapshotEntries)
	}
	if o.SnapshotEvery > 0 {
		cfg.SnapshotInterval = o.SnapshotEvery
	}
	var logs raft.LogStore = raft.NewInmemStore()
	stable, snapshotStore := raft.StableStore(logs.(*raft.InmemStore)), raft.SnapshotStore(&memorySnapshots{})
	if o.Dir != "" {
		if err := os.MkdirAll(o.Dir, 0o700); err != nil {
			return nil, err
		}
		bolt, err := raftboltdb.NewBoltStore(filepath.Join(o.Dir, "raft.db"))
		if err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
		n.closers = append(n.closers, bolt.Close)
		logs, stable = bolt, bolt
		if snapshotStore, err = raft.NewFileSnapshotStoreWithLogger(o.Dir, retainedSnapshots, log); err != nil {
			return nil, errors.Join(err, n.Close())
		}
	}
	over := o.Transport
	if over == nil {
		addr, err := net.ResolveTCPAddr("tcp", o.Self.Raft)
		if err != nil {
			return nil, errors.Join(err, n.Close())
		}
		tcp, err := raft.NewTCPTransportWithConfig(o.Self.Raft, addr, &raft.NetworkTransportConfig{MaxPool: connectionsPerPeer,
			Timeout: raftIOTimeout, ServerAddressProvider: n, Logger: log})
		if err != nil {
			return nil, errors.Join(err, n.Close())
		}
		n.closers = append(n.closers, tcp.Close)
		over = transport{tcp}
	}
	known, err := raft.HasExistingState(logs, stable, snapshotStore)
	if err != nil {
		return nil, errors.Join(err, n.Close())
	}
	n.incoming = newIncoming(over, logs, n.quit)
	if n.raft, err = raft.NewRaft(cfg, &fsm{n.kv, n.uptime}, logs, stable, snapshotStore, n.incoming); err != nil {
		return nil, errors.Join(err, n.Close())
	}
	go n.incoming.run(n.raft)
	if !known {
		var members raft.Configuration
		for _, p := range o.Peers {
			members.Servers = append(members.Servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.Raft)})
		}
		if err := n.raft.BootstrapCluster(members).Error(); err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
			return nil, errors.Join(err, n.Close())
		}
	}
	go n.runExpiry()
	return n, nil
}

// ServerAddr serves raft.ServerAddressProvider: a peer is reached where this node's own file says, whatever the
// log has.
func (n *Node) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	for _, p := range n.peers {
		if p.ID == string(id) {
			return raft.ServerAddress(p.Raft), nil
		}
	}
	return "", fmt.Errorf("store: no peer %q", id)
}

// uptime is this node's monotonic clock, from its start.
func (n *Node) uptime() time.Duration { return time.Since(n.started) }

// expiryInterval is how often a leader looks for leases whose time is up.
const expiryInterval = 50 * time.Millisecond

// runExpiry has leases end whose time is up, while this node leads.
func (n *Node) runExpiry() {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	led := false
	for {
		select {
		case <-n.quit:
			return
		case <-tick.C:
		}
		if !n.IsLeader() {
			led = false
			continue
		}
		if !led { // what earlier leaders agreed on is applied first
			if n.raft.Barrier(applyTimeout).Error() != nil {
				continue
			}
			n.kv.restartTimers(n.uptime())
			led = true
		}
		for _, o := range n.kv.expired(n.uptime()) {
			// An error is no matter: whoever leads looks again.
			_, _ = n.Apply(&pb.InternalRaftRequest{ID: o.renewed + 1, LeaseRevoke: &pb.LeaseRevokeRequest{ID: o.id}})
		}
		// History is let go by an eighth at a time, so that compactions are few.
		if rev, since := n.kv.revision(), n.kv.oldestRevision(); n.historyLimit > 0 && rev-since > n.historyLimit+n.historyLimit/8 {
			_, _ = n.Apply(&pb.InternalRaftRequest{Compaction: &pb.CompactionRequest{Revision: rev - n.historyLimit}})
		}
	}
}

// Lease tells what this node, which should lead, knows of a lease.
func (n *Node) Lease(id int64) (LeaseStatus, bool) { return n.kv.lease(id, n.uptime()) }

// Leases lists the leases of this node's copy.
func (n *Node) Leases() []int64 { return n.kv.leaseIDs() }

// Close stops the node.
func (n *Node) Close() error {
	var all error
	select {
	case <-n.quit:
	default:
		close(n.quit)
	}
	if n.raft != nil {
		all = n.raft.Shutdown().Error()
	}
	for i := len(n.closers) - 1; i >= 0; i-- {
		all = errors.Join(all, n.closers[i]())
	}
	return all
}

// Leader is the node that leads, as far as this one knows.
func (n *Node) Leader() (Peer, bool) {
	_, id := n.raft.LeaderWithID()
	for _, p := range n.peers {
		if p.ID == string(id) {
			return p, true
		}
	}
	return Peer{}, false
}

// IsLeader tells whether this node leads.
func (n *Node) IsLeader() bool { return n.raft.State() == raft.Leader }

// Self is this node.
func (n *Node) Self() Peer { return n.self }

// Apply has the cluster agree on a change; the node must lead. The answer is etcd's for the request within.
// After an error other than ErrNotLeader the change may be made or not.
func (n *Node) Apply(req *pb.InternalRaftRequest) (any, error) {
	data, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}
	future := n.raft.Apply(data, applyTimeout)
	if err := future.Error(); err != nil {
		if errors.Is(err, raft.ErrNotLeader) {
			err = ErrNotLeader
		}
		return nil, err
	}
	out := future.Response().(applyResult)
	return out.response, out.err
}

// ReadBarrier makes sure that what this node reads next is no older than the call; it must lead.
func (n *Node) ReadBarrier() error {
	if err := n.raft.VerifyLeader().Error(); err != nil {
		return ErrNotLeader
	}
	if err := n.raft.Barrier(applyTimeout).Error(); err != nil {
		return ErrNotLeader
	}
	return nil
}

// Range reads from this node's copy, at a revision or, with 0, now.
func (n *Node) Range(key, end []byte, rev int64) ([]*mvccpb.KeyValue, int64, error) {
	return n.kv.read(key, end, rev)
}

// ReadTxn answers a transaction that only reads from this node's copy, at one revision.
func (n *Node) ReadTxn(req *pb.TxnRequest) *pb.TxnResponse { return n.kv.readTxn(req) }

// Changes gives the events of a range from a revision on, whole revisions only.
func (n *Node) Changes(key, end []byte, from int64, prev bool, most int) (Changes, error) {
	return n.kv.changesSince(key, end, from, prev, most)
}

// Revision is the current one of this node's copy.
func (n *Node) Revision() int64 { return n.kv.revision() }

// Ready waits until the cluster has a leader.
func (n *Node) Ready(ctx context.Context) error {
	for {
		if _, ok := n.Leader(); ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("store: no leader: %w", ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
	}
}
