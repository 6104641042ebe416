package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"

	"sumacloft/internal/decide/gather"
	"sumacloft/internal/decide/outage"
	"sumacloft/internal/etcd"
	fleetoutage "sumacloft/internal/fleet/outage"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/protobuf/proto"
)

// Gathered are the reports of a view as the regions' gatherers write them, in the order of the regions.
func Gathered(s Size, v outage.View) []*gather.Record[outage.Report] {
	var out []*gather.Record[outage.Report]
	for i, r := range v.Reports {
		if i < s.Regions {
			out = append(out, &gather.Record[outage.Report]{Format: gather.Format, Region: s.region(i), Seq: 1000, By: r.Router, Boot: r.Boot, Entries: map[string]gather.Entry[outage.Report]{}})
		}
		out[i%s.Regions].Entries[r.Router] = gather.Entry[outage.Report]{Boot: r.Boot, Number: 1000, AgeMs: 700, Report: r}
	}
	return out
}

// deciders is how many routers read all records where not all do ([outage], deciders).
const deciders = 3

// FewCost is what a loop's cost becomes when a few routers decide, and the others read who is registered every ten seconds.
func FewCost(c Cost) Cost {
	few := float64(min(deciders, c.Routers))
	c.Loop += ", 3 decide"
	live := 200.0 * float64(c.Routers) // a registration has some 200 bytes
	c.Read = c.Read*few/float64(c.Routers) + (float64(c.Routers)-few)*(live+float64(c.State))/10
	return c
}

// GatheredCost measures the loop on outages with reports gathered by region: a record of each region once a period, read by the
// few routers that decide; all others read the state when it changes. Sent is what routers send to their gatherers.
func GatheredCost(s Size, seed uint64) (Cost, error) {
	t := gather.Settings{}.WithDefaults()
	v := Outages(s, seed)
	c := Cost{Loop: "outages, gathered", Size: s, PeriodMs: t.PeriodMs, State: written(fleetoutage.StateKey, v.Last, fence(fleetoutage.StateKey, s.router(0))...)}
	records := Gathered(s, v)
	var packed [][]byte
	total := 0.0
	for _, r := range records {
		data, err := gather.Pack(r, gather.MaxPacked)
		if err != nil {
			return c, err
		}
		packed = append(packed, data)
		key := fleetoutage.Root + "gathered/" + r.Region
		total += float64(proto.Size(&pb.TxnRequest{Compare: fence(key, r.By), Success: []*pb.RequestOp{etcd.Put(key, data, 0)}}))
	}
	n, second := float64(len(records)), 1000/t.PeriodMs
	c.Report, c.Writes, c.Written = total/n, n*second, total*second
	readers := float64(min(deciders, s.Routers))
	watchers := n * float64(min(t.Watchers, s.Routers/len(records))) // who gathers and the next ones read their own region's record
	c.Read = second * (readers*(total+float64(c.State)) + watchers*c.Report)
	c.Change = float64(c.State) * float64(1+s.Routers)
	one := *records[0]
	for name, l := range records[0].Entries {
		one.Entries = map[string]gather.Entry[outage.Report]{name: l}
	}
	alone, err := gather.Pack(&one, gather.MaxPacked)
	if err != nil {
		return c, err
	}
	c.Sent = float64(s.Routers) * second * float64(len(alone))
	c.ReadMs = least(5, func() {
		for i, data := range packed {
			if records[i], err = gather.Unpack(records[i].Region, data); err != nil {
				return
			}
			records[i].Rev = int64(i + 1)
		}
	})
	if err != nil {
		return c, err
	}
	boots := map[string]string{}
	for name, r := range v.Routers {
		boots[name] = r.Boot
	}
	v.Model.ReportMs = t.PeriodMs
	d, direct := outage.Decider{Router: s.first("outage")}, v.Reports
	c.DecideMs = least(5, func() {
		v.Reports = gather.Reports(records, boots, "")
		d.Next(v, 0)
	})
	var states [2][]byte
	for i, reports := range [][]outage.Report{v.Reports, direct} {
		v.Reports = reports
		if states[i], err = json.Marshal((&outage.Decider{Router: d.Router}).Next(v, 0)); err != nil {
			return c, err
		}
	}
	if !bytes.Equal(states[0], states[1]) {
		return c, &DiffersError{s}
	}
	return c, nil
}

// DiffersError says that a decision on gathered reports is another than that on the reports themselves.
type DiffersError struct{ Size }

func (e *DiffersError) Error() string {
	return fmt.Sprintf("%d routers, %d servers: the decision on gathered reports differs from that on each router's", e.Routers, e.Servers)
}

// Advice says what an operator can do.
func (e *DiffersError) Advice() string {
	return "it is a fault of the program: keep the seed and report it"
}
