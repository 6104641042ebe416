package store

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/hashicorp/raft"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/protobuf/proto"
)

// fsm applies raft's log to a kv. An entry is one of etcd's internal raft requests.
type fsm struct {
	kv  *kv
	now func() time.Duration // monotonic, of any origin
}

// applied is the outcome of an entry.
type applied struct {
	response any // *pb.PutResponse and its like
	err      error
}

// Apply serves raft.FSM.
func (f *fsm) Apply(entry *raft.Log) any {
	var req pb.InternalRaftRequest
	if err := proto.Unmarshal(entry.Data, &req); err != nil {
		return applied{err: fmt.Errorf("log entry %d: %w", entry.Index, err)}
	}
	switch {
	case req.Put != nil:
		r, err := f.txn(&pb.TxnRequest{Success: []*pb.RequestOp{{Request: &pb.RequestOp_RequestPut{RequestPut: req.Put}}}})
		if err != nil {
			return applied{err: err}
		}
		return applied{response: &pb.PutResponse{Header: r.Header, PrevKv: r.Responses[0].GetResponsePut().PrevKv}}
	case req.DeleteRange != nil:
		r, _ := f.txn(&pb.TxnRequest{Success: []*pb.RequestOp{{Request: &pb.RequestOp_RequestDeleteRange{RequestDeleteRange: req.DeleteRange}}}})
		d := r.Responses[0].GetResponseDeleteRange()
		return applied{response: &pb.DeleteRangeResponse{Header: r.Header, Deleted: d.Deleted, PrevKvs: d.PrevKvs}}
	case req.Txn != nil:
		r, err := f.txn(req.Txn)
		return applied{response: r, err: err}
	case req.LeaseGrant != nil:
		g := req.LeaseGrant
		err := f.kv.grant(g.ID, g.TTL, f.now())
		return applied{response: &pb.LeaseGrantResponse{Header: f.header(), ID: g.ID, TTL: g.TTL}, err: err}
	case req.LeaseRevoke != nil: // an expiry carries the count of renewals, one more than it is, in the entry's ID
		err := f.kv.revoke(req.LeaseRevoke.ID, req.ID > 0, req.ID-1)
		return applied{response: &pb.LeaseRevokeResponse{Header: f.header()}, err: err}
	case req.LeaseCheckpoint != nil: // a renewal
		out := &pb.LeaseKeepAliveResponse{}
		for _, c := range req.LeaseCheckpoint.Checkpoints {
			out.ID = c.ID
			out.TTL, _ = f.kv.renew(c.ID, f.now()) // 0 says that it is gone, as in etcd
		}
		out.Header = f.header()
		return applied{response: out}
	case req.Compaction != nil:
		err := f.kv.compact(req.Compaction.Revision)
		return applied{response: &pb.CompactionResponse{Header: &pb.ResponseHeader{Revision: f.kv.revision()}}, err: err}
	}
	return applied{err: errors.New("an entry without a known request")}
}

func (f *fsm) header() *pb.ResponseHeader { return &pb.ResponseHeader{Revision: f.kv.revision()} }

func (s *kv) revision() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.rev
}

// oldest is the first revision of which there is history.
func (s *kv) oldest() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.compacted
}

// txn applies one transaction: all that it changes has one revision, and one that changes nothing takes none. One
// that names a lease that is gone changes nothing.
func (f *fsm) txn(req *pb.TxnRequest) (*pb.TxnResponse, error) {
	s := f.kv
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen := s.choose(req)
	if !s.leased(chosen) {
		return nil, ErrLeaseNotFound
	}
	next, before := s.rev+1, len(s.history)
	out := s.carry(chosen, next)
	if len(s.history) > before {
		s.commit(next)
	}
	out.Header = &pb.ResponseHeader{Revision: s.rev}
	return out, nil
}

// look answers a transaction that only reads, at one revision.
func (s *kv) look(req *pb.TxnRequest) *pb.TxnResponse {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := s.carry(s.choose(req), s.rev)
	out.Header = &pb.ResponseHeader{Revision: s.rev}
	return out
}

// choice is the branch of a transaction that its comparisons have chosen, and those of the transactions within.
type choice struct {
	held  bool
	ops   []*pb.RequestOp
	inner []choice // by op; empty for what is no transaction
}

// choose looks at all comparisons, those within as well, before anything changes, as etcd does.
func (s *kv) choose(req *pb.TxnRequest) choice {
	c := choice{held: !slices.ContainsFunc(req.Compare, func(c *pb.Compare) bool { return !s.holds(c) }), ops: req.Failure}
	if c.held {
		c.ops = req.Success
	}
	c.inner = make([]choice, len(c.ops))
	for i, op := range c.ops {
		if t := op.GetRequestTxn(); t != nil {
			c.inner[i] = s.choose(t)
		}
	}
	return c
}

// leased tells whether every lease that is named exists.
func (s *kv) leased(c choice) bool {
	for i, op := range c.ops {
		if put := op.GetRequestPut(); put != nil && put.Lease != 0 && s.leases[put.Lease] == nil {
			return false
		}
		if !s.leased(c.inner[i]) {
			return false
		}
	}
	return true
}

func (s *kv) carry(c choice, rev int64) *pb.TxnResponse {
	out := &pb.TxnResponse{Succeeded: c.held}
	for i, op := range c.ops {
		if op.GetRequestTxn() != nil {
			out.Responses = append(out.Responses, &pb.ResponseOp{Response: &pb.ResponseOp_ResponseTxn{ResponseTxn: s.carry(c.inner[i], rev)}})
			continue
		}
		out.Responses = append(out.Responses, s.apply(op, rev))
	}
	return out
}

func (s *kv) apply(op *pb.RequestOp, rev int64) *pb.ResponseOp {
	switch {
	case op.GetRequestPut() != nil:
		p, out := op.GetRequestPut(), &pb.PutResponse{}
		if old := s.at(string(p.Key), rev); old != nil && p.PrevKv {
			out.PrevKv = s.pair(string(p.Key), old)
		}
		s.put(string(p.Key), p.Value, p.Lease, rev)
		return &pb.ResponseOp{Response: &pb.ResponseOp_ResponsePut{ResponsePut: out}}
	case op.GetRequestDeleteRange() != nil:
		d, out := op.GetRequestDeleteRange(), &pb.DeleteRangeResponse{}
		for _, name := range s.within(d.Key, d.RangeEnd, rev) {
			if d.PrevKv {
				out.PrevKvs = append(out.PrevKvs, s.pair(name, s.at(name, rev)))
			}
			s.drop(name, rev)
			out.Deleted++
		}
		return &pb.ResponseOp{Response: &pb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: out}}
	default:
		r, out := op.GetRequestRange(), &pb.RangeResponse{}
		for _, name := range s.within(r.GetKey(), r.GetRangeEnd(), rev) {
			out.Kvs = append(out.Kvs, s.pair(name, s.at(name, rev)))
		}
		out.Count = int64(len(out.Kvs))
		return &pb.ResponseOp{Response: &pb.ResponseOp_ResponseRange{ResponseRange: out}}
	}
}

// holds tells whether a comparison of a transaction holds. A key that does not exist has zeros.
func (s *kv) holds(c *pb.Compare) bool {
	pair := &mvccpb.KeyValue{}
	if v := s.at(string(c.Key), s.rev); v != nil {
		pair = s.pair(string(c.Key), v)
	}
	order := 0
	switch c.Target {
	case pb.Compare_VALUE:
		if pair.ModRevision == 0 {
			return false
		}
		order = bytes.Compare(pair.Value, c.GetValue())
	case pb.Compare_CREATE:
		order = cmp.Compare(pair.CreateRevision, c.GetCreateRevision())
	case pb.Compare_MOD:
		order = cmp.Compare(pair.ModRevision, c.GetModRevision())
	case pb.Compare_VERSION:
		order = cmp.Compare(pair.Version, c.GetVersion())
	case pb.Compare_LEASE:
		order = cmp.Compare(pair.Lease, c.GetLease())
	}
	switch c.Result {
	case pb.Compare_EQUAL:
		return order == 0
	case pb.Compare_GREATER:
		return order > 0
	case pb.Compare_LESS:
		return order < 0
	}
	return order != 0
}

// Snapshot serves raft.FSM.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	data, err := f.kv.save()
	return snapshot(data), err
}

// Restore serves raft.FSM.
func (f *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	return f.kv.load(r, f.now())
}

type snapshot []byte

// Persist serves raft.FSMSnapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release serves raft.FSMSnapshot.
func (s snapshot) Release() {}
