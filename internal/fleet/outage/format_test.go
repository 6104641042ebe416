package outage

import (
	"strings"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"

	"sumacloft/internal/decide/outage"
)

// A state of the next format is followed, refused by name and never decided on; one that can't be read stands in the way of no
// report; one of this format is decided on.
func TestStatesOfOtherFormats(t *testing.T) {
	read := func(state string) (v outage.View, refused error, writable bool) {
		all := NewStore(nil).Decode(&pb.RangeResponse{Header: &pb.ResponseHeader{}, Kvs: []*mvccpb.KeyValue{
			{Key: []byte(StateKey), Value: []byte(state), ModRevision: 7},
			{Key: []byte(Root + "reports/d1"), Value: []byte(`{"router":"d1","boot":"b","sees":{}}`), ModRevision: 8}}})
		return seen(all), all.FormatErr(), all.Writable()
	}
	decided := func(v outage.View) bool {
		v.Model = outage.Model{Workers: 1, Routers: 1}
		v.Routers = map[string]outage.Registration{"d1": {Boot: "b", Live: true}}
		d := outage.Decider{Router: "d1"}
		return d.Next(v, 0) != nil || d.Next(v, time.Minute) != nil
	}
	const body = `"seq":3,"permits":{"server/s1":{"id":2,"for":"hand","stage":"of tomorrow"}},"more":[1]}`
	v, refused, writable := read(`{"format":2,` + body)
	if v.Last == nil || len(v.Last.Permits) != 1 || len(v.Reports) != 1 || writable || refused == nil || !strings.Contains(refused.Error(), "format 2") || decided(v) {
		t.Errorf("of the next format: %+v, refused as %v, writable %v", v, refused, writable)
	}
	if v, refused, writable = read(`{"format":1,"seq":3}`); refused != nil || !writable || !decided(v) {
		t.Errorf("of this format: %+v, refused as %v, writable %v", v, refused, writable)
	}
	if v, _, writable = read(`{"format":2,"permits":[1]}`); v.Last != nil || writable || len(v.Reports) != 1 {
		t.Errorf("one that can't be read: %+v, writable %v", v, writable)
	}
}
