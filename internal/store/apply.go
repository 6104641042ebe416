package store

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/hashicorp/raft"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/protobuf/proto"
)

// fsm applies raft's log to a kv. An entry is one of etcd's internal raft requests.
type fsm struct{ kv *kv }

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
		r := f.txn(&pb.TxnRequest{Success: []*pb.RequestOp{{Request: &pb.RequestOp_RequestPut{RequestPut: req.Put}}}})
		return applied{response: &pb.PutResponse{Header: r.Header, PrevKv: r.Responses[0].GetResponsePut().PrevKv}}
	case req.DeleteRange != nil:
		r := f.txn(&pb.TxnRequest{Success: []*pb.RequestOp{{Request: &pb.RequestOp_RequestDeleteRange{RequestDeleteRange: req.DeleteRange}}}})
		d := r.Responses[0].GetResponseDeleteRange()
		return applied{response: &pb.DeleteRangeResponse{Header: r.Header, Deleted: d.Deleted, PrevKvs: d.PrevKvs}}
	case req.Txn != nil:
		return applied{response: f.txn(req.Txn)}
	case req.Compaction != nil:
		err := f.kv.compact(req.Compaction.Revision)
		return applied{response: &pb.CompactionResponse{Header: &pb.ResponseHeader{Revision: f.kv.revision()}}, err: err}
	}
	return applied{err: errors.New("an entry without a known request")}
}

func (s *kv) revision() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.rev
}

// txn applies one transaction: all that it changes has one revision, and one that changes nothing takes none.
func (f *fsm) txn(req *pb.TxnRequest) *pb.TxnResponse {
	s := f.kv
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &pb.TxnResponse{Succeeded: !slices.ContainsFunc(req.Compare, func(c *pb.Compare) bool { return !s.holds(c) })}
	ops := req.Failure
	if out.Succeeded {
		ops = req.Success
	}
	next, before := s.rev+1, len(s.history)
	for _, op := range ops {
		out.Responses = append(out.Responses, s.apply(op, next))
	}
	if len(s.history) > before {
		s.commit(next)
	}
	out.Header = &pb.ResponseHeader{Revision: s.rev}
	return out
}

func (s *kv) apply(op *pb.RequestOp, rev int64) *pb.ResponseOp {
	switch {
	case op.GetRequestPut() != nil:
		p, out := op.GetRequestPut(), &pb.PutResponse{}
		if old := s.at(string(p.Key), rev); old != nil && p.PrevKv {
			out.PrevKv = s.pair(string(p.Key), old)
		}
		s.put(string(p.Key), p.Value, rev)
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
	return f.kv.load(r)
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
