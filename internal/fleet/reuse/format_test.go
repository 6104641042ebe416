package reuse

import (
	"strings"
	"testing"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
)

// A state of the next format is followed where it is sound, refused by name, and never to be written.
func TestStatesOfOtherFormats(t *testing.T) {
	store := Records(nil)
	for _, c := range []struct {
		state, refused   string
		copies           int
		sound, writeable bool
	}{
		{`{"format":2,"seq":1,"orders":1,"copies":[{"id":1,"prefix":15,"tokens":9,"from":"a","to":"b","server":"s1","phase":"here"}],"more":1}`, "format 2", 1, true, false},
		{`{"format":1,"seq":1}`, "", 0, true, true},
		{`{"format":2,"seq":1,"orders":1,"copies":[{"id":1,"prefix":15,"tokens":9,"from":"a","to":"b","server":"s1","phase":"of tomorrow"}]}`, "format 2", 1, false, false},
		{`{"format":2,"copies":{}}`, "format 2", 0, false, false},
	} {
		all := store.Decode(&pb.RangeResponse{Header: &pb.ResponseHeader{}, Kvs: []*mvccpb.KeyValue{{Key: []byte(store.StateKey()), Value: []byte(c.state), ModRevision: 7}}})
		err := all.FormatErr()
		if all.Writable() != c.writeable || (err != nil) != (c.refused != "") || err != nil && !strings.Contains(err.Error(), c.refused) {
			t.Errorf("%s: writable %v, refused as %v", c.state, all.Writable(), err)
		}
		if sound := all.State != nil && all.State.Check() == nil; sound != c.sound || all.State != nil && len(all.State.Copies) != c.copies {
			t.Errorf("%s: read as %+v", c.state, all.State)
		}
	}
}
