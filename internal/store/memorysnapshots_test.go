package store

import (
	"io"
	"testing"

	"github.com/hashicorp/raft"
)

// A snapshot that is still being written was listed, and could be sent half written.
func TestOnlyCompleteSnapshotsAreListed(t *testing.T) {
	var store raft.SnapshotStore = &memorySnapshots{}
	begin := func(index uint64) raft.SnapshotSink {
		t.Helper()
		sink, err := store.Create(raft.SnapshotVersionMax, index, 2, raft.Configuration{}, 1, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := sink.Write([]byte("state")); err != nil {
			t.Fatal(err)
		}
		return sink
	}
	listed := func(want uint64) {
		t.Helper()
		list, err := store.List()
		if err != nil || (want == 0) != (len(list) == 0) || want > 0 && list[0].Index != want {
			t.Fatalf("listed %+v, %v, want index %d", list, err, want)
		}
	}
	sink := begin(10)
	listed(0)
	if err := sink.Close(); err != nil {
		t.Fatal(err)
	}
	listed(10)
	older, cancelled := begin(5), begin(20)
	listed(10)
	if err := older.Close(); err != nil {
		t.Fatal(err)
	}
	if err := cancelled.Cancel(); err != nil {
		t.Fatal(err)
	}
	listed(10)
	meta, reader, err := store.Open(sink.ID())
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(reader)
	if err != nil || string(data) != "state" || meta.Size != 5 {
		t.Fatalf("%q of size %d, %v", data, meta.Size, err)
	}
}
