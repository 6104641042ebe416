// Package loop stores fleet-wide decisions in etcd. Each router writes a report, a pure decider derives the next shared
// state from all reports, and the router whose turn it is replaces the stored state. All records of a loop have one key
// prefix, so one read returns them at one revision.
//
// Writes are fenced: a transaction compares the revision of the state that was read and the router's registration. A
// router that resumes after a long pause therefore writes nothing. A state in a newer format than this program supports is
// applied but never written. An unreadable record is reported and does not affect the other records.
package loop

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/etcd"
)

// Fence returns comparisons that hold while this router is registered, or false if it is not registered.
type Fence func() ([]*pb.Compare, bool)

// Store reads and writes the records of one loop. R is the type of a router's report, S that of the shared state.
type Store[R, S any] struct {
	*etcd.Client
	Prefix    string // key prefix of all records, with the trailing slash
	StateName string // key of the state below Prefix
	Format    int    // state format that this program writes; newer states are not written
}

// StateKey returns the key of the state, ReportPrefix the key prefix of the reports.
func (s Store[R, S]) StateKey() string     { return s.Prefix + s.StateName }
func (s Store[R, S]) ReportPrefix() string { return s.Prefix + "reports/" }

// Report is a router's stored report.
type Report[R any] struct {
	Value R
	Rev   int64 // revision of its last modification
}

// View holds the records of a loop at one revision.
type View[R, S any] struct {
	Revision int64
	State    *S                   // nil: missing or unreadable
	StateRev int64                // 0: missing
	Format   int                  // format of the state
	Newer    bool                 // the state's format is newer than this program supports: it is applied, never written
	Reports  map[string]Report[R] // by router name
	Others   map[string][]byte    // other values under the prefix, by key without the prefix
	Faults   []*RecordError       // unreadable records

	stateKey  string
	supported int // the newest format that this program supports
}

// FormatErr returns a *NewerError if the state's format is newer than this program supports, so that it makes no decisions.
func (v View[R, S]) FormatErr() error {
	if !v.Newer {
		return nil
	}
	return &NewerError{Key: v.stateKey, Format: v.Format, Knows: v.supported}
}

// Writable reports whether this program may replace the state.
func (v View[R, S]) Writable() bool { return !v.Newer && (v.StateRev == 0 || v.State != nil) }

// Decode decodes the records of a range response.
func (s Store[R, S]) Decode(response *pb.RangeResponse) View[R, S] {
	v := View[R, S]{Revision: response.Header.GetRevision(), Reports: map[string]Report[R]{}, Others: map[string][]byte{}, stateKey: s.StateKey(), supported: s.Format}
	for _, pair := range response.Kvs {
		key := string(pair.Key)
		var err error
		switch {
		case key == s.StateKey():
			var header struct {
				Format int `json:"format"`
			}
			v.StateRev = pair.ModRevision
			if err = json.Unmarshal(pair.Value, &header); err == nil {
				v.Format, v.Newer = header.Format, header.Format > s.Format
				state := new(S)
				if err = json.Unmarshal(pair.Value, state); err == nil {
					v.State = state
				}
			}
		case strings.HasPrefix(key, s.ReportPrefix()):
			report := Report[R]{Rev: pair.ModRevision}
			if err = json.Unmarshal(pair.Value, &report.Value); err == nil {
				v.Reports[key[len(s.ReportPrefix()):]] = report
			}
		case strings.HasPrefix(key, s.Prefix):
			v.Others[key[len(s.Prefix):]] = pair.Value
		}
		if err != nil {
			v.Faults = append(v.Faults, &RecordError{Key: key, Rev: pair.ModRevision, Err: err})
		}
	}
	return v
}

// ReadAll reads all records. With serializable set, one store member's copy is enough, which may be stale.
func (s Store[R, S]) ReadAll(ctx context.Context, serializable bool) (View[R, S], error) {
	r, err := s.Range(ctx, etcd.Under(s.Prefix, serializable))
	if err != nil {
		return View[R, S]{}, &StoreError{"read", s.Prefix, err}
	}
	return s.Decode(r), nil
}

// ReadState reads the state without the reports, which are thousands of times larger in a large fleet. With serializable
// set, one store member's copy is enough, which may be stale.
func (s Store[R, S]) ReadState(ctx context.Context, serializable bool) (View[R, S], error) {
	r, err := s.Range(ctx, &pb.RangeRequest{Key: []byte(s.StateKey()), Serializable: serializable})
	if err != nil {
		return View[R, S]{}, &StoreError{"read", s.StateKey(), err}
	}
	return s.Decode(r), nil
}

// ReadAllWith reads all records and the given other ranges at one revision.
func (s Store[R, S]) ReadAllWith(ctx context.Context, ranges ...*pb.RangeRequest) (View[R, S], []*pb.RangeResponse, error) {
	requests := []*pb.RequestOp{etcd.Get(etcd.Under(s.Prefix, false))}
	for _, o := range ranges {
		requests = append(requests, etcd.Get(o))
	}
	txn, err := s.Look(ctx, &pb.TxnRequest{Success: requests})
	if err != nil {
		return View[R, S]{}, nil, &StoreError{"read", s.Prefix, err}
	}
	var responses []*pb.RangeResponse
	for _, r := range txn.Responses {
		response := r.GetResponseRange()
		response.Header = txn.Header
		responses = append(responses, response)
	}
	return s.Decode(responses[0]), responses[1:], nil
}

// WriteReport writes a router's report.
func (s Store[R, S]) WriteReport(ctx context.Context, router string, report R) error {
	data, err := json.Marshal(report)
	if err != nil {
		return err
	}
	key := s.ReportPrefix() + router
	if _, err = s.Txn(ctx, &pb.TxnRequest{Success: []*pb.RequestOp{etcd.Put(key, data, 0)}}); err != nil {
		return &StoreError{"report", key, err}
	}
	return nil
}

// ReplaceState replaces the state that was read at a revision, runs the extra operations in the same transaction, and
// returns the revision of the write. fence holds further comparisons; operators write without a fence. It fails with a
// *MovedError if the state has changed meanwhile, and with a *FencedError if the fence no longer holds.
func (s Store[R, S]) ReplaceState(ctx context.Context, revision int64, next *S, fence []*pb.Compare, extra ...*pb.RequestOp) (int64, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	r, err := s.Txn(ctx, &pb.TxnRequest{Compare: append([]*pb.Compare{etcd.At(s.StateKey(), revision)}, fence...),
		Success: append([]*pb.RequestOp{etcd.Put(s.StateKey(), data, 0)}, extra...),
		Failure: []*pb.RequestOp{etcd.Get(&pb.RangeRequest{Key: []byte(s.StateKey())})}})
	switch {
	case err != nil:
		return 0, &StoreError{"write", s.StateKey(), err}
	case r.Succeeded:
		return r.Header.Revision, nil
	}
	current := int64(0)
	if kvs := r.Responses[0].GetResponseRange().GetKvs(); len(kvs) > 0 {
		current = kvs[0].ModRevision
	}
	if current == revision {
		return 0, &FencedError{Key: s.StateKey()}
	}
	return 0, &MovedError{Key: s.StateKey(), Read: revision, Now: current}
}

// Routers returns the sorted names of the routers with a report.
func (v View[R, S]) Routers() []string { return slices.Sorted(maps.Keys(v.Reports)) }

// RecordError means that a record can't be decoded. Decisions go on without it, except that none are made on an unreadable
// state.
type RecordError struct {
	Key string
	Rev int64
	Err error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("can't decode record %s at revision %d: %v", e.Key, e.Rev, e.Err)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// Advice returns what an operator can do about the error.
func (e *RecordError) Advice() string {
	return "a report is rewritten by its router; for any other record, find out who wrote it ('sumactl get " + e.Key + "') and remove it ('sumactl del " + e.Key + "')"
}

// NewerError means that a state has a newer format than this program supports. The program applies the fields that it
// knows, but neither decides on the state nor writes it, since a write would drop the fields that it does not know.
type NewerError struct {
	Key           string
	Format, Knows int
}

func (e *NewerError) Error() string {
	return fmt.Sprintf("%s has format %d, newer than the supported format %d: the state is applied, but this router makes no decisions on it", e.Key, e.Format, e.Knows)
}

// Advice returns what an operator can do about the error.
func (e *NewerError) Advice() string {
	return "routers with the newer version make the decisions: continue its rollout or restart one of them; routers with this version make no decisions on " + e.Key
}

// StoreError means that a request to the store failed.
type StoreError struct {
	Did string // read, report or write
	Key string
	Err error
}

func (e *StoreError) Error() string { return fmt.Sprintf("%s %s: %v", e.Did, e.Key, e.Err) }

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }

// Advice returns what an operator can do about the error.
func (e *StoreError) Advice() string {
	return "the store has no leader or can't be reached; no decisions are made until it responds. Check that a majority of its members is running"
}

// MovedError means that another router or an operator replaced the state after it was read. The next read returns the new
// state, so routers need no action.
type MovedError struct {
	Key       string
	Read, Now int64 // revisions
}

func (e *MovedError) Error() string {
	return fmt.Sprintf("write conflict on %s: read at revision %d, now at revision %d", e.Key, e.Read, e.Now)
}

// Advice returns what an operator can do about the error.
func (e *MovedError) Advice() string { return "look at the current state, then try again" }

// FencedError means that the router's registration has ended, so that it makes no decisions until it has registered again,
// or that its decision was made under a policy that is no longer current.
type FencedError struct{ Key string }

func (e *FencedError) Error() string {
	return e.Key + ": write fenced off: this router's registration has ended or its policy is no longer current"
}

// Advice returns what an operator can do about the error.
func (e *FencedError) Advice() string {
	return "the router registers again by itself; if it does not, its log has the reason why the store rejects it"
}
