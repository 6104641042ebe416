// Package policy carries a fleet's policy between the store and a router: the records of the store, the gate that
// every arrival passes, and the agent that keeps a router registered, has it follow the policy and moves changes on.
// What is decided about a change is decided in internal/decide/rollout.
package policy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"

	"sumacloft/internal/decide/rollout"
	"sumacloft/internal/etcd"
)

// The keys. All that is alive lies under one prefix, so that one read shows it at one revision.
const (
	root       = "/sumacloft/policy/"
	live       = root + "live/"
	currentKey = live + "current"
	changeKey  = live + "change"
	routers    = live + "routers/"
	alive      = live + "alive/" // of routers whose registration outlives their lease
	acks       = live + "acks/"
	versions   = root + "versions/"
	history    = root + "history/"
)

// Routers is where registrations stand, by name, for those who look at the history.
const Routers = routers

// kept is how many versions and how many ended changes the store keeps.
const kept = 200

func numbered(prefix string, n int64) string { return fmt.Sprintf("%s%012d", prefix, n) }

// Store reads and writes the records.
type Store struct{ *etcd.Client }

// view reads the records out of a range over the live prefix.
func view(r *pb.RangeResponse, revision int64) (rollout.View, error) {
	v := rollout.View{Revision: revision, Routers: map[string]rollout.Router{}, Acks: map[string]rollout.Ack{}}
	leases := map[string]int64{}
	for _, pair := range r.Kvs {
		key, err := string(pair.Key), error(nil)
		switch {
		case key == currentKey:
			v.Current = &rollout.Version{}
			err = json.Unmarshal(pair.Value, v.Current)
		case key == changeKey:
			v.Change = &rollout.Change{}
			err = json.Unmarshal(pair.Value, v.Change)
			v.Change.Rev = pair.ModRevision
		case strings.HasPrefix(key, routers):
			var one rollout.Router
			err = json.Unmarshal(pair.Value, &one)
			one.Rev, one.Lease = pair.ModRevision, pair.Lease
			v.Routers[key[len(routers):]] = one
		case strings.HasPrefix(key, alive):
			leases[key[len(alive):]] = pair.Lease
		case strings.HasPrefix(key, acks):
			var one rollout.Ack
			err = json.Unmarshal(pair.Value, &one)
			v.Acks[key[len(acks):]] = one
		}
		if err != nil {
			return v, fmt.Errorf("%s: %w", key, err)
		}
	}
	for name, one := range v.Routers {
		if lease := leases[name]; lease != 0 && one.Lease == 0 {
			one.Lease = lease
			v.Routers[name] = one
		}
	}
	return v, nil
}

// Live is the request for what is alive, and Read reads its answer.
func Live() *pb.RangeRequest { return etcd.Under(live, false) }

// Read reads what is alive out of an answer to Live.
func Read(r *pb.RangeResponse) (rollout.View, error) { return view(r, r.Header.GetRevision()) }

// Standing gives the comparison that holds while the policy's current version is the one that stood at a revision of its key;
// 0: while there is none.
func Standing(rev int64) *pb.Compare { return etcd.At(currentKey, rev) }

// StandingAt is the revision of the current version in an answer to Live, for Standing.
func StandingAt(r *pb.RangeResponse) int64 {
	for _, pair := range r.Kvs {
		if string(pair.Key) == currentKey {
			return pair.ModRevision
		}
	}
	return 0
}

// View reads what is alive; it is no older than the call.
func (s Store) View(ctx context.Context) (rollout.View, error) {
	r, err := s.Range(ctx, etcd.Under(live, false))
	if err != nil {
		return rollout.View{}, err
	}
	return view(r, r.Header.Revision)
}

// copyView reads the copy that one endpoint has, which may be behind.
func (s Store) copyView(ctx context.Context, endpoint int) (rollout.View, error) {
	ctx, done := context.WithTimeout(ctx, callLimit)
	defer done()
	r, err := pb.NewKVClient(s.Conn(endpoint)).Range(ctx, etcd.Under(live, true))
	if err != nil {
		return rollout.View{}, err
	}
	return view(r, r.Header.Revision)
}

// Asked is anything that answers a read of the store.
type Asked interface {
	Ask(ctx context.Context, r *pb.RangeRequest) (*pb.RangeResponse, error)
}

// Copy reads what is alive from the copy that one node has, which may be behind.
func Copy(ctx context.Context, from Asked) (rollout.View, error) {
	r, err := from.Ask(ctx, etcd.Under(live, true))
	if err != nil {
		return rollout.View{}, err
	}
	return view(r, r.Header.Revision)
}

// callLimit bounds a call of the agent.
const callLimit = 2 * time.Second

func put(key string, value any, lease int64) *pb.RequestOp {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // records are plain structs
	}
	return etcd.Put(key, data, lease)
}

// move writes the next record of a change in the place of the one at a revision; false says that another was
// quicker. An outcome is written with what it brings about, in one revision.
func (s Store) move(ctx context.Context, from int64, next *rollout.Change) (bool, error) {
	ops := []*pb.RequestOp{put(changeKey, next, 0)}
	if next.Phase == rollout.Committed {
		made := next.Result()
		ops = append(ops, put(currentKey, made, 0), put(numbered(versions, made.Version), made, 0), etcd.Del(numbered(versions, made.Version-kept)))
	}
	if next.Phase.Done() {
		ops = append(ops, put(numbered(history, next.Seq), next, 0), etcd.Del(numbered(history, next.Seq-kept)))
	}
	r, err := s.Txn(ctx, &pb.TxnRequest{Compare: []*pb.Compare{etcd.At(changeKey, from)}, Success: ops})
	return err == nil && r.Succeeded, err
}

// seed writes the first version, unless there is one.
func (s Store) seed(ctx context.Context, text, by string) error {
	first := rollout.Version{Version: 1, Text: text, By: by, At: stamp(), Note: "the first, from a router's own file"}
	_, err := s.Txn(ctx, &pb.TxnRequest{Compare: []*pb.Compare{etcd.At(currentKey, 0)},
		Success: []*pb.RequestOp{put(currentKey, first, 0), put(numbered(versions, 1), first, 0)}})
	return err
}

func stamp() string { return time.Now().UTC().Format(time.RFC3339) }

// Running says that a change is refused because another has no outcome yet.
type Running struct{ Change rollout.Change }

func (e *Running) Error() string {
	return fmt.Sprintf("change %s by %s is under way (%s): wait for its outcome, then look at what it made", e.Change.ID, e.Change.By, e.Change.Phase)
}

// ErrElsewhere says that somebody else proposed a change at the same moment.
var ErrElsewhere = errors.New("another change was proposed at the same moment: look at it, then apply yours again")

// Propose proposes a change on a view. The id names the change whatever becomes of the answer: with etcd.ErrUnknown
// ask Outcome for it.
func (s Store) Propose(ctx context.Context, v rollout.View, text, by, note string, limits rollout.Limits) (id string, err error) {
	from := int64(0)
	if v.Change != nil {
		from = v.Change.Rev
	}
	id = fmt.Sprintf("%d-%s", from, uuid.NewString()[:13])
	c, running := rollout.Propose(v, id, text, by, note, stamp(), limits)
	if running != nil {
		return "", &Running{*running}
	}
	r, err := s.Txn(ctx, &pb.TxnRequest{Compare: []*pb.Compare{etcd.At(changeKey, from)}, Success: []*pb.RequestOp{put(changeKey, c, 0)}})
	if err == nil && !r.Succeeded {
		return "", ErrElsewhere
	}
	return id, err
}

// ErrNoChange says that no change of that id was ever made, nor can one be made any more.
var ErrNoChange = errors.New("no such change took hold, and none can any more")

// Outcome tells what became of a change, which may still be running. One that the store does not know is fenced
// off first: should its proposal still be on its way, it finds the record that it compares with rewritten.
func (s Store) Outcome(ctx context.Context, id string) (rollout.Change, error) {
	var from int64
	if n, err := fmt.Sscanf(id, "%d-", &from); n != 1 || err != nil {
		return rollout.Change{}, fmt.Errorf("%q is not the id of a change", id)
	}
	for {
		v, err := s.View(ctx)
		if err != nil {
			return rollout.Change{}, err
		}
		if v.Change != nil && v.Change.ID == id {
			return *v.Change, nil
		}
		ended, err := s.History(ctx)
		if err != nil {
			return rollout.Change{}, err
		}
		for _, c := range ended {
			if c.ID == id {
				return c, nil
			}
		}
		rev := int64(0)
		if v.Change != nil {
			rev = v.Change.Rev
		}
		if rev != from {
			return rollout.Change{}, ErrNoChange
		}
		fence := rollout.Change{ID: "fence", Phase: rollout.Aborted, Reason: "fences off " + id}
		if v.Change != nil {
			fence = *v.Change
		}
		if _, err := s.move(ctx, from, &fence); err != nil && !errors.Is(err, etcd.ErrUnknown) {
			return rollout.Change{}, err
		}
	}
}

func (s Store) all(ctx context.Context, prefix string, each func(*mvccpb.KeyValue) error) error {
	r, err := s.Range(ctx, etcd.Under(prefix, false))
	if err != nil {
		return err
	}
	for _, pair := range r.Kvs {
		if err := each(pair); err != nil {
			return fmt.Errorf("%s: %w", pair.Key, err)
		}
	}
	return nil
}

// History lists the ended changes that are kept, the oldest first.
func (s Store) History(ctx context.Context) (out []rollout.Change, err error) {
	err = s.all(ctx, history, func(pair *mvccpb.KeyValue) error {
		var c rollout.Change
		if err := json.Unmarshal(pair.Value, &c); err != nil {
			return err
		}
		out = append(out, c)
		return nil
	})
	return out, err
}

// NoVersionError says that a version is not in the store, or that none is in force where Version is 0.
type NoVersionError struct{ Version int64 }

func (e *NoVersionError) Error() string {
	if e.Version == 0 {
		return "no policy is in force"
	}
	return fmt.Sprintf("version %d is not kept", e.Version)
}

// Advice says what an operator can do.
func (e *NoVersionError) Advice() string { return "'sumactl policy history' lists what there was" }

// Version reads a version that is kept; 0 stands for the current one.
func (s Store) Version(ctx context.Context, n int64) (out rollout.Version, err error) {
	key := currentKey
	if n > 0 {
		key = numbered(versions, n)
	}
	r, err := s.Range(ctx, &pb.RangeRequest{Key: []byte(key)})
	if err != nil {
		return out, err
	}
	if len(r.Kvs) == 0 {
		return out, &NoVersionError{n}
	}
	return out, json.Unmarshal(r.Kvs[0].Value, &out)
}

// Remove declares a router gone that holds its registration without a lease. The caller answers for its being down:
// one that still runs serves on under the version that it has.
func (s Store) Remove(ctx context.Context, name string) error {
	v, err := s.View(ctx)
	if err != nil {
		return err
	}
	r, named := v.Routers[name]
	switch {
	case !named:
		return fmt.Errorf("no router %q is registered: 'sumactl routers' lists them", name)
	case r.OnLapse != rollout.Keep:
		return fmt.Errorf("router %q holds a lease: a change passes it by itself once that is over, at most %v after it was last heard", name, time.Duration(r.LeaseMs)*time.Millisecond)
	case r.Lease != 0:
		return fmt.Errorf("router %q is alive: stop it first", name)
	}
	t, err := s.Txn(ctx, &pb.TxnRequest{Compare: []*pb.Compare{etcd.At(routers+name, r.Rev), etcd.At(alive+name, 0)},
		Success: []*pb.RequestOp{etcd.Del(routers + name), etcd.Del(acks + name)}})
	if err == nil && !t.Succeeded {
		err = fmt.Errorf("router %q has just come back: look again", name)
	}
	return err
}
