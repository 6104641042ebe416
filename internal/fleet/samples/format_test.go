package samples

import (
	"strings"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"

	"sumacloft/internal/decide/samples"
)

// A board of the next format is followed, refused by name and never decided on; one of this format is.
func TestBoardsOfOtherFormats(t *testing.T) {
	store := NewStore(nil)
	for _, c := range []struct {
		board, refused string
		read, decided  bool
	}{
		{`{"format":2,"seq":4,"open":{"number":3},"more":"of tomorrow"}`, "format 2", true, false},
		{`{"format":1,"seq":4,"open":{"number":3}}`, "", true, true},
		{`{"format":2,"open":[3]}`, "format 2", false, false},
	} {
		all := store.Decode(&pb.RangeResponse{Header: &pb.ResponseHeader{}, Kvs: []*mvccpb.KeyValue{{Key: []byte(BoardKey), Value: []byte(c.board), ModRevision: 7}}})
		err := all.FormatErr()
		if all.Writable() != c.decided || (err != nil) != (c.refused != "") || err != nil && !strings.Contains(err.Error(), c.refused) || (all.State != nil) != c.read {
			t.Errorf("%s: writable %v, refused as %v, read as %+v", c.board, all.Writable(), err, all.State)
		}
		if !c.read {
			continue
		}
		d := samples.Decider{Router: "d1"}
		v := samples.View{Last: all.State, Policy: 2, Workers: []samples.Worker{{Name: "s1", Boot: "b", Label: 1}}}
		if next := d.Next(v, time.Second); (next != nil) != c.decided {
			t.Errorf("%s: decided as %+v", c.board, next)
		}
	}
}
