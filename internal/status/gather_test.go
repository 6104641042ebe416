package status_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/registry"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/rpc"
	"sumacloft/internal/mesh/topic"
	"sumacloft/internal/status"
)

// entriesOf returns replicated entries: a configuration, peers, workers and an entry that can't be decoded.
func entriesOf(c *qt.C) []replica.Entry {
	settings, err := topic.SettingsEntry(5, []byte(`{"version":7,"routes":[],"services":[]}`))
	c.Assert(err, qt.IsNil)
	control := topic.Peer{Node: "control-1", Address: "10.0.0.1:7700", Steering: "10.0.0.1:8002", Zone: "north"}
	edge := topic.Peer{Node: "edge-1", Address: "10.0.0.2:7701", Zone: "south"}
	entries := []replica.Entry{
		settings,
		topic.PeerEntry(topic.Controls, control, 3),
		topic.DownEntry(topic.Routers, topic.Peer{Node: "edge-2"}, 4),
		topic.PeerEntry(topic.Routers, edge, 1),
		{Key: topic.Workers + "of another release", Value: []byte("?")},
	}
	for id, state := range map[string]registry.State{"w1": registry.Up, "w2": registry.Up, "w3": registry.Lapsed} {
		worker := registry.Worker{ID: id, Service: "chat", Phase: "reading", State: state, CallCount: 1}
		entries = append(entries, registry.EntryOf(worker))
	}
	for id, state := range map[string]registry.State{"w4": registry.Leaving, "w5": registry.Gone} {
		worker := registry.Worker{ID: id, Service: "chat", Phase: "writing", State: state, CallCount: 1}
		entries = append(entries, registry.EntryOf(worker))
	}
	return append(entries, registry.EntryOf(registry.Worker{ID: "w6", Service: "auth", State: registry.Up, CallCount: 1}))
}

func TestReportHoldsReplicatedState(t *testing.T) {
	c := qt.New(t)
	// Given a router's copy of the map
	entries := replica.New()
	entries.Merge(entriesOf(c))
	// when a report is gathered
	report := &status.Report{}
	status.Gather(report, entries.Snapshot())
	// then it holds the configuration, the peers sorted by name, and the worker counts.
	c.Assert(report, qt.DeepEquals, &status.Report{
		Configuration: status.Configuration{Version: 7, Index: 5},
		Controls:      []status.Peer{{Node: "control-1", Zone: "north", Address: "10.0.0.1:7700", Steering: "10.0.0.1:8002", Incarnation: 3}},
		Routers: []status.Peer{
			{Node: "edge-1", Zone: "south", Address: "10.0.0.2:7701", Incarnation: 1},
			{Node: "edge-2", Down: true, Incarnation: 4},
		},
		Workers: []status.Workers{
			{Service: "auth", Up: 1},
			{Service: "chat", Phase: "reading", Up: 2, Lapsed: 1},
			{Service: "chat", Phase: "writing", Leaving: 1, Gone: 1},
		},
	})
}

func TestReportOfEmptyMapIsEmpty(t *testing.T) {
	c := qt.New(t)
	// Given an empty map, when a report is gathered, then its configuration and workers are empty.
	report := &status.Report{}
	status.Gather(report, replica.New().Snapshot())
	c.Assert(report.Configuration, qt.Equals, status.Configuration{})
	c.Assert(report.Workers, qt.HasLen, 0)
}

// fixedLog is a log with a fixed text and error.
type fixedLog struct {
	text string
	err  error
}

func (h fixedLog) Copy(to io.Writer) error {
	_, err := io.WriteString(to, h.text)
	return errors.Join(err, h.err)
}

// fetchLog serves the log over HTTP and fetches it.
func fetchLog(c *qt.C, log status.Log) (*status.LogResponse, error) {
	mux := http.NewServeMux()
	status.HandleLog(mux, log)
	server := httptest.NewServer(mux)
	c.Cleanup(server.Close)
	client := rpc.NewClient(network.System{})
	return status.CallLog.Call(context.Background(), client, server.Listener.Addr().String(), &status.LogRequest{})
}

func TestLogIsServed(t *testing.T) {
	c := qt.New(t)
	// Given a process with log lines, when they are requested, then the call returns them.
	answer, err := fetchLog(c, fixedLog{text: "one\ntwo\n"})
	c.Assert(err, qt.IsNil)
	c.Assert(bytes.Equal(answer.Text, []byte("one\ntwo\n")), qt.IsTrue)
	// When the log can't be read, or there is none, then the call fails.
	_, err = fetchLog(c, fixedLog{err: errors.New("no")})
	c.Assert(rpc.Error.Has(err), qt.IsTrue)
	_, err = fetchLog(c, nil)
	c.Assert(rpc.Error.Has(err), qt.IsTrue)
}
