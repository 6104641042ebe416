// Package loop carries a decision of the fleet as a whole between the store and its routers: each router writes a
// report, a pure decider makes the next state of what is agreed on out of them, and whoever's turn it is writes it in
// the place of the last. All records of a loop lie under one prefix, so that one read shows them at one revision.
//
// A write is fenced: it compares the revision of the state that was read and the registration of the router that
// writes, so one that was stopped for long and goes on writes nothing. A state of a newer format than this program's is
// followed and never written; a record that can't be read is named and stands in the way of nothing but itself.
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

// Fence gives the comparisons that hold while this router is registered; false: it is not.
type Fence func() ([]*pb.Compare, bool)

// Store reads and writes the records of one loop: R is a router's report, S the state that is agreed on.
type Store[R, S any] struct {
	*etcd.Client
	Prefix    string // the prefix, with its last slash
	StateName string // of the state's key under it
	Format    int    // of states that this program writes; newer ones it leaves alone
}

// StateKey and Reports are the keys of the state and the prefix of the reports.
func (s Store[R, S]) StateKey() string     { return s.Prefix + s.StateName }
func (s Store[R, S]) ReportPrefix() string { return s.Prefix + "reports/" }

// Report is a router's report as it stands in the store.
type Report[R any] struct {
	Value R
	Rev   int64 // the store's revision of it
}

// View is what the store has of a loop at one revision.
type View[R, S any] struct {
	Revision int64
	State    *S                   // nil: none was written, or it can't be read
	StateRev int64                // 0: none was written
	Format   int                  // of the state
	Newer    bool                 // the state's format is newer than this program's: it is followed, never written
	Reports  map[string]Report[R] // by router
	Others   map[string][]byte    // what else lies under the prefix, by the rest of its key
	Faults   []*RecordError       // records that can't be read

	stateKey  string
	supported int // the format that this program writes
}

// FormatErr tells that this program decides nothing on the state since it is of a newer format, as a *NewerError.
func (v View[R, S]) FormatErr() error {
	if !v.Newer {
		return nil
	}
	return &NewerError{Key: v.stateKey, Format: v.Format, Knows: v.supported}
}

// Writable tells whether the state may be written by this program.
func (v View[R, S]) Writable() bool { return !v.Newer && (v.StateRev == 0 || v.State != nil) }

// Decode reads the records of an answer.
func (s Store[R, S]) Decode(response *pb.RangeResponse) View[R, S] {
	v := View[R, S]{Revision: response.Header.GetRevision(), Reports: map[string]Report[R]{}, Others: map[string][]byte{}, stateKey: s.StateKey(), supported: s.Format}
	for _, pair := range response.Kvs {
		key := string(pair.Key)
		var err error
		switch {
		case key == s.StateKey():
			var head struct {
				Format int `json:"format"`
			}
			v.StateRev = pair.ModRevision
			if err = json.Unmarshal(pair.Value, &head); err == nil {
				v.Format, v.Newer = head.Format, head.Format > s.Format
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

// ReadAll reads all records; copied is content with one node's copy.
func (s Store[R, S]) ReadAll(ctx context.Context, serializable bool) (View[R, S], error) {
	r, err := s.Range(ctx, etcd.Under(s.Prefix, serializable))
	if err != nil {
		return View[R, S]{}, &StoreError{"read", s.Prefix, err}
	}
	return s.Decode(r), nil
}

// ReadState reads the state without the reports, which in a large fleet are thousands of times as much; copied is content with one
// node's copy.
func (s Store[R, S]) ReadState(ctx context.Context, serializable bool) (View[R, S], error) {
	r, err := s.Range(ctx, &pb.RangeRequest{Key: []byte(s.StateKey()), Serializable: serializable})
	if err != nil {
		return View[R, S]{}, &StoreError{"read", s.StateKey(), err}
	}
	return s.Decode(r), nil
}

// ReadAllWith reads all records and other ranges at one revision.
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

// ReplaceState writes a state in the place of the one at a revision, with whatever else goes along in the same transaction, and
// gives the revision of the write. fence holds what else must be as it was; without any it is an operator's write. It
// fails with *MovedError where another was quicker and with *FencedError where this router's registration has ended.
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

// Routers are the routers that have reported.
func (v View[R, S]) Routers() []string { return slices.Sorted(maps.Keys(v.Reports)) }

// RecordError says that a record can't be read. Decisions go on without it; of a state that can't be read none are made.
type RecordError struct {
	Key string
	Rev int64
	Err error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("%s at revision %d can't be read: %v", e.Key, e.Rev, e.Err)
}

// Unwrap serves errors.Is.
func (e *RecordError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *RecordError) Advice() string {
	return "a report is written anew by its router; anything else: look who wrote it ('sumactl get " + e.Key + "') and remove it ('sumactl del " + e.Key + "')"
}

// NewerError says that a state is of a newer format than this program knows. It is followed as far as it is understood, and this
// program neither decides on it nor writes it, which would take away what it does not know.
type NewerError struct {
	Key           string
	Format, Knows int
}

func (e *NewerError) Error() string {
	return fmt.Sprintf("%s is of format %d, this program knows formats up to %d: it is followed and nothing is decided on it here", e.Key, e.Format, e.Knows)
}

// Advice says what an operator can do.
func (e *NewerError) Advice() string {
	return "the routers of the newer program decide: go on with its release, or start one of them again; a fleet of this program alone decides nothing on " + e.Key
}

// StoreError says that the store did not answer a loop.
type StoreError struct {
	Did string // read, report or write
	Key string
	Err error
}

func (e *StoreError) Error() string { return fmt.Sprintf("%s %s: %v", e.Did, e.Key, e.Err) }

// Unwrap serves errors.Is.
func (e *StoreError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *StoreError) Advice() string {
	return "the store has no leader or can't be reached: nothing is decided until it answers; see that a majority of its members runs"
}

// MovedError says that a state was written by another meanwhile. Nothing is to be done: the next view has it.
type MovedError struct {
	Key       string
	Read, Now int64 // revisions
}

func (e *MovedError) Error() string {
	return fmt.Sprintf("%s was read at revision %d and is at %d by now", e.Key, e.Read, e.Now)
}

// Advice says what an operator can do.
func (e *MovedError) Advice() string { return "look at what was made meanwhile, then ask again" }

// FencedError says that a router's registration has ended, so that it decides nothing until it has registered again, or that the
// policy that its decision was made by is not the current one any more.
type FencedError struct{ Key string }

func (e *FencedError) Error() string {
	return e.Key + ": not written: this router's registration has ended, or the policy that it decided by"
}

// Advice says what an operator can do.
func (e *FencedError) Advice() string {
	return "the router registers again by itself; where it does not, see its log for why the store refuses it"
}
