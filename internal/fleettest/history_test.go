package fleettest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/control/configstate"
	"sumacloft/internal/control/member"
	"sumacloft/internal/fleettest/memnet"
)

// histories is how many histories TestOrdersAreLinearizable draws.
var histories = flag.Int("histories", 300, "how many histories TestOrdersAreLinearizable draws")

const (
	// historyTime is how long operators go on in one history.
	historyTime = 14 * time.Second
	// wipeWait is how long nothing else befalls a fleet after a disk was lost: until it is repaired.
	wipeWait = 6 * time.Second
)

// controlTrouble befalls control members; undo ends it.
type controlTrouble struct {
	name  string
	ends  bool // processes end
	wipes bool // a disk is lost, too
	do    func(f *Fleet, one *Control) (undo func())
}

// cutLinks sets the links between a member and others, out of it, into it or both.
func cutLinks(f *Fleet, one *Control, others []string, state memnet.Link, out, in bool) func() {
	set := func(state memnet.Link) {
		for _, other := range others {
			if out {
				f.Network.Set(one.IP, other, state)
			}
			if in {
				f.Network.Set(other, one.IP, state)
			}
		}
	}
	set(state)
	return func() { set(memnet.Whole) }
}

// memberIPs are the addresses of all control members but one.
func memberIPs(f *Fleet, but *Control) []string {
	var ips []string
	for _, control := range f.Others(but) {
		ips = append(ips, control.IP)
	}
	return ips
}

var controlTroubles = []controlTrouble{
	{name: "cut off in silence", do: func(f *Fleet, one *Control) func() {
		return cutLinks(f, one, memberIPs(f, one), memnet.Silent, true, true)
	}},
	{name: "cut off by resets", do: func(f *Fleet, one *Control) func() {
		return cutLinks(f, one, memberIPs(f, one), memnet.Refusing, true, true)
	}},
	{name: "heard by nobody", do: func(f *Fleet, one *Control) func() {
		return cutLinks(f, one, memberIPs(f, one), memnet.Silent, true, false)
	}},
	{name: "hears nobody", do: func(f *Fleet, one *Control) func() {
		return cutLinks(f, one, memberIPs(f, one), memnet.Silent, false, true)
	}},
	{name: "cut off from one other", do: func(f *Fleet, one *Control) func() {
		return cutLinks(f, one, memberIPs(f, one)[:1], memnet.Silent, true, true)
	}},
	{name: "answers the operator late", do: func(f *Fleet, one *Control) func() {
		f.Network.Delay(operatorIP, one.IP, 400*time.Millisecond+time.Duration(rand.IntN(4000))*time.Millisecond)
		return func() { f.Network.Delay(operatorIP, one.IP, linkDelay) }
	}},
	{name: "its answers to the operator are lost", do: func(f *Fleet, one *Control) func() {
		f.Network.Set(one.IP, operatorIP, memnet.Silent)
		return func() { f.Network.Set(one.IP, operatorIP, memnet.Whole) }
	}},
	{name: "slow links to the others", do: func(f *Fleet, one *Control) func() {
		for _, other := range memberIPs(f, one) {
			f.Network.Delay(one.IP, other, 300*time.Millisecond)
		}
		return func() {
			for _, other := range memberIPs(f, one) {
				f.Network.Delay(one.IP, other, linkDelay)
			}
		}
	}},
	{name: "killed", ends: true, do: func(f *Fleet, one *Control) func() {
		one.Kill()
		return func() { one.Start(false) }
	}},
	{name: "killed and started at once", ends: true, do: func(f *Fleet, one *Control) func() {
		one.Kill()
		one.Start(false)
		return func() {}
	}},
	{name: "without power", ends: true, do: func(f *Fleet, one *Control) func() {
		one.PowerOff()
		return one.PowerOn
	}},
	{name: "full disk", do: func(f *Fleet, one *Control) func() {
		one.Fill(true)
		return func() { one.Fill(false) }
	}},
	{name: "ended in order and started", ends: true, do: func(f *Fleet, one *Control) func() {
		one.Stop()
		return func() { one.Start(false) }
	}},
	{name: "all without power", ends: true, do: func(f *Fleet, _ *Control) func() {
		f.PowerOff()
		return f.PowerOn
	}},
	{name: "disk lost", ends: true, wipes: true, do: func(f *Fleet, one *Control) func() {
		one.Kill()
		one.Wipe()
		return func() { one.Start(false) }
	}},
	{name: "replaced", ends: true, wipes: true, do: func(f *Fleet, one *Control) func() {
		place := slices.Index(f.Controls, one)
		f.Replace(place, fmt.Sprintf("10.0.%d.1", 100+rand.IntN(100)))
		return func() {}
	}},
}

// operate has one operator order, repeat and read until the time is over.
func operate(h *history, client int, until time.Duration) {
	f := h.fleet
	known := uint64(0)
	var sent []markedOrder
	for f.Now() < until {
		time.Sleep(time.Duration(rand.IntN(600)) * time.Millisecond)
		next := markedOrder{builtOn: known, version: known + 1 + uint64(rand.IntN(3)), mark: string(rune('a' + client))}
		switch rand.IntN(8) {
		case 0:
			if read := h.read(client, f.anyControl()); read.status == http.StatusOK {
				known = read.version
			}
			continue
		case 1:
			next.builtOn++ // on a version that may be there soon
			next.version++
		case 2:
			if len(sent) > 0 {
				next = anyOf(sent)
			}
		}
		sent = append(sent, next)
		known = sendUntilClear(h, client, next, known)
	}
}

// sendUntilClear sends an order to one member after the other until its answer is clear, a few times at most. It returns the
// version that the operator takes for current then.
func sendUntilClear(h *history, client int, order markedOrder, known uint64) uint64 {
	for range 4 {
		switch h.send(client, h.fleet.anyControl(), order).status {
		case http.StatusOK:
			return max(known, order.version)
		case 0:
			continue
		}
		if read := h.read(client, h.fleet.anyControl()); read.status == http.StatusOK {
			return read.version
		}
		return known
	}
	return known
}

// injectTroubles has troubles come over the fleet, some of them at the same time: processes end only one at a time, or all. At most
// one disk is lost.
func injectTroubles(f *Fleet, until time.Duration) (names []string) {
	wiped := false
	for f.Now() < until {
		var undo []func()
		ended := false
		calm := time.Duration(rand.IntN(2000)) * time.Millisecond
		for range 1 + rand.IntN(2) {
			next := anyOf(controlTroubles)
			if next.ends && ended || next.wipes && (wiped || len(undo) > 0) {
				continue
			}
			ended = ended || next.ends
			target := f.anyControl()
			names = append(names, fmt.Sprintf("%v %s %s", f.Now(), target.Node, next.name))
			f.t.Logf("at %v: %s: %s", f.Now(), target.Node, next.name)
			undo = append(undo, next.do(f, target))
			if next.wipes {
				wiped, calm = true, wipeWait
				break
			}
			time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
		}
		time.Sleep(time.Duration(200+rand.IntN(3500)) * time.Millisecond)
		for _, end := range undo {
			end()
		}
		time.Sleep(calm)
	}
	return names
}

// drawHistory has two operators order, repeat and read while troubles come over the control members, and returns the history
// if nothing explains it.
func drawHistory(t *testing.T, faults member.Faults) (fault string) {
	runAlone(t, Plan{Edges: -1, Faults: Faults{Member: faults}}, func(c *qt.C, f *Fleet) {
		h := &history{fleet: f}
		time.Sleep(2 * time.Second)
		var operators sync.WaitGroup
		end := f.Now() + historyTime
		for client := range 2 {
			operators.Go(func() { operate(h, client, end) })
		}
		names := injectTroubles(f, end-4*time.Second)
		operators.Wait()
		for _, control := range f.Controls {
			f.Until(recovery, "a read at "+control.Node, func() bool { return h.read(9, control).status == http.StatusOK })
		}
		if text := h.judge(); text != "" {
			fault = fmt.Sprintf("%v\n%s", names, text)
		}
	})
	return fault
}

// One history explains what the operators see, whatever befalls the control members: no two orders are taken on one
// version, what was acknowledged is acknowledged again and never lost, what was refused is never taken, and nothing old is
// read.
func TestOrdersAreLinearizable(t *testing.T) {
	nothingIsBroken(t, *histories, drawHistory)
}

// drawing draws a history of a fleet whose members have the faults, and returns what it broke.
type drawing func(t *testing.T, faults member.Faults) (fault string)

// nothingIsBroken draws so many histories of members as they are, none of which may break anything.
func nothingIsBroken(t *testing.T, count int, draw drawing) {
	for i := range count {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			qt.New(t).Assert(draw(t, member.Faults{}), qt.Equals, "")
		})
	}
}

// brokenMembersAreFound draws histories of members with each of the faults until one breaks something, as one must.
func brokenMembersAreFound(t *testing.T, broken map[string]member.Faults, draw drawing) {
	for name, faults := range broken {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found := false
			for i := 0; i < 200 && !found; i++ {
				t.Run(fmt.Sprint(i), func(t *testing.T) { found = draw(t, faults) != "" })
			}
			qt.New(t).Assert(found, qt.IsTrue)
		})
	}
}

func TestHistoriesFindBrokenMembers(t *testing.T) {
	t.Parallel()
	brokenMembersAreFound(t, map[string]member.Faults{
		"reads without a majority":      {ReadUnconfirmed: true},
		"taken orders not recognised":   {Orders: configstate.Faults{ForgetTaken: true}},
		"refused orders may come later": {Orders: configstate.Faults{ForgetRefused: true}},
	}, drawHistory)
}
