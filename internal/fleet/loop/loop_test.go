package loop_test

import (
	"context"
	"errors"
	"testing"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/etcd"
	"sumacloft/internal/etcd/etcdtest"
	"sumacloft/internal/fleet/loop"
)

type record struct {
	Format int    `json:"format"`
	Text   string `json:"text"`
}

func openStore(t *testing.T) loop.Store[record, record] {
	t.Helper()
	endpoint, _ := etcdtest.Serve(t, nil)
	client := etcdtest.Client(t, endpoint)
	return loop.Store[record, record]{Client: client, Prefix: "/loop/", StateName: "state", Format: 1}
}

func put(t *testing.T, s loop.Store[record, record], key, value string) int64 {
	t.Helper()
	op := etcd.Put(key, []byte(value), 0)
	if value == "" {
		op = etcd.Del(key)
	}
	r, err := s.Txn(context.Background(), &pb.TxnRequest{Success: []*pb.RequestOp{op}})
	if err != nil {
		t.Fatal(err)
	}
	return r.Header.Revision
}

// A router that was paused between read and write, and whose registration has ended, writes nothing even if the state has
// not changed. A registered router replaces only the revision that it read.
func TestWritesAreFenced(t *testing.T) {
	s, ctx := openStore(t), context.Background()
	fence := []*pb.Compare{etcd.At("/registered/d1", put(t, s, "/registered/d1", "boot 1"))}
	rev, err := s.ReplaceState(ctx, 0, &record{Text: "first"}, fence)
	if err != nil {
		t.Fatal(err)
	}
	var moved *loop.MovedError
	if _, err := s.ReplaceState(ctx, 0, &record{Text: "late"}, fence); !errors.As(err, &moved) || moved.Now != rev {
		t.Fatalf("write over another router's state: %v", err)
	}
	put(t, s, "/registered/d1", "")       // the lease expires
	put(t, s, "/registered/d1", "boot 2") // registers again, at a new revision
	var fenced *loop.FencedError
	if _, err := s.ReplaceState(ctx, rev, &record{Text: "from the past"}, fence); !errors.As(err, &fenced) {
		t.Fatalf("write under an expired registration: %v", err)
	}
	if v, err := s.ReadAll(ctx, false); err != nil || v.State.Text != "first" || v.StateRev != rev {
		t.Fatalf("state after the fenced write: %+v %v", v.State, err)
	}
}

// A state in a newer format is read but not writable. An unreadable record is listed as a fault, and all others are read.
func TestNewerAndUnreadableRecords(t *testing.T) {
	s, ctx := openStore(t), context.Background()
	if err := s.WriteReport(ctx, "d1", record{Text: "well"}); err != nil {
		t.Fatal(err)
	}
	put(t, s, "/loop/reports/d2", "{torn")
	put(t, s, "/loop/state", `{"format":2,"text":"of tomorrow","more":[1]}`)
	put(t, s, "/loop/wishes/x", "y")
	v, err := s.ReadAll(ctx, false)
	if err != nil || v.State == nil || v.State.Text != "of tomorrow" || !v.Newer || v.Writable() {
		t.Fatalf("newer state: %+v %v", v, err)
	}
	if len(v.Faults) != 1 || v.Faults[0].Key != "/loop/reports/d2" || v.Reports["d1"].Value.Text != "well" || string(v.Others["wishes/x"]) != "y" {
		t.Fatalf("%+v", v)
	}
	if state, err := s.ReadState(ctx, true); err != nil || state.StateRev != v.StateRev || state.State.Text != v.State.Text || !state.Newer || len(state.Reports) != 0 {
		t.Fatalf("read without reports: %+v %v", state, err)
	}
	put(t, s, "/loop/state", "{torn")
	if v, err = s.ReadAll(ctx, false); err != nil || v.State != nil || v.Writable() || len(v.Faults) != 2 {
		t.Fatalf("unreadable state must not be writable: %+v %v", v, err)
	}
}
