package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc"

	"sumacloft/internal/decide/samples"
	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/policy"
	fleetsamples "sumacloft/internal/fleet/samples"
)

// TuningClasses are the classes of the fleets with tuning workers: samples are asked for beside interactive requests.
const TuningClasses = SiteClasses + sampleClass

const sampleClass = `[[chat.class]]
name = "sample"
models = ["sample"]
effect = "safe"
handover = true
samples = true
aim_ms = 4000
deadline_ms = 6000
whole_ms = 6000
worth = 0.1
`

// TuningPlan is how the laboratory's fleets weigh samples.
const TuningPlan = `[samples]
batch = 40
epoch_ms = 4000
stale_most = 4
hold_ms = 2000
half_life_ms = 20000
clerks_most = 0.2
clerks_calm_ms = 1000
clerks_rise_ms = 3000
report_ms = 200
`

// TuningFleet is a fleet of six routers, five members of the store and nine servers in three sites, two of them four times
// slower than the others, with a tuner and a deployer outside of it. A server's label ends in the version that it claims.
type TuningFleet struct {
	*OutageFleet
	tuner *tuner
	liars map[string]int64 // servers that go on with a version whatever their label says
}

// slowServers are the places of those that are four times slower.
var slowServers = []int{4, 8}

// OpenTuning makes the fleet; nothing but its servers runs yet.
func OpenTuning(o Options) (*TuningFleet, error) {
	f := &TuningFleet{liars: map[string]int64{}}
	args := func(i int, label string) []string {
		if runs, lies := f.liars[serverName(i)]; lies {
			label = "w" + strconv.FormatInt(runs, 10)
		}
		out := []string{"--mark", label}
		if slices.Contains(slowServers, i) {
			out = append(out, "--slow", "4")
		}
		return out
	}
	o.Classes, o.Args = TuningClasses, func(i int) []string { return args(i, "w1") }
	var err error
	if f.OutageFleet, err = OpenOutages(o, OutagePlan+TuningPlan); err != nil {
		return nil, err
	}
	f.args = args
	f.tuner = &tuner{f: f, version: 1, pace: 2500 * time.Millisecond}
	return f, nil
}

// Up starts all daemons and waits until they are ready and know which version each server runs.
func (f *TuningFleet) Up(ctx context.Context) error {
	if err := f.OutageFleet.Up(ctx); err != nil {
		return err
	}
	if err := f.recordAll(ctx, "w1"); err != nil {
		return err
	}
	return f.tuned(ctx)
}

// tuned publishes the first version and waits until the board knows it, all servers and all routers.
func (f *TuningFleet) tuned(ctx context.Context) error {
	if err := answered(ctx, func() error { _, err := f.tuner.put(ctx); return err }); err != nil {
		return err
	}
	var last *samples.State
	if !until(ctx, within, func() bool {
		time.Sleep(50 * time.Millisecond)
		last = f.Board(ctx)
		return last != nil && len(last.Workers) == 9 && last.Version == 1 && len(last.Watermarks) == 6
	}) {
		return &NotSeenError{"a board with nine workers and six routers", fmt.Sprintf("%+v", last)}
	}
	return nil
}

// answered repeats a write of the start until the store has answered it, or gives the last failure: a store that has just come up
// beside other load may let a write run out of time, and the same write again changes nothing.
func answered(ctx context.Context, write func() error) (err error) {
	until(ctx, within, func() bool {
		err = write()
		return err == nil
	})
	return err
}

// Board reads the board; nil: there is none, or nobody answers.
func (f *TuningFleet) Board(ctx context.Context) *samples.State {
	ctx, done := context.WithTimeout(ctx, time.Second)
	defer done()
	r, err := f.kv.Range(ctx, &pb.RangeRequest{Key: []byte(fleetsamples.BoardKey)})
	if err != nil || len(r.Kvs) == 0 {
		return nil
	}
	s, err := samples.ReadState(r.Kvs[0].Value)
	if err != nil {
		f.fault("a board that can't be read: %v", err)
		return nil
	}
	s.Rev = r.Kvs[0].ModRevision
	return s
}

// Boards are all boards that there ever were, and what a router wrote that was not registered: one watch has both in the
// store's order.
func (f *TuningFleet) Boards(ctx context.Context) (list []*samples.State, wrong []string, err error) {
	ctx, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	var last *pb.RangeResponse
	until(ctx, 10*time.Second, func() bool { // the store may be about to choose a leader
		last, err = f.kv.Range(ctx, &pb.RangeRequest{Key: []byte(fleetsamples.BoardKey)})
		return err == nil
	})
	if err != nil || len(last.Kvs) == 0 {
		return nil, nil, errors.Join(err, errors.New("no board was ever written"))
	}
	w, err := pb.NewWatchClient(f.kv.Conn(0)).Watch(ctx, grpc.MaxCallRecvMsgSize(256<<20)) // a message has many boards
	if err != nil {
		return nil, nil, err
	}
	if err := w.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_CreateRequest{CreateRequest: &pb.WatchCreateRequest{
		Key: []byte(policy.Routers), RangeEnd: []byte(fleetsamples.BoardKey + "\x00"), StartRevision: 1}}}); err != nil {
		return nil, nil, err
	}
	registered := map[string]bool{}
	for {
		r, err := w.Recv()
		if err != nil {
			return nil, nil, err
		}
		if r.CompactRevision > 0 {
			return nil, nil, fmt.Errorf("the history before revision %d is gone", r.CompactRevision)
		}
		for _, ev := range r.Events {
			if name, is := strings.CutPrefix(string(ev.Kv.Key), policy.Routers); is {
				registered[name] = ev.Type == mvccpb.PUT
			}
			if string(ev.Kv.Key) != fleetsamples.BoardKey {
				continue
			}
			s, err := samples.ReadState(ev.Kv.Value)
			if err != nil {
				return nil, nil, err
			}
			if list = append(list, s); !registered[s.By] {
				wrong = append(wrong, fmt.Sprintf("board %d, epoch %d, was written by %s, which was not registered", s.Seq, s.Open.Number, s.By))
			}
			if ev.Kv.ModRevision >= last.Kvs[0].ModRevision {
				return list, wrong, nil
			}
		}
	}
}

// revoke ends a router's registration.
func (f *TuningFleet) revoke(ctx context.Context, router string) error {
	ctx, done := context.WithTimeout(ctx, 5*time.Second)
	defer done()
	r, err := f.kv.Range(ctx, &pb.RangeRequest{Key: []byte(policy.Routers + router)})
	if err != nil || len(r.Kvs) == 0 {
		return err
	}
	return f.kv.Revoke(ctx, r.Kvs[0].Lease)
}

// tuner stands for what tunes the model: it reads closed epochs in their order by etcd's API, and after each publishes the
// next version, by a compare on its own last write.
type tuner struct {
	f       *TuningFleet
	pace    time.Duration // a version
	version int64
	taken   int64
	rev     int64
	epochs  []samples.Epoch
	stop    bool
}

// put publishes what the tuner has; false: another has written meanwhile.
func (t *tuner) put(ctx context.Context) (bool, error) {
	ctx, done := context.WithTimeout(ctx, 5*time.Second)
	defer done()
	value := fmt.Sprintf(`{"version": %d, "epoch": %d}`, t.version, t.taken)
	r, err := t.f.kv.Txn(ctx, &pb.TxnRequest{Compare: []*pb.Compare{etcd.At(fleetsamples.VersionKey, t.rev)},
		Success: []*pb.RequestOp{etcd.Put(fleetsamples.VersionKey, []byte(value), 0)}, Failure: []*pb.RequestOp{etcd.Get(&pb.RangeRequest{Key: []byte(fleetsamples.VersionKey)})}})
	if err != nil {
		return false, err
	}
	if !r.Succeeded { // its own write, whose answer was lost, or another's
		kvs := r.Responses[0].GetResponseRange().GetKvs()
		if len(kvs) == 0 || string(kvs[0].Value) != value {
			return false, nil
		}
		t.rev = kvs[0].ModRevision
		return true, nil
	}
	t.rev = r.Header.Revision
	return true, nil
}

// next takes the next epoch if it is closed.
func (t *tuner) next(ctx context.Context) bool {
	call, done := context.WithTimeout(ctx, time.Second)
	defer done()
	r, err := t.f.kv.Range(call, &pb.RangeRequest{Key: []byte(fleetsamples.EpochKey(t.taken + 1))})
	if err != nil || len(r.Kvs) == 0 {
		return false
	}
	var e samples.Epoch
	if err := json.Unmarshal(r.Kvs[0].Value, &e); err != nil || e.Number != t.taken+1 {
		t.f.fault("epoch %d reads %.100s: %v", t.taken+1, r.Kvs[0].Value, err)
		return false
	}
	t.epochs, t.taken = append(t.epochs, e), e.Number
	return true
}

// run tunes until ctx ends.
func (t *tuner) run(ctx context.Context, steps <-chan func(context.Context)) {
	due := time.Now().Add(t.pace)
	for {
		select {
		case <-ctx.Done():
			return
		case step := <-steps:
			step(ctx)
		case <-time.After(50 * time.Millisecond):
		}
		if t.stop || time.Now().Before(due) || !t.next(ctx) {
			continue
		}
		due = time.Now().Add(t.pace)
		t.version++
		t.insist(ctx)
	}
}

// insist publishes until that is taken.
func (t *tuner) insist(ctx context.Context) {
	for ctx.Err() == nil {
		ok, err := t.put(ctx)
		if err == nil && !ok {
			t.f.fault("another has written the version that the tuner keeps")
		}
		if err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// repeat publishes the version that the board has a second time, and waits until the board has counted that. A board that is
// written from the newest value in the store can't see two writes between which it does not read, so the tuner publishes
// nothing else meanwhile.
func (t *tuner) repeat(ctx context.Context) {
	before := t.awaitBoard(ctx, func(s *samples.State) bool { return s.Version == t.version })
	t.insist(ctx)
	t.awaitBoard(ctx, func(s *samples.State) bool { return s.Republished > before.Republished })
}

// goBack publishes the version before the one that the board has, and waits until the board has counted that.
func (t *tuner) goBack(ctx context.Context) {
	before := t.awaitBoard(ctx, func(s *samples.State) bool { return s.Version == t.version })
	t.version--
	t.insist(ctx)
	t.version++
	t.awaitBoard(ctx, func(s *samples.State) bool { return s.OlderPublished > before.OlderPublished })
}

// awaitBoard waits for a condition on the board and returns the last board that it read. A condition that is not met in
// time is left to the schedule's next step, which waits for the same and fails.
func (t *tuner) awaitBoard(ctx context.Context, is func(s *samples.State) bool) samples.State {
	var last samples.State
	until(ctx, within, func() bool {
		time.Sleep(20 * time.Millisecond)
		s := t.f.Board(ctx)
		if s != nil {
			last = *s
		}
		return s != nil && is(s)
	})
	return last
}
