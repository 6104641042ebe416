package samples

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/decide/samples"
	"sumacloft/internal/decide/turn"
	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/loop"
)

// A sample is written down in the transaction that writes down the end of its request, before its client has the last of
// it: endedPart is where, by router, process and key. Whoever reports it takes that record away once the board has counted
// it. So what has ended is counted also if its router dies before it has reported it: a survivor finds the record, reports
// it, and the key sees to it that it counts once.
const endedPart = "ended/"

func (a *Agent) endedKey(key uint64) string {
	return fmt.Sprintf("%s%s%s/%s/%016x", root, endedPart, a.o.Name, a.o.Boot, key)
}

// Written is what goes along with the end of a request that came to a sample.
func (a *Agent) Written(s samples.Sample) *pb.RequestOp {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err) // it holds nothing that can't be encoded
	}
	return etcd.Put(a.endedKey(s.Key), data, 0)
}

// clearMost bounds the records that are taken away in one transaction.
const clearMost = 100

// drop takes away the records of samples that are counted.
func (a *Agent) drop(ctx context.Context) {
	for {
		a.mu.Lock()
		n := min(len(a.gone), clearMost)
		some := a.gone[:n]
		a.mu.Unlock()
		if n == 0 {
			return
		}
		txn := &pb.TxnRequest{}
		for _, key := range some {
			txn.Success = append(txn.Success, etcd.Del(key))
		}
		if _, err := a.store.Txn(ctx, txn); err != nil {
			return // they are tried again
		}
		a.mu.Lock()
		for _, key := range some {
			delete(a.taken, keyOf(key))
		}
		a.gone = append([]string(nil), a.gone[n:]...)
		a.mu.Unlock()
	}
}

// keyOf is a sample's key by that of its record.
func keyOf(record string) (key uint64) {
	_, _ = fmt.Sscanf(record[strings.LastIndexByte(record, '/')+1:], "%x", &key) // 0 for what is no record of ours
	return key
}

// adopt reports samples whose records have stood for so long that nobody else does: their router is silent, or it is this
// one, which has not heard that they were written down. Of the routers that report one sees to each record.
func (a *Agent) adopt(all loop.View[samples.Report, samples.State], others []string, period time.Duration) {
	for name, data := range all.Others {
		owner, ended := strings.CutPrefix(name, endedPart)
		if !ended || a.stood.Age(name, 1, a.now()) <= freshFor*period {
			continue
		}
		owner = owner[:max(strings.LastIndexByte(owner, '/'), 0)]
		mine := owner == a.name()
		if r, reports := all.Reports[owner]; !mine && reports && a.stood.Age(owner, r.Rev, a.now()) <= freshFor*period {
			continue
		}
		if !mine && turn.Rank(name, a.o.Name, others) != 0 {
			continue
		}
		var s samples.Sample
		if err := json.Unmarshal(data, &s); err != nil {
			a.says.Report(name, &samples.RecordError{What: name, Why: "no sample", Err: err})
			continue
		}
		a.mu.Lock()
		if _, known := a.taken[s.Key]; !known && len(a.ended) < MaxEnded/2 { // the rest waits where it is written down
			a.keep(s, root+name)
		}
		a.mu.Unlock()
	}
}
