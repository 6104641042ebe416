package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/logring"
	"sumacloft/internal/status"
)

// controlReport is what a control member tells in these tests.
func controlReport() *status.Report {
	return &status.Report{
		Kind: status.KindControl, Node: "control-1", Zone: "north", UpMS: 61500,
		Configuration: status.Configuration{Version: 7, Index: 5},
		Controls: []status.Peer{
			{Node: "control-1", Zone: "north", Address: "10.0.0.1:7700", Steering: "10.0.0.1:8002", Incarnation: 1},
			{Node: "control-2", Down: true, Incarnation: 2},
		},
		Routers: []status.Peer{{Node: "edge-1", Zone: "south", Address: "10.0.0.9:7701", Incarnation: 1}},
		Workers: []status.Workers{{Service: "chat", Phase: "reading", Up: 3, Lapsed: 1}},
		Partitions: []status.Partition{{
			Name: "configuration", Role: "leader", Term: 2, Leader: "10.0.0.1:7700", Commit: 5, Applied: 5, Last: 6, Stable: 6, Snapshot: 1,
			Members: []status.Member{
				{ID: "1", Address: "10.0.0.1:7700", Voter: true, Self: true},
				{ID: "2", Address: "10.0.0.2:7700", Voter: true, Progress: &status.Progress{State: "probe", Match: 4, Responded: true, SilentMS: 1200}},
				{ID: "3", Address: "10.0.0.3:7700", Progress: &status.Progress{State: "snapshot"}},
			},
		}},
		Disk: &status.Disk{Sequence: 44, Segment: 1, Generation: 5, UsedBytes: 100, FreeBytes: 900},
	}
}

const controlText = `control-1: control member in zone north, up 1m1.5s
configuration: version 7, set at index 5
disk log: record 44, segment 1 of generation 5, 100 bytes used, 900 free

PARTITION      ROLE    TERM  LEADER     COMMIT  APPLIED  LAST  ON DISK  SNAPSHOT  DISK
configuration  leader  2     control-1  5       5        6     6        1         ok

PARTITION      MEMBER         ADDRESS        KIND     PROGRESS  MATCH  LAST CONTACT
configuration  control-1      10.0.0.1:7700  voter    this one  -      -
configuration  10.0.0.2:7700  10.0.0.2:7700  voter    probe     4      1.2s ago
configuration  10.0.0.3:7700  10.0.0.3:7700  learner  snapshot  0      never

CONTROL MEMBER  STATE  ZONE   INSIDE ADDRESS  STEERING
control-1       up     north  10.0.0.1:7700   10.0.0.1:8002
control-2       down   -      -               -

EDGE ROUTER  STATE  ZONE   INSIDE ADDRESS
edge-1       up     south  10.0.0.9:7701

SERVICE  PHASE    UP  LEAVING  LAPSED  GONE
chat     reading  3   0        1       0
`

// serveStatus serves a report and a log as a process does, and gives its address.
func serveStatus(c *qt.C, report *status.Report, log status.Log) string {
	mux := http.NewServeMux()
	status.CallStatus.Handle(mux, func(context.Context, *status.Request) (*status.Report, error) {
		if report == nil {
			return nil, errors.New("this member is too busy")
		}
		return report, nil
	})
	status.HandleLog(mux, log)
	server := httptest.NewServer(mux)
	c.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestStatusIsATableForPeople(t *testing.T) {
	c := qt.New(t)
	// Given a control member, when it is asked for its status, then all that it tells is in tables.
	got := runLine(c, "status", serveStatus(c, controlReport(), nil))
	c.Assert(got.err, qt.IsNil)
	c.Assert(got.out, qt.Equals, controlText)
}

func TestStatusIsJSONForPrograms(t *testing.T) {
	c := qt.New(t)
	// Given a control member, when it is asked for JSON, then a program reads the very report from it.
	got := runLine(c, "status", "--json", serveStatus(c, controlReport(), nil))
	c.Assert(got.err, qt.IsNil)
	report := &status.Report{}
	c.Assert(json.Unmarshal([]byte(got.out), report), qt.IsNil)
	c.Assert(report, qt.DeepEquals, controlReport())
}

func TestAnAgentsStatusHasNoPartitions(t *testing.T) {
	c := qt.New(t)
	// Given an agent that knows nothing yet, when it is asked, then what only control members have is left out.
	got := runLine(c, "status", serveStatus(c, &status.Report{Kind: status.KindAgent, Node: "edge-1", Zone: "south"}, nil))
	c.Assert(got.err, qt.IsNil)
	c.Assert(got.out, qt.Contains, "edge-1: agent in zone south, up 0s\nconfiguration: none yet")
	c.Assert(got.out, qt.Not(qt.Contains), "PARTITION")
	c.Assert(got.out, qt.Not(qt.Contains), "disk log")
}

func TestAProxysStatusIsItsDecisions(t *testing.T) {
	c := qt.New(t)
	// Given a proxy that has refused two requests, when it is asked, then each decision stands with its count and its reason.
	report := &status.Report{Kind: status.KindProxy, Node: "edge-1", Zone: "south", UpMS: 1500, Decisions: []status.Decision{
		{Service: "chat", Kind: "refused", Why: "it would wait too long", Count: 2},
	}}
	got := runLine(c, "status", serveStatus(c, report, nil))
	c.Assert(got.err, qt.IsNil)
	c.Assert(got.out, qt.Equals, `edge-1: proxy in zone south, up 1.5s

SERVICE  DECISION  COUNT  WHY
chat     refused   2      it would wait too long
`)
}

func TestPhasesAreWeighedInTheStatus(t *testing.T) {
	c := qt.New(t)
	// Given the member that looks after phases, when it is asked, then it tells what it saw, what it wants and why.
	report := controlReport()
	report.Balances = []status.Balance{{
		Service: "chat", Readers: 22, Writers: 20, ReadPressure: 1.17, WritePressure: 2.092, ReadsQueued: 12, Target: 24, Orders: 4,
		Reason: "writers lack room",
	}}
	got := runLine(c, "status", serveStatus(c, report, nil))
	c.Assert(got.err, qt.IsNil)
	c.Assert(got.out, qt.Contains, "PHASES OF  READERS  WRITERS  READ PRESSURE  WRITE PRESSURE  READS QUEUED  WRITERS WANTED  ORDERS  WHY\n"+
		"chat       22       20       1.17           2.09            12            24              4       writers lack room\n")
}

func TestAProcessThatDoesNotAnswerIsTold(t *testing.T) {
	c := qt.New(t)
	// Given an address that is none, one where nobody listens, and a member that fails, when they are asked
	address := serveStatus(c, nil, nil)
	nobody := httptest.NewServer(http.NewServeMux())
	nobody.Close()
	// then each failure says what to look at.
	c.Check(runLine(c, "status", "nowhere").err, qt.ErrorMatches, `ask: "nowhere" is no address; give it as host:port.*`)
	c.Check(runLine(c, "log", "nowhere").err, qt.ErrorMatches, `ask: "nowhere" is no address.*`)
	c.Check(runLine(c, "status", nobody.Listener.Addr().String()).err, qt.ErrorMatches, `ask: .* did not answer: .*check that the peer runs.*`)
	c.Check(runLine(c, "status", address).err, qt.ErrorMatches, `ask: .*this member is too busy.*`)
	c.Check(runLine(c, "log", address).err, qt.ErrorMatches, `ask: .* did not answer: .*`)
}

func TestTheLogIsPrinted(t *testing.T) {
	c := qt.New(t)
	// Given a process with two lines in its log, when it is asked for them, then they are printed, and again the next time.
	ring := logring.New(nil, 1<<10)
	log := ring.Logger()
	log.Info().Msg("one")
	log.Info().Msg("two")
	address := serveStatus(c, nil, ring)
	for range 2 {
		got := runLine(c, "log", address)
		c.Assert(got.err, qt.IsNil)
		c.Assert(got.out, qt.Equals, `{"level":"info","message":"one"}`+"\n"+`{"level":"info","message":"two"}`+"\n")
	}
}

func TestAnEmptyLogIsExplained(t *testing.T) {
	c := qt.New(t)
	// Given a process that has logged nothing, when it is asked, then programs get nothing and people the reason.
	got := runLine(c, "log", serveStatus(c, nil, logring.New(nil, 1<<10)))
	c.Assert(got.err, qt.IsNil)
	c.Assert(got.out, qt.Equals, "")
	c.Assert(got.notes, qt.Equals, noLines)
}
