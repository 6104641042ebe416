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

// applyResult is the outcome of an entry.
type applyResult struct {
	response any // *pb.PutResponse and its like
	err      error
}

// Apply serves raft.FSM.
func (f *fsm) Apply(entry *raft.Log) any {
	var req pb.InternalRaftRequest
	if err := proto.Unmarshal(entry.Data, &req); err != nil {
		return applyResult{err: fmt.Errorf("log entry %d: %w", entry.Index, err)}
	}
	switch {
	case req.Put != nil:
		r, err := f.txn(&pb.TxnRequest{Success: []*pb.RequestOp{{Request: &pb.RequestOp_RequestPut{RequestPut: req.Put}}}})
		if err != nil {
			return applyResult{err: err}
		}
		return applyResult{response: &pb.PutResponse{Header: r.Header, PrevKv: r.Responses[0].GetResponsePut().PrevKv}}
	case req.DeleteRange != nil:
		r, _ := f.txn(&pb.TxnRequest{Success: []*pb.RequestOp{{Request: &pb.RequestOp_RequestDeleteRange{RequestDeleteRange: req.DeleteRange}}}})
		d := r.Responses[0].GetResponseDeleteRange()
		return applyResult{response: &pb.DeleteRangeResponse{Header: r.Header, Deleted: d.Deleted, PrevKvs: d.PrevKvs}}
	case req.Txn != nil:
		r, err := f.txn(req.Txn)
		return applyResult{response: r, err: err}
	case req.LeaseGrant != nil:
		g := req.LeaseGrant
		err := f.kv.grant(g.ID, g.TTL, f.now())
		return applyResult{response: &pb.LeaseGrantResponse{Header: f.header(), ID: g.ID, TTL: g.TTL}, err: err}
	case req.LeaseRevoke != nil: // an expiry carries the count of renewals, one more than it is, in the entry's ID
		err := f.kv.revoke(req.LeaseRevoke.ID, req.ID > 0, req.ID-1)
		return applyResult{response: &pb.LeaseRevokeResponse{Header: f.header()}, err: err}
	case req.LeaseCheckpoint != nil: // a renewal
		out := &pb.LeaseKeepAliveResponse{}
		for _, c := range req.LeaseCheckpoint.Checkpoints {
			out.ID = c.ID
			out.TTL, _ = f.kv.renew(c.ID, f.now()) // 0 says that it is gone, as in etcd
		}
		out.Header = f.header()
		return applyResult{response: out}
	case req.Compaction != nil:
		err := f.kv.compact(req.Compaction.Revision)
		return applyResult{response: &pb.CompactionResponse{Header: &pb.ResponseHeader{Revision: f.kv.revision()}}, err: err}
	}
	return applyResult{err: errors.New("an entry without a known request")}
}

func (f *fsm) header() *pb.ResponseHeader { return &pb.ResponseHeader{Revision: f.kv.revision()} }

func (s *kv) revision() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.rev
}

// oldestRevision is the first revision of which there is history.
func (s *kv) oldestRevision() int64 {
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
	selected := s.selectBranch(req)
	if !s.leasesExist(selected) {
		return nil, ErrLeaseNotFound
	}
	next, before := s.rev+1, len(s.history)
	out := s.execute(selected, next)
	if len(s.history) > before {
		s.commit(next)
	}
	out.Header = &pb.ResponseHeader{Revision: s.rev}
	return out, nil
}

// readTxn answers a transaction that only reads, at one revision.
func (s *kv) readTxn(req *pb.TxnRequest) *pb.TxnResponse {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := s.execute(s.selectBranch(req), s.rev)
	out.Header = &pb.ResponseHeader{Revision: s.rev}
	return out
}

// branch is the branch of a transaction that its comparisons have selected, and those of the transactions within.
type branch struct {
	succeeded bool
	ops       []*pb.RequestOp
	nested    []branch // by op; empty for what is no transaction
}

// selectBranch looks at all comparisons, those within as well, before anything changes, as etcd does.
func (s *kv) selectBranch(req *pb.TxnRequest) branch {
	c := branch{succeeded: !slices.ContainsFunc(req.Compare, func(c *pb.Compare) bool { return !s.compareHolds(c) }), ops: req.Failure}
	if c.succeeded {
		c.ops = req.Success
	}
	c.nested = make([]branch, len(c.ops))
	for i, op := range c.ops {
		if t := op.GetRequestTxn(); t != nil {
			c.nested[i] = s.selectBranch(t)
		}
	}
	return c
}

// leasesExist tells whether every lease that is named exists.
func (s *kv) leasesExist(c branch) bool {
	for i, op := range c.ops {
		if put := op.GetRequestPut(); put != nil && put.Lease != 0 && s.leases[put.Lease] == nil {
			return false
		}
		if !s.leasesExist(c.nested[i]) {
			return false
		}
	}
	return true
}

func (s *kv) execute(c branch, rev int64) *pb.TxnResponse {
	out := &pb.TxnResponse{Succeeded: c.succeeded}
	for i, op := range c.ops {
		if op.GetRequestTxn() != nil {
			out.Responses = append(out.Responses, &pb.ResponseOp{Response: &pb.ResponseOp_ResponseTxn{ResponseTxn: s.execute(c.nested[i], rev)}})
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
		if old := s.versionAt(string(p.Key), rev); old != nil && p.PrevKv {
			out.PrevKv = s.keyValue(string(p.Key), old)
		}
		s.put(string(p.Key), p.Value, p.Lease, rev)
		return &pb.ResponseOp{Response: &pb.ResponseOp_ResponsePut{ResponsePut: out}}
	case op.GetRequestDeleteRange() != nil:
		d, out := op.GetRequestDeleteRange(), &pb.DeleteRangeResponse{}
		for _, name := range s.keysInRange(d.Key, d.RangeEnd, rev) {
			if d.PrevKv {
				out.PrevKvs = append(out.PrevKvs, s.keyValue(name, s.versionAt(name, rev)))
			}
			s.deleteKey(name, rev)
			out.Deleted++
		}
		return &pb.ResponseOp{Response: &pb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: out}}
	default:
		r, out := op.GetRequestRange(), &pb.RangeResponse{}
		for _, name := range s.keysInRange(r.GetKey(), r.GetRangeEnd(), rev) {
			out.Kvs = append(out.Kvs, s.keyValue(name, s.versionAt(name, rev)))
		}
		out.Count = int64(len(out.Kvs))
		return &pb.ResponseOp{Response: &pb.ResponseOp_ResponseRange{ResponseRange: out}}
	}
}

// compareHolds tells whether a comparison of a transaction holds. A key that does not exist has zeros.
func (s *kv) compareHolds(c *pb.Compare) bool {
	pair := &mvccpb.KeyValue{}
	if v := s.versionAt(string(c.Key), s.rev); v != nil {
		pair = s.keyValue(string(c.Key), v)
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
