package fleettest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/agent"
	"sumacloft/internal/control/member"
	"sumacloft/internal/fleettest/memnet"
)

// cutTime is how long members are cut off.
const cutTime = 20 * time.Second

// cutOff is a way in which members are cut off for a while.
type cutOff struct {
	leader  bool // the leader is one of them
	members int  // how many, of 2 x members + 1
	edges   bool // the edges don't reach them either
	state   memnet.Link
	out, in bool // of their links, what they send or what they should hear
	restart bool // they are started again meanwhile
}

// String implements fmt.Stringer.
func (k cutOff) String() string {
	text := fmt.Sprintf("%d of %d", k.members, 2*k.members+1)
	for _, word := range []struct {
		is   bool
		text string
	}{
		{k.leader, "the leader"}, {k.edges, "from the edges too"}, {k.state == memnet.Refusing, "by resets"},
		{!k.in, "heard by nobody"}, {!k.out, "hears nobody"}, {k.restart, "started again"},
	} {
		if word.is {
			text += ", " + word.text
		}
	}
	return text
}

// cutOffs are all ways.
func cutOffs() (all []cutOff) {
	flags := []bool{false, true}
	for members := 1; members <= 2; members++ {
		for _, leader := range flags {
			for _, edges := range flags {
				for _, restart := range flags {
					for _, kind := range []cutOff{
						{state: memnet.Silent, out: true, in: true}, {state: memnet.Refusing, out: true, in: true},
						{state: memnet.Silent, out: true}, {state: memnet.Silent, in: true},
					} {
						kind.members, kind.leader, kind.edges, kind.restart = members, leader, edges, restart
						all = append(all, kind)
					}
				}
			}
		}
	}
	return all
}

// split chooses the members that are cut off, and those that stay.
func (k cutOff) split(f *Fleet) (lost, stay []*Control) {
	leader := f.Leader(settingsPartition)
	if k.leader {
		lost = append(lost, leader)
	}
	for _, control := range f.Others(leader) {
		if len(lost) < k.members {
			lost = append(lost, control)
		} else {
			stay = append(stay, control)
		}
	}
	if !k.leader {
		stay = append(stay, leader)
	}
	return lost, stay
}

// cut cuts the members off and returns what heals it.
func (k cutOff) cut(f *Fleet, lost, stay []*Control) (heal func()) {
	var others []string
	for _, control := range stay {
		others = append(others, control.IP)
	}
	if k.edges {
		for _, edge := range f.Edges {
			others = append(others, edge.IP)
		}
	}
	var heals []func()
	for _, control := range lost {
		heals = append(heals, cutLinks(f, control, others, k.state, k.out, k.in))
	}
	return func() {
		for _, heal := range heals {
			heal()
		}
	}
}

// startAgain kills the members that are cut off and starts them again, where that is part of it.
func (k cutOff) startAgain(lost []*Control) {
	if !k.restart {
		return
	}
	for _, control := range lost {
		control.Kill()
		control.Start(false)
	}
}

// cutOffStory cuts members off for a while, in which operators order and read on both sides, workers end and edges start
// anew. It returns what was wrong: answers that no order of the calls explains, a worker whose end was acknowledged and that
// got requests still, an edge that works by an old configuration.
func cutOffStory(t *testing.T, kind cutOff, faults Faults) (wrong string) {
	plan := Plan{Controls: 2*kind.members + 1, Edges: 3, Zones: []string{"north", "south"}, Faults: faults}
	runAlone(t, plan, func(c *qt.C, f *Fleet) {
		for range 3 {
			f.NewWorker(Plain, "", Behaviour{})
		}
		ending := f.NewWorker(Plain, "", Behaviour{})
		f.Serve()
		h := &history{fleet: f}
		h.start(1)
		lost, stay := kind.split(f)
		heal := kind.cut(f, lost, stay)
		began := f.Now()
		version := h.orderOn(stay, 1)
		kind.startAgain(lost)
		time.Sleep(3 * time.Second)
		wrong = ending.endAt(lost[0])
		edge := f.Edges[0]
		edge.Stop()
		edge.Start()
		for f.Now() < began+cutTime {
			time.Sleep(700 * time.Millisecond)
			h.read(1, lost[len(lost)-1])
			h.send(1, lost[0], markedOrder{builtOn: version, version: version + 1, mark: "lost"})
			version = h.orderOn(stay, version)
			if f.Now() > began+8*time.Second && !f.works(edge, version) {
				wrong += fmt.Sprintf("at %v %s works by an old configuration; ", f.Now(), edge.Node)
			}
		}
		heal()
		for _, control := range f.Controls {
			f.Until(recovery, "a read at "+control.Node, func() bool { return h.read(2, control).status == http.StatusOK })
		}
		wrong += h.judge()
	})
	return wrong
}

// orderOn has an order taken by one of the members that stay, and returns its version.
func (h *history) orderOn(stay []*Control, version uint64) uint64 {
	order := markedOrder{builtOn: version, version: version + 2, mark: "stay", whole: true}
	for turn := range 40 {
		switch h.send(0, stay[turn%len(stay)], order).status {
		case http.StatusOK:
			return order.version
		case http.StatusPreconditionFailed: // one of the other side was taken on the way
			if read := h.read(0, stay[turn%len(stay)]); read.status == http.StatusOK {
				order.builtOn, order.version = read.version, read.version+2
			}
		}
	}
	h.fleet.t.Fatalf("at %v: no order was taken", h.fleet.Now())
	return 0
}

// works reports whether an edge works by a version that orderOn made, shortly after it was made.
func (f *Fleet) works(edge *Edge, version uint64) bool {
	for end := f.Now() + settingsWithin; f.Now() < end; time.Sleep(checkInterval) {
		if f.Client.Ask(edge, fmt.Sprintf("/r%d/x", version)).Status == http.StatusOK {
			return true
		}
	}
	return false
}

// endAt has a worker say to one member that it ends. It returns what was wrong: requests that came all the same after an
// acknowledgement.
func (w *Worker) endAt(at *Control) string {
	f := w.fleet
	if _, acknowledged := w.post(f.t.Context(), at.Steering(), "/v1/Servers.Leave/"+w.ID, "{}"); !acknowledged {
		return ""
	}
	time.Sleep(emptyOut)
	before := len(w.Calls())
	for range 20 {
		for _, edge := range f.Edges {
			f.Client.Ask(edge, HarmlessPath+"x")
		}
	}
	if got := len(w.Calls()) - before; got > 0 {
		return fmt.Sprintf("%d requests after the acknowledged end; ", got)
	}
	return ""
}

func TestMembersThatAreCutOffPromiseNothing(t *testing.T) {
	for _, kind := range cutOffs() {
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			qt.New(t).Assert(cutOffStory(t, kind, Faults{}), qt.Equals, "")
		})
	}
}

func TestBrokenMembersThatAreCutOffAreFound(t *testing.T) {
	for name, broken := range map[string]struct {
		faults Faults
		kind   cutOff
	}{
		"reads without a majority": {Faults{Member: member.Faults{ReadUnconfirmed: true}},
			cutOff{members: 1, state: memnet.Silent, out: true, in: true}},
		"the end of a worker acknowledged alone": {Faults{Member: member.Faults{AcknowledgeAlone: true}},
			cutOff{members: 1, edges: true, state: memnet.Silent, out: true, in: true}},
		"the end of a worker acknowledged by two that are cut off": {Faults{Member: member.Faults{AcknowledgeByTwo: true}},
			cutOff{members: 2, edges: true, state: memnet.Silent, out: true, in: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			qt.New(t).Assert(cutOffStory(t, broken.kind, broken.faults), qt.Not(qt.Equals), "")
		})
	}
}

func TestRouterThatTrustsAnyMemberIsFound(t *testing.T) {
	t.Parallel()
	found := false
	for range 10 {
		found = found || !startsBesideStale(t, Faults{
			Agent:  agent.Faults{TrustAnyMember: true},
			Member: member.Faults{IgnoreAuthority: true},
		})
	}
	qt.New(t).Assert(found, qt.IsTrue)
}
