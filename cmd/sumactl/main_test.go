package main

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"sumacloft/internal/etcd"
	"sumacloft/internal/standin"
	"sumacloft/internal/store"
)

// The commands as a user types them, against a node of the store.
func TestCommands(t *testing.T) {
	raft, client := standin.Listen(t), standin.Listen(t)
	p := store.Peer{ID: "one", Raft: raft.Addr().String(), Client: client.Addr().String()}
	_ = raft.Close() // the node opens it again
	n, err := store.Open(store.Options{Self: p, Peers: []store.Peer{p}, Log: io.Discard, Heartbeat: 60 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	server := grpc.NewServer()
	etcd.Register(server, n)
	go func() { _ = server.Serve(client) }()
	t.Cleanup(server.Stop)
	standin.Eventually(t, 5*time.Second, "the node leads", func() bool { return n.Leads() && n.Fresh() == nil })
	conn, err := grpc.NewClient("passthrough:///"+p.Client, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	for _, c := range []struct{ line, in, out, fault string }{
		{line: "members"},
		{line: "drain s-1", fault: "not there"},
		{line: "serve s-1 127.0.0.1:9"},
		{line: "drain s-1"},
		{line: "members", out: `"phase":"DRAINING"`},
		{line: "put k -", in: "text\n"},
		{line: "get k", out: "text"},
		{line: "del k"},
		{line: "get k", fault: "not there"},
		{line: "remove s-1"},
		{line: "members"},
		{line: "put k", fault: "usage"},
		{line: "", fault: "usage"},
	} {
		var out bytes.Buffer
		ctl := ctl{pb.NewKVClient(conn), pb.NewWatchClient(conn), "m/", strings.NewReader(c.in), &out}
		err := ctl.run(context.Background(), strings.Fields(c.line))
		if c.fault == "" && (err != nil || !strings.Contains(out.String(), c.out) || (c.out == "" && out.Len() > 0)) {
			t.Errorf("%q: %q, %v", c.line, out.String(), err)
		}
		if c.fault != "" && (err == nil || !strings.Contains(err.Error(), c.fault)) {
			t.Errorf("%q: %v, must say %q", c.line, err, c.fault)
		}
	}
}
