package etcd

import (
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
)

// Under is the request for all keys that begin with a prefix; copied is content with the asked node's copy.
func Under(prefix string, copied bool) *pb.RangeRequest {
	return &pb.RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Serializable: copied}
}

// Put is a transaction's operation that sets a key, under a lease or, with 0, under none.
func Put(key string, value []byte, lease int64) *pb.RequestOp {
	return &pb.RequestOp{Request: &pb.RequestOp_RequestPut{RequestPut: &pb.PutRequest{Key: []byte(key), Value: value, Lease: lease}}}
}

// Del is a transaction's operation that removes a key.
func Del(key string) *pb.RequestOp {
	return &pb.RequestOp{Request: &pb.RequestOp_RequestDeleteRange{RequestDeleteRange: &pb.DeleteRangeRequest{Key: []byte(key)}}}
}

// Get is a transaction's operation that reads.
func Get(r *pb.RangeRequest) *pb.RequestOp {
	return &pb.RequestOp{Request: &pb.RequestOp_RequestRange{RequestRange: r}}
}

// At is a comparison that holds while a key was last written at a revision, 0 for one that is not there.
func At(key string, revision int64) *pb.Compare {
	return &pb.Compare{Key: []byte(key), Target: pb.Compare_MOD, TargetUnion: &pb.Compare_ModRevision{ModRevision: revision}}
}
