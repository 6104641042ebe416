package store

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
)

// What a million records take: memory, and a snapshot's size and time. Run with -bench Million -benchtime 1x.
func BenchmarkMillionRecords(b *testing.B) {
	const records = 1_000_000
	value := bytes.Repeat([]byte("v"), 300)
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / (1 << 20)
	}
	for range b.N {
		before := heap()
		f := &fsm{newKV(), func() time.Duration { return 0 }}
		for i := range records {
			key := fmt.Appendf(nil, "/work/done/%032x", i)
			if _, err := f.txn(&pb.TxnRequest{Success: []*pb.RequestOp{{Request: &pb.RequestOp_RequestPut{RequestPut: &pb.PutRequest{Key: key, Value: value}}}}}); err != nil {
				b.Fatal(err)
			}
			if i%100_000 == 99_999 {
				if err := f.kv.compact(f.kv.revision() - 20_000); err != nil {
					b.Fatal(err)
				}
			}
		}
		b.ReportMetric(heap()-before, "MB")
		began := time.Now()
		data, err := f.kv.save()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data))/(1<<20), "snapshot-MB")
		b.ReportMetric(time.Since(began).Seconds(), "snapshot-s")
		began = time.Now()
		if err := f.Restore(io.NopCloser(bytes.NewReader(data))); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(time.Since(began).Seconds(), "restore-s")
	}
}
