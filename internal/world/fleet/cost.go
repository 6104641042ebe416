package fleet

import (
	"encoding/json"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/protobuf/proto"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/reuse"
	"sumacloft/internal/decide/samples"
	"sumacloft/internal/etcd"
	fleetoutage "sumacloft/internal/fleet/outage"
	fleetsamples "sumacloft/internal/fleet/samples"
)

// Cost is what one control loop costs a fleet at rest, but for the decision itself.
type Cost struct {
	Loop string `json:"loop"`
	Size
	PeriodMs float64 `json:"period_ms"`
	// Report and State are bytes, as the transaction has them that writes one, its key and comparisons included.
	Report float64 `json:"report_bytes"` // mean over routers
	State  int     `json:"state_bytes"`
	// Writes and Written are a second at the store, by reports alone; Read is what all routers together read of it.
	Writes  float64 `json:"writes_s"`
	Written float64 `json:"written_bytes_s"`
	Read    float64 `json:"read_bytes_s"`
	// Change is what one change of the state adds: its write and what every router reads and writes at it, in bytes.
	Change float64 `json:"change_bytes"`
	// Sent is what routers send one another, a second.
	Sent float64 `json:"sent_bytes_s,omitempty"`
	// ReadMs is how long one router takes to decode all reports, DecideMs one decision on them, on this machine; the least of a few.
	ReadMs   float64 `json:"decode_ms"`
	DecideMs float64 `json:"decide_ms"`
}

// written is how many bytes a write of a value has, as a transaction.
func written(key string, value any, compares ...*pb.Compare) int {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // what is written here has no cycles and no NaN
	}
	return proto.Size(&pb.TxnRequest{Compare: compares, Success: []*pb.RequestOp{etcd.Put(key, data, 0)}})
}

// fence is what a write of a state compares: the state's revision, a registration and a sign of life.
func fence(key, router string) []*pb.Compare {
	return []*pb.Compare{etcd.At(key, 1<<40), etcd.At("/sumacloft/live/routers/"+router, 1<<40), etcd.At("/sumacloft/live/alive/"+router, 1<<40)}
}

// least is the shortest time of a few runs, in milliseconds.
func least(runs int, do func()) float64 {
	best := time.Duration(1 << 62)
	for range runs {
		from := time.Now()
		do()
		best = min(best, time.Since(from))
	}
	return float64(best) / float64(time.Millisecond)
}

// decodes has all values of a kind decoded.
func decodes[T any](values []T) float64 {
	some := values[:min(len(values), 50)]
	var list [][]byte
	for _, v := range some {
		data, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		list = append(list, data)
	}
	return least(3, func() {
		for _, data := range list {
			var v T
			if err := json.Unmarshal(data, &v); err != nil {
				panic(err)
			}
		}
	}) * float64(len(values)) / float64(len(some))
}

// rates fills in what follows from the sizes of records: each router reports once a period and reads all reports and the state
// for its decision, and what lies besides under the loop's prefix. At a change each router reads again (all of it, or the state alone) and some report again.
func (c *Cost) rates(besides float64, wholeAtChange, reportsAtChange bool) {
	n := float64(c.Routers)
	all := n*c.Report + float64(c.State) + besides
	c.Writes = n * 1000 / c.PeriodMs
	c.Written, c.Read = c.Writes*c.Report, c.Writes*all
	c.Change = float64(c.State) + n*float64(c.State)
	if wholeAtChange {
		c.Change = float64(c.State) + n*all
	}
	if reportsAtChange {
		c.Change += n * c.Report
	}
}

// OutageCost measures the loop on outages.
func OutageCost(s Size, seed uint64) Cost {
	v := Outages(s, seed)
	c := Cost{Loop: "outages", Size: s, PeriodMs: v.Model.WithDefaults().ReportMs, State: written(fleetoutage.StateKey, v.Last, fence(fleetoutage.StateKey, s.router(0))...)}
	for _, r := range v.Reports {
		c.Report += float64(written(fleetoutage.Root+"reports/"+r.Router, r)) / float64(s.Routers)
	}
	c.rates(0, false, true)
	c.ReadMs = decodes(v.Reports)
	for i, r := range v.Reports { // as a decider has them: each decoded by itself
		if data, err := json.Marshal(r); err == nil {
			v.Reports[i] = outage.Report{Rev: r.Rev}
			_ = json.Unmarshal(data, &v.Reports[i])
		}
	}
	d := outage.Decider{Router: s.first("outage")}
	c.DecideMs = least(5, func() { d.Next(v, 0) })
	return c
}

// SamplesCost measures the loop on samples.
func SamplesCost(s Size, seed uint64) Cost {
	v := Samples(s, seed)
	c := Cost{Loop: "samples", Size: s, PeriodMs: samples.Defaults.ReportMs, State: written(fleetsamples.BoardKey, v.Last, fence(fleetsamples.BoardKey, s.router(0))...)}
	for _, r := range v.Reports {
		c.Report += float64(written("/sumacloft/samples/reports/"+r.Router+"/"+r.Boot, r)) / float64(s.Routers)
	}
	epochs := 0
	for _, e := range v.Last.Closed {
		epochs += written(fleetsamples.EpochKey(e.Number), e)
	}
	c.rates(float64(epochs), false, false)
	c.ReadMs = decodes(v.Reports)
	d := samples.Decider{Router: s.router(0)}
	c.DecideMs = least(5, func() { d.Next(v, time.Minute) })
	return c
}

// CopiesCost measures the records of the loop on copies; its decisions are measured with them (docs/REUSE.md).
func CopiesCost(s Size, seed uint64) Cost {
	r, state := Copies(s, seed)
	c := Cost{Loop: "copies", Size: s, PeriodMs: 1000, Report: float64(written("/sumacloft/reuse/reports/"+s.router(0), r)), State: written("/sumacloft/reuse/state", state, fence("/sumacloft/reuse/state", s.router(0))...)}
	c.rates(0, true, false)
	c.ReadMs = decodes([]reuse.Report{r}) * float64(s.Routers)
	return c
}
