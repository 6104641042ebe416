// Package etcdtest has a store of one node for the tests of packages that use one.
package etcdtest

import (
	"io"
	"testing"
	"time"

	"google.golang.org/grpc"

	"sumacloft/internal/etcd"
	"sumacloft/internal/standin"
	"sumacloft/internal/store"
)

// Serve serves a store of one node on loopback, which leads by then; stop ends it before the test does. A reserved key
// is not written there, with the reason given.
func Serve(t testing.TB, reserved map[string]string) (endpoint string, stop func()) {
	t.Helper()
	raft, client := standin.Listen(t), standin.Listen(t)
	p := store.Peer{ID: "one", Raft: raft.Addr().String(), Client: client.Addr().String()}
	_ = raft.Close() // the node opens it again
	n, err := store.Open(store.Options{Self: p, Peers: []store.Peer{p}, Log: io.Discard, Heartbeat: 60 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	etcd.Register(server, n, reserved)
	go func() { _ = server.Serve(client) }()
	stop = func() { server.Stop(); _ = n.Close() }
	t.Cleanup(stop)
	standin.Eventually(t, 5*time.Second, "the node leads", func() bool { return n.IsLeader() && n.ReadBarrier() == nil })
	return p.Client, stop
}

// Client is a client of a store, closed as the test ends.
func Client(t testing.TB, endpoint string) *etcd.Client {
	t.Helper()
	c, err := etcd.NewClient([]string{endpoint})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}
