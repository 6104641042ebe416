package siting

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/decide/sites"
	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/loop"
)

// Keys. All records have one prefix, so that one read returns them at one revision.
const (
	root         = "/sumacloft/sites/"
	postureKey   = root + "posture"
	ordersPrefix = root + "orders/"
)

// Store reads and writes the site records.
type Store struct{ *etcd.Client }

func (s Store) records() loop.Store[sites.Report, sites.Decision] {
	return loop.Store[sites.Report, sites.Decision]{Client: s.Client, Prefix: root, StateName: "posture"}
}

// View reads all records. With serializable set, one store member's copy is enough, which may be stale.
func (s Store) View(ctx context.Context, serializable bool) (v sites.View, err error) {
	records, err := s.records().ReadAll(ctx, serializable)
	if err != nil {
		return v, err
	}
	return toView(records)
}

// RangeAll returns the request for all records from one store member's copy, which may be stale.
func RangeAll() *pb.RangeRequest { return etcd.Under(root, true) }

// Decode decodes the records of a range response.
func Decode(r *pb.RangeResponse) (sites.View, error) { return toView(Store{}.records().Decode(r)) }

// toView converts stored records to the decider's input. Unreadable records are left out of the view and joined in err.
func toView(records loop.View[sites.Report, sites.Decision]) (v sites.View, err error) {
	v.Orders = map[string]sites.Orders{}
	if v.Last = records.State; v.Last != nil {
		v.Last.Rev = records.StateRev
	}
	for _, name := range records.Routers() {
		report := records.Reports[name].Value
		report.Rev = records.Reports[name].Rev
		v.Reports = append(v.Reports, report)
	}
	faults := records.Faults
	for key, value := range records.Others {
		name, found := strings.CutPrefix(root+key, ordersPrefix)
		if !found {
			continue
		}
		var siteOrders sites.Orders
		if err := json.Unmarshal(value, &siteOrders); err != nil {
			faults = append(faults, &loop.RecordError{Key: root + key, Err: err})
			continue
		}
		v.Orders[name] = siteOrders
	}
	for _, f := range faults {
		err = errors.Join(err, f)
	}
	return v, err
}

// SetOrders writes an operator's orders for a site. Empty orders delete the record.
func (s Store) SetOrders(ctx context.Context, site string, orders sites.Orders) error {
	if orders == (sites.Orders{}) {
		_, err := s.Txn(ctx, &pb.TxnRequest{Success: []*pb.RequestOp{etcd.Del(ordersPrefix + site)}})
		return err
	}
	data, err := json.Marshal(orders)
	if err != nil {
		return err
	}
	_, err = s.Txn(ctx, &pb.TxnRequest{Success: []*pb.RequestOp{etcd.Put(ordersPrefix+site, data, 0)}})
	return err
}
