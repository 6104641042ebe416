package message_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/message"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/rpc"
	"sumacloft/internal/mesh/topic"
)

// The fleet for which docs/CAPACITY.md gives figures.
const (
	fleetRouters  = 380
	fleetControls = 4
	fleetWorkers  = 600
)

// pipeNetwork is an in-memory network with one server. It counts the bytes of its connections in both directions together.
type pipeNetwork struct {
	incoming chan net.Conn
	bytes    atomic.Int64
}

func newPipeNetwork() *pipeNetwork { return &pipeNetwork{incoming: make(chan net.Conn)} }

func (p *pipeNetwork) Listen(string) (net.Listener, error) { return p, nil }

func (p *pipeNetwork) Dial(context.Context, string, network.DialOptions) (net.Conn, error) {
	near, far := net.Pipe()
	p.incoming <- far
	return &countedConn{Conn: near, bytes: &p.bytes}, nil
}

func (p *pipeNetwork) ListenPacket(string) (net.PacketConn, error) { return nil, net.ErrClosed }

func (p *pipeNetwork) Accept() (net.Conn, error) {
	conn, open := <-p.incoming
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (p *pipeNetwork) Close() error { return nil }

func (p *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 7700} }

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(into []byte) (int, error) {
	size, err := c.Conn.Read(into)
	c.bytes.Add(int64(size))
	return size, err
}

func (c *countedConn) Write(from []byte) (int, error) {
	size, err := c.Conn.Write(from)
	c.bytes.Add(int64(size))
	return size, err
}

// meshServer is an in-memory server of mesh calls with a client.
type meshServer struct {
	pipes  *pipeNetwork
	client *rpc.Client
	digest *replica.Digest // sent in each heartbeat response unless nil
}

const address = "10.0.0.1:7700"

func serve(t testing.TB) *meshServer {
	t.Helper()
	s := &meshServer{pipes: newPipeNetwork()}
	mux := http.NewServeMux()
	message.CallBeat.Handle(mux, func(context.Context, *message.Beat) (*message.BeatAnswer, error) {
		return &message.BeatAnswer{Digest: s.digest}, nil
	})
	message.CallSync.Handle(mux, func(context.Context, *message.Sync) (*message.SyncAnswer, error) {
		return &message.SyncAnswer{}, nil
	})
	server := rpc.NewServer(s.pipes, mux, nil)
	qt.Assert(t, server.Serve(address), qt.IsNil)
	t.Cleanup(func() {
		close(s.pipes.incoming)
		_ = server.Close() // the test is over
	})
	s.client = rpc.NewClient(s.pipes)
	return s
}

func (s *meshServer) beat(t testing.TB) {
	_, err := message.CallBeat.Call(t.Context(), s.client, address, beat())
	qt.Assert(t, err, qt.IsNil)
}

func (s *meshServer) sync(t testing.TB, entries ...replica.Entry) {
	_, err := message.CallSync.Call(t.Context(), s.client, address, &message.Sync{From: "edge-zone-1-17", Entries: entries})
	qt.Assert(t, err, qt.IsNil)
}

// wireBytes returns the bytes of one call in both directions on a connection that is already open.
func (s *meshServer) wireBytes(call func()) int64 {
	call()
	before := s.pipes.bytes.Load()
	call()
	return s.pipes.bytes.Load() - before
}

func beat() *message.Beat {
	return &message.Beat{From: "edge-zone-1-17", Incarnation: 3, Sum: 0xfedcba9876543210}
}

func workerEntry(number int) replica.Entry {
	return registry.EntryOf(registry.Worker{
		ID:        fmt.Sprintf("i-%08x", number*2654435761%(1<<32)),
		Service:   "assistant-a",
		Address:   fmt.Sprintf("10.%d.%d.9:8080", 128+number%7, number/7),
		Zone:      fmt.Sprintf("zone-%d", number%7),
		Version:   "v1",
		Capacity:  64,
		State:     registry.Up,
		Phase:     "writing",
		Models:    []registry.Model{{Name: "m", Version: 1}},
		CallCount: 1000,
		Home:      "core-zone-1-2",
	})
}

func routerEntry(number int) replica.Entry {
	peer := topic.Peer{
		Node:    fmt.Sprintf("edge-zone-%d-%d", number%7, number),
		Address: fmt.Sprintf("10.%d.%d.4:7721", number%7, number/7),
		Zone:    fmt.Sprintf("zone-%d", number%7),
	}
	return topic.PeerEntry(topic.Routers, peer, 3)
}

func workerEntries() []replica.Entry {
	entries := make([]replica.Entry, 0, fleetWorkers)
	for number := range fleetWorkers {
		entries = append(entries, workerEntry(number))
	}
	return entries
}

// snapshot is an agent's response to its proxy in the large fleet, without a configuration.
func snapshot() *message.Snapshot {
	answer := &message.Snapshot{Revision: 123456, AgentRun: 1 << 60, Settings: 4321, Workers: workerEntries()}
	for number := range fleetRouters {
		answer.Routers = append(answer.Routers, fmt.Sprintf("10.%d.%d.4", number%7, number/7))
	}
	return answer
}

func encoded(c *qt.C, value any) int {
	bytes, err := cbor.Marshal(value)
	c.Assert(err, qt.IsNil)
	return len(bytes)
}

// The bounds back the figures in docs/CAPACITY.md. If a message outgrows its bound, review the figures there.
func TestMessageSizesAreBounded(t *testing.T) {
	c := qt.New(t)
	digest := replica.Digest{}
	sizes := []struct {
		name  string
		limit int // bytes
		size  int
	}{
		{"heartbeat", 32, encoded(c, beat())},
		{"heartbeat's response, equal", 1, encoded(c, message.BeatAnswer{})},
		{"heartbeat's response with a digest", 520, encoded(c, message.BeatAnswer{Digest: &digest})},
		{"one worker's entry", 170, encoded(c, workerEntry(599))},
		{"one router's entry", 100, encoded(c, routerEntry(379))},
		{"state of the large fleet", 100_000, encoded(c, snapshot())},
	}
	for _, encoding := range sizes {
		c.Logf("%s: %d bytes", encoding.name, encoding.size)
		c.Check(encoding.size <= encoding.limit, qt.IsTrue, qt.Commentf("%s has %d bytes, bound is %d", encoding.name, encoding.size, encoding.limit))
	}
}

func TestCallSizesOnTheWireAreBounded(t *testing.T) {
	c := qt.New(t)
	s := serve(t)
	check := func(name string, limit int64, call func()) {
		size := s.wireBytes(call)
		c.Logf("%s: %d bytes on the wire in both directions", name, size)
		c.Check(size <= limit, qt.IsTrue, qt.Commentf("%s takes %d bytes, bound is %d", name, size, limit))
	}
	check("heartbeat", 260, func() { s.beat(t) })
	check("push of one worker", 370, func() { s.sync(t, workerEntry(599)) })
	s.digest = &replica.Digest{}
	check("heartbeat that finds a difference", 800, func() { s.beat(t) })
}

func BenchmarkBeatCall(b *testing.B) {
	s := serve(b)
	for b.Loop() {
		s.beat(b)
	}
}

func BenchmarkPushOfOneWorker(b *testing.B) {
	s := serve(b)
	entry := workerEntry(599)
	for b.Loop() {
		s.sync(b, entry)
	}
}

func BenchmarkEncodeState(b *testing.B) {
	answer := snapshot()
	for b.Loop() {
		if _, err := cbor.Marshal(answer); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeState(b *testing.B) {
	bytes, err := cbor.Marshal(snapshot())
	qt.Assert(b, err, qt.IsNil)
	for b.Loop() {
		var answer message.Snapshot
		if err := cbor.Unmarshal(bytes, &answer); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPeersOfTheLargeFleet measures a router's local work for one change: decoding the entries of all routers.
func BenchmarkPeersOfTheLargeFleet(b *testing.B) {
	entries := make([]replica.Entry, 0, fleetRouters)
	for number := range fleetRouters {
		entries = append(entries, routerEntry(number))
	}
	for b.Loop() {
		if len(topic.Peers(entries)) != fleetRouters {
			b.Fatal("a router is missing")
		}
	}
}

// BenchmarkRepair compares two copies of the large fleet's map that differ in one worker. It measures both sides together.
func BenchmarkRepair(b *testing.B) {
	near, far := replica.New(), replica.New()
	entries := workerEntries()
	for number := range fleetRouters {
		entries = append(entries, routerEntry(number))
	}
	near.Merge(entries)
	far.Merge(entries[1:])
	bytes := 0
	for b.Loop() {
		bytes = 0
		for _, entry := range append(near.Missing(far.Digest(), 256<<10), far.Missing(near.Digest(), 256<<10)...) {
			bytes += entry.Size()
		}
	}
	b.ReportMetric(float64(bytes), "entry-bytes/op")
}

// BenchmarkSettingsEntry compresses a configuration of 1,000 routes for distribution.
func BenchmarkSettingsEntry(b *testing.B) {
	document := []byte(`{"version":1,"routes":[`)
	for number := range 1000 {
		document = fmt.Appendf(document, `{"name":"r-%07d","domain":"host%d.example","path_start":"/p%d/","route_type":"flowing",`+
			`"give_up_ms":10000,"target_ms":600,"rank":1,"service":"assistant-a","tries":2,"sticky":true},`, number, number%9, number)
	}
	size := 0
	for b.Loop() {
		entry, err := topic.SettingsEntry(4321, document)
		qt.Assert(b, err, qt.IsNil)
		size = entry.Size()
	}
	b.ReportMetric(float64(len(document)), "document-bytes")
	b.ReportMetric(float64(size), "entry-bytes")
}
